package server

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// A peer that keeps sending without reading is disconnected, and does not stall other connections.
func TestPeerThatDoesNotReadIsDisconnected(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.UnsentPerConnection = 1 << 20 })
	slow, other := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	healthChecks := []byte(strings.Repeat(healthCheck(1), 4000))
	slow.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for range 2000 {
		if _, err := slow.Write(healthChecks); err != nil {
			break
		}
	}
	s.awaitConnections(t, 1)
	other.Send(healthCheck(1))
	if f := other.Expect(); f.Code != succeeded {
		t.Errorf("the other connection: %v, want succeeded", f)
	}
	s.awaitIdle(t, 1)
}

// Many small answers, each written separately, all arrive before the end of a connection that is closed with unread
// input. The kernel does not delay them, because accepted sockets have TCP_NODELAY set.
func TestSmallAnswersArriveBeforeClose(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		b.LingerTimeout = time.Minute
		settings.Admission.Cores = 64
	})
	node, c := s.dialOne(t)
	if on, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, %v; want it set", on, err)
	}
	const count = 20
	for n := range count {
		node.Send(fakes.Invocation(uint32(n+1), n+1))
	}
	for range count {
		s.endNextRun(t, "complete", "r")
	}
	node.Send(invalidLength)
	fakes.Until(t, "the connection is closed for writing", s.AllClosed)
	if _, err := node.Write(make([]byte, 1000)); err != nil && !errors.Is(err, syscall.EPIPE) {
		t.Error(err)
	}
	expectAnswersAndEnd(t, node, count, "r")
}

// invalidLength is input with an invalid frame length, after which the connection closes once all is answered.
const invalidLength = "\x00\x00\x00\x01xxxx"

// expectAnswersAndEnd reads until the end of a connection, and checks the number of answers with the given result.
func expectAnswersAndEnd(t *testing.T, node *fakes.EdgeNode, want int, result string) {
	t.Helper()
	answers := 0
	f, err := node.Next()
	for ; err == nil; f, err = node.Next() {
		if f.Type == byte(frame.KindAnswer) && f.Stream > 0 && f.Code == succeeded && f.Body == result {
			answers++
		}
	}
	if !errors.Is(err, io.EOF) || answers != want {
		t.Errorf("%d answers, then %v; want %d, io.EOF", answers, err, want)
	}
}

// All answers reach a peer that keeps sending, and has not read yet, while the server closes its connection. If the
// socket were closed at once with unread input, the kernel would reset it and drop the answers in flight.
func TestAnswersArriveDespiteUnreadInput(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.LingerTimeout = 5 * time.Second })
	s.fakeExecutor.With(func(_, gauges *string) { *gauges = "0.1 0 0.1 1" })
	smallBuffer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		control := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(control, err)
	}}
	conn, err := smallBuffer.DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	node := fakes.NewEdgeNode(t, conn)
	const count = 16
	result := strings.Repeat("r", 4096)
	for n := range count {
		node.Send(fakes.Invocation(uint32(n+1), n+1, "wait=60000"))
		s.endNextRun(t, "complete", result)
	}
	c := s.onlyConn(t)
	node.Send(invalidLength)
	fakes.Until(t, "all answers are written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.writeClosed
	})
	for range 20 { // one write each millisecond
		_, _ = conn.Write(make([]byte, 100))
		written := time.Now()
		fakes.Until(t, "a millisecond has passed", func() bool { return time.Since(written) >= time.Millisecond })
	}
	expectAnswersAndEnd(t, node, count, result)
}

// A connection that closes while a goroutine waits to write its last output stays open for writing until that is
// written, and the peer reads all of it.
func TestCloseWaitsForWriter(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.UnsentPerConnection = 64 << 20
		b.UnsentTotal = 64 << 20
		b.LingerTimeout = time.Minute
	})
	node, c := s.dialOne(t)
	const length = 32 << 20 // more than the sockets of both sides hold
	c.sendFrame(func(to []byte) []byte { return append(to, make([]byte, length)...) })
	fakes.Until(t, "a writer waits with nothing else pending", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.writing && len(c.pending) == 0
	})
	c.closeWhenAnswered()
	if read, err := io.Copy(io.Discard, node.Conn); err != nil || read != length {
		t.Errorf("read %d bytes, %v; want %d", read, err, length)
	}
}
