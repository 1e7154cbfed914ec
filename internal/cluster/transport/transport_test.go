package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/limits"
)

// patience is how long a test waits for what has to happen.
const patience = 5 * time.Second

// testLimits are the service's own with a short time limit for a call.
func testLimits() limits.Control {
	bounds := limits.ForControl()
	bounds.CallTimeout = 200 * time.Millisecond
	return bounds
}

// runTransport listens on loopback and accepts until the test or the returned function ends it.
func runTransport(t *testing.T, self string, addresses map[string]string, bounds limits.Control) (*Transport, func()) {
	t.Helper()
	tr, err := Listen(self, "127.0.0.1:0", addresses, bounds)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(ctx) }()
	end := func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Run: %v", err)
			}
			ended <- nil // end may be called again
		case <-time.After(patience):
			t.Error("Run goes on after its context has ended")
		}
	}
	t.Cleanup(end)
	return tr, end
}

// dialRaw connects without a greeting.
func dialRaw(t *testing.T, to string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

// acceptFrom accepts one connection of a listener, or fails the test.
func acceptFrom(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	select {
	case c := <-accepted:
		t.Cleanup(func() { _ = c.Close() })
		return c
	case <-time.After(patience):
		t.Fatal("no connection came in")
		return nil
	}
}

// wantClosed reads until the other end closes the connection.
func wantClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	if netErr, ok := errors.AsType[net.Error](err); err == nil || ok && netErr.Timeout() {
		t.Errorf("the connection is open still: %v", err)
	}
}

// TestGreetings: a connection comes in for an agent's own name, a known kind and this version alone, and nothing that
// follows its greeting is lost.
func TestGreetings(t *testing.T) {
	tr, _ := runTransport(t, "h1", nil, testLimits())
	for _, line := range []string{
		"milletbarrow/2 raft h1 h2\n",
		"milletbarrow/1 raft h3 h2\n",
		"milletbarrow/1 gossip h1 h2\n",
		"milletbarrow/1 raft h1\n",
		"milletbarrow/1 raft h1 h2 more\n",
		"\n",
		"GET / HTTP/1.1\r\n\r\n",
		strings.Repeat("x", maxGreeting) + "\n",
		"milletbarrow/1 raft h1 " + strings.Repeat(" ", maxGreeting) + "h2\n", // well formed, and too long
	} {
		c := dialRaw(t, tr.Address())
		if _, err := io.WriteString(c, line); err != nil {
			t.Fatal(err)
		}
		wantClosed(t, c)
	}
	for kind, q := range tr.queues {
		if n := len(q.conns); n > 0 {
			t.Errorf("%d connections of kind %s came in", n, kind)
		}
	}
	c := dialRaw(t, tr.Address())
	if _, err := io.WriteString(c, "milletbarrow/1 raft h1 h2\nwhat follows"); err != nil {
		t.Fatal(err)
	}
	in := acceptFrom(t, tr.Listener(KindRaft))
	if got := in.RemoteAddr(); got.String() != "h2" || got.Network() != "peer" {
		t.Errorf("the peer is %s %s", got.Network(), got)
	}
	_ = in.SetDeadline(time.Now().Add(patience))
	got := make([]byte, len("what follows"))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != "what follows" {
		t.Errorf("after the greeting came %q, %v", got, err)
	}
}

// TestSilentConnection: one that does not greet in time is closed, and its time limit ends with the greeting.
func TestSilentConnection(t *testing.T) {
	bounds := testLimits()
	tr, _ := runTransport(t, "h1", nil, bounds)
	began := time.Now()
	silent := dialRaw(t, tr.Address())
	greeted := dialRaw(t, tr.Address())
	if _, err := io.WriteString(greeted, "milletbarrow/1 packet h1 h2\n"); err != nil {
		t.Fatal(err)
	}
	in := acceptFrom(t, tr.Listener(KindPacket))
	wantClosed(t, silent)
	if took := time.Since(began); took < bounds.CallTimeout {
		t.Errorf("closed after %v, a greeting may take %v", took, bounds.CallTimeout)
	}
	time.Sleep(bounds.CallTimeout) // the greeted one rests for longer than a greeting may take
	if _, err := io.WriteString(greeted, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection that rests after its greeting: %v", err)
	}
}

