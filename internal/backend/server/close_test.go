package server

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// TestRequestAfterClose: requests are read on connections that have just been closed for writing: one that was idle, one
// within a frame. None is forwarded to the executor, none opens a stream, and the caller reads the end, not a reset.
func TestRequestAfterClose(t *testing.T) {
	complete := fakes.Invocation(1, 1)
	for _, c := range []struct{ name, before, after string }{
		{"idle", fakes.EncodeFrame(20, 9, "\x00"), complete + fakes.Invocation(2, 2)},
		{"within a frame", complete[:40], complete[40:] + fakes.Invocation(2, 2)},
	} {
		s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.LingerTimeout = time.Minute })
		n := fakes.Dial(t, s.address)
		n.Send(c.before)
		one := s.onlyConn(t)
		fakes.Until(t, "it is read", func() bool {
			one.mu.Lock()
			defer one.mu.Unlock()
			return (one.sentValid || !one.frameStart.IsZero()) && one.idle()
		})
		s.CloseAnswered()
		if !s.AllClosed() {
			t.Fatalf("%s: not closed", c.name)
		}
		release := s.holdPoller(t)
		n.Send(c.after)
		fakes.Until(t, "it is unread", func() bool { return unread(one.fd) })
		release()
		fakes.Until(t, "it is read too", func() bool { return !unread(one.fd) })
		if c.name == "idle" {
			n.Expect() // the health check, before the close
		}
		if f, err := n.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v %v after the close", c.name, f, err)
		}
		// The poller has taken it in before it serves another connection.
		other := fakes.Dial(t, s.address)
		other.Send(fakes.EncodeFrame(20, 1, "\x00"))
		other.Expect()
		if _, inFlight := s.Counts(); inFlight != 0 || s.inDispatch() != 0 || len(s.fakeExecutor.Launches) != 0 {
			t.Errorf("%s: %d in flight, %d launched", c.name, inFlight, len(s.fakeExecutor.Launches))
		}
	}
}

// TestSmallAnswersBeforeClose: many small answers go out one by one, each in a write of its own, and the connection is closed
// with unread input. The kernel delays none of them: accepted sockets have TCP_NODELAY set, and all answers arrive.
func TestSmallAnswersBeforeClose(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		b.LingerTimeout, settings.Admission.Cores = time.Minute, 64
	})
	n := fakes.Dial(t, s.address)
	c := s.onlyConn(t)
	if on, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, %v", on, err)
	}
	const many = 20
	for k := range many {
		n.Send(fakes.Invocation(uint32(k+1), k+1))
	}
	for range many {
		s.endNextRun(t, "complete", "r")
	}
	n.Send("\x00\x00\x00\x01xxxx") // closes once all is answered
	fakes.Until(t, "it is closed", func() bool { return s.AllClosed() })
	if _, err := n.Write(make([]byte, 1000)); err != nil && !errors.Is(err, syscall.EPIPE) {
		t.Error(err)
	}
	answers := 0
	f, err := n.Next()
	for ; err == nil; f, err = n.Next() {
		if f.Type == 11 && f.Stream > 0 && f.Code == 1 {
			answers++
		}
	}
	if !errors.Is(err, io.EOF) || answers != many {
		t.Errorf("%d answers of %d, then %v", answers, many, err)
	}
}

// TestConnectionBreaksWithinAResult: the connection to the executor breaks within a notice, within a result, and brings a result
// without its end. The caller gets one answer: complete and unchanged once the next connection brings it, errored without the end.
func TestConnectionBreaksWithinAResult(t *testing.T) {
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	for k, c := range []struct {
		name   string
		breaks func(id string)
		code   byte
		body   string
	}{
		{"cut within its notice", func(id string) { s.fakeExecutor.Send("outcome 1 " + id + " comp"); s.fakeExecutor.Cut() }, 1, "the total"},
		{"cut within its result", func(id string) {
			s.fakeExecutor.Send("outcome 2 " + id + " complete 3 9\r\nthe t")
			s.fakeExecutor.Cut()
		}, 1, "the total"},
		{"without its end", func(id string) { s.fakeExecutor.Notice("outcome %d " + id + " complete 3 9\r\nthe totalXX") }, 3, ""},
	} {
		n.Send(fakes.Invocation(uint32(k+1), k+1))
		l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
		c.breaks(l.ID)
		if c.code == 1 {
			s.fakeExecutor.End(l.ID, "complete", "the total")
		}
		if f := n.Expect(); f.Stream != uint32(k+1) || f.Code != c.code || f.Body != c.body {
			t.Errorf("%s: %v", c.name, f)
		}
		fakes.Until(t, "the executor is connected", s.healthy)
	}
	n.Send(fakes.EncodeFrame(20, 9, "\x00"))
	if f := n.Expect(); f.Stream != 9 {
		t.Errorf("a second answer: %v", f)
	}
	s.expectNothingLeft(t, 1)
}

// TestCloseWithAWriterWaiting: a connection is to close while a goroutine waits for its socket to take answers, with nothing
// else pending. It stays open for writing until they are written, and the peer reads them all.
func TestCloseWithAWriterWaiting(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.UnsentPerConnection, b.UnsentTotal, b.LingerTimeout = 64<<20, 64<<20, time.Minute
	})
	n := fakes.Dial(t, s.address)
	c := s.onlyConn(t)
	const length = 32 << 20 // more than the sockets of both sides hold
	c.send(func(to []byte) []byte { return append(to, make([]byte, length)...) })
	fakes.Until(t, "a writer waits with nothing else pending", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.writing && len(c.pending) == 0
	})
	c.closeWhenAnswered()
	if read, err := io.Copy(io.Discard, n.Conn); err != nil || read != length {
		t.Errorf("read %d of %d bytes, then %v", read, length, err)
	}
}