// TestFullQueue: where nobody accepts one kind, its further connections are closed after a time, and no other kind waits.
func TestFullQueue(t *testing.T) {
	to, _ := runTransport(t, "h1", nil, testLimits())
	from, _ := runTransport(t, "h2", map[string]string{"h1": to.Address()}, testLimits())
	conns := make([]net.Conn, 0, maxPendingConns+1)
	for range maxPendingConns + 1 {
		c, err := from.Dial(context.Background(), KindPacket, "h1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
		_ = c.SetDeadline(time.Now().Add(patience))
	}
	c, err := from.Dial(context.Background(), KindStream, "h1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	acceptFrom(t, to.Listener(KindStream))
	closed := make(chan int, len(conns))
	for i, c := range conns {
		go func() {
			if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed <- i
			}
		}()
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("no connection was closed, though one more waits than may")
	}
	for range maxPendingConns {
		acceptFrom(t, to.Listener(KindPacket))
	}
	if n := len(closed); n > 0 {
		t.Errorf("%d connections more were closed", n)
	}
}

// TestRunEnds: when Run has ended, its address is free, what nobody accepted is closed, and what was accepted goes on. It
// ends also while as many connections are open as may be.
func TestRunEnds(t *testing.T) {
	bounds := testLimits()
	bounds.Connections, bounds.CallTimeout = 1, time.Minute // greetings may take long
	tr, end := runTransport(t, "h1", nil, bounds)
	at := tr.Address()
	greeting := dialRaw(t, at) // has sent half of its greeting
	if _, err := io.WriteString(greeting, "milletbarrow/1 ra"); err != nil {
		t.Fatal(err)
	}
	accepted, pending := dialRaw(t, at), dialRaw(t, at)
	if _, err := io.WriteString(accepted, "milletbarrow/1 call h1 h2\n"); err != nil {
		t.Fatal(err)
	}
	in := acceptFrom(t, tr.Listener(KindCall))
	if _, err := io.WriteString(pending, "milletbarrow/1 raft h1 h2\n"); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); len(tr.queues[KindRaft].conns) == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatal("the connection is not pending")
		}
	}
	dialRaw(t, at)
	dialRaw(t, at) // one more than may be open: Run waits for room
	end()
	wantClosed(t, greeting)
	wantClosed(t, pending)
	if _, err := io.WriteString(in, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection that was accepted: %v", err)
	}
	if _, err := tr.Listener(KindRaft).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the end: %v", err)
	}
	again, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatalf("the address is taken still: %v", err)
	}
	_ = again.Close()
}

// TestClosedListener: after its consumer closes a listener, connections of its kind are closed: those that wait and those
// that come later.
func TestClosedListener(t *testing.T) {
	to, _ := runTransport(t, "h1", nil, testLimits())
	from, _ := runTransport(t, "h2", map[string]string{"h1": to.Address()}, testLimits())
	dial := func() net.Conn {
		c, err := from.Dial(context.Background(), KindRaft, "h1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		return c
	}
	waiting := dial()
	for began := time.Now(); len(to.queues[KindRaft].conns) == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatal("the connection is not pending")
		}
	}
	if err := to.Listener(KindRaft).Close(); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, waiting)
	for range 20 { // room in the queue and its end are both there to be chosen
		wantClosed(t, dial())
	}
}

// TestUnknownPeer: an agent without an address can't be reached, and the error says which.
func TestUnknownPeer(t *testing.T) {
	tr, _ := runTransport(t, "h1", nil, testLimits())
	_, err := tr.Dial(context.Background(), KindRaft, "h9")
	if unknown, ok := errors.AsType[*UnknownPeerError](err); !ok || unknown.Name != "h9" || err.Error() != `peer "h9": no address is known` {
		t.Errorf("Dial: %v", err)
	}
	if _, ok := errors.AsType[*UnknownPeerError](tr.Call(context.Background(), "h9", "/x", nil, nil)); !ok {
		t.Errorf("Call: %v", err)
	}
}

// TestCloseWhileDialing: dialing a peer that takes no connection ends with its context, and without one by its own limit.
func TestCloseWhileDialing(t *testing.T) {
	bounds := testLimits()
	tr, _ := runTransport(t, "h1", map[string]string{"h2": unresponsiveAddress(t)}, bounds)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(bounds.CallTimeout/4, cancel)
	began := time.Now()
	if _, err := tr.Dial(ctx, KindRaft, "h2"); !errors.Is(err, context.Canceled) && !strings.Contains(fmt.Sprint(err), "operation was canceled") {
		t.Errorf("a dial that was canceled: %v", err)
	}
	if took := time.Since(began); took >= bounds.CallTimeout {
		t.Errorf("the dial took %v after it was canceled", took)
	}
	_, err := tr.Dial(context.Background(), KindRaft, "h2")
	if netErr, ok := errors.AsType[net.Error](err); !ok || !netErr.Timeout() {
		t.Errorf("a dial that nobody takes: %v", err)
	}
}

// unresponsiveAddress is one at which the system neither takes nor refuses a connection, as its accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", at, 100*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the system takes connections beyond the accept queue")
	return ""
}

// TestFrames: a message arrives as it was sent; one that is too long, and one that breaks off, are told apart.
func TestFrames(t *testing.T) {
	var sent strings.Builder
	long := strings.Repeat("m", 70_000)
	for _, message := range []string{"", "one", long} {
		if err := WriteFrame(&sent, []byte(message)); err != nil {
			t.Fatal(err)
		}
	}
	in := bufio.NewReader(strings.NewReader(sent.String()))
	for _, want := range []string{"", "one", long} {
		if got, err := ReadFrame(in, len(long)); err != nil || string(got) != want {
			t.Errorf("read %d bytes, %v, want %d", len(got), err, len(want))
		}
	}
	if _, err := ReadFrame(in, 1); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
	_, err := ReadFrame(bufio.NewReader(strings.NewReader("\x00\x00\x05hello")), 4)
	if tooLong, ok := errors.AsType[*FrameTooLongError](err); !ok || tooLong.Length != 5 || tooLong.Max != 4 {
		t.Errorf("a frame of 5 bytes where 4 are read: %v", err)
	}
	if _, err := ReadFrame(bufio.NewReader(strings.NewReader("\x00\x00\x05hell")), 5); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a frame that breaks off: %v", err)
	}
}
