package server

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// Races: each of these tests forces one unfavourable order of events.

// holdPoller blocks the poller until release is called: input that arrives meanwhile stays unread in the sockets, as when the
// process is stalled. A new connection brings the poller to the listener, which is locked.
func (s *testServer) holdPoller(t testing.TB) (release func()) {
	s.listener.mu.Lock()
	knock, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { knock.Close() })
	// The poller waits for the listener once it no longer reads what another connection sends.
	return s.listener.mu.Unlock
}

// onlyConn waits until one connection is open, and returns it.
func (s *testServer) onlyConn(t testing.TB) *conn {
	fakes.Until(t, "one is open", func() bool { n, _ := s.Counts(); return n == 1 })
	return s.all()[0]
}

// TestAcceptQueue: the listener closes while connections whose invocations are written are in the accept queue. Each is
// answered, and later connections are refused.
func TestAcceptQueue(t *testing.T) {
	s := openServer(t, nil)
	release := s.holdPoller(t)
	nodes := make([]*fakes.EdgeNode, 0, 5)
	for k := range 5 {
		n := fakes.Dial(t, s.address)
		n.Send(fakes.Invocation(1, k+1))
		nodes = append(nodes, n)
	}
	closed := make(chan struct{})
	go func() { s.StopAccepting(); close(closed) }()
	release()
	fakes.Take(t, "the listener's closing", closed)
	for range nodes {
		s.endNextRun(t, "complete", "r")
	}
	for k, n := range nodes {
		for f := n.Expect(); f.Type != 11; f = n.Expect() {
			if f.Type != 30 {
				t.Errorf("%d: %v", k, f)
			}
		}
	}
	if c, err := net.Dial("tcp", s.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("accepted after the listener is closed: %v %v", c, err)
	}
}

// TestUnreadOnIdle: timeouts have expired on connections with unread invocations, as the process was stalled. None of these is
// closed: not as silent, within a frame or idle for too long, nor evicted.
func TestUnreadOnIdle(t *testing.T) {
	short := func(b *limits.Bounds, settings *config.Settings) {
		b.FrameTimeout, b.IdleAge, b.SweepInterval = time.Millisecond, 0, time.Hour
		settings.Admission.IdleTimeout = 1000
	}
	for _, c := range []struct {
		name, before string
		after        string // what is unread
		closes       func(*testServer)
	}{
		{"silent", "", fakes.Invocation(1, 1), func(s *testServer) { s.sweep(0) }},
		{"within a frame", fakes.Invocation(1, 2)[:30], fakes.Invocation(1, 2)[30:], func(s *testServer) { s.sweep(0) }},
		{"resting", fakes.EncodeFrame(20, 9, "\x00"), fakes.Invocation(1, 3), func(s *testServer) { s.sweep(0) }},
		{"full", fakes.EncodeFrame(20, 9, "\x00"), fakes.Invocation(1, 4), func(s *testServer) { s.evict(time.Now()) }},
	} {
		s := openServer(t, short)
		n := fakes.Dial(t, s.address)
		n.Send(c.before)
		one := s.onlyConn(t)
		if strings.HasPrefix(c.before, fakes.EncodeFrame(20, 9, "\x00")) {
			n.Expect()
		} else if c.before != "" {
			fakes.Until(t, "the frame has begun", func() bool { one.mu.Lock(); defer one.mu.Unlock(); return !one.frameStart.IsZero() })
		}
		release := s.holdPoller(t)
		n.Send(c.after)
		fakes.Until(t, "it is unread", func() bool { return unread(one.fd) })
		time.Sleep(10 * time.Millisecond) // all timeouts expire
		c.closes(s)
		release()
		s.endNextRun(t, "complete", "r")
		f := n.Expect()
		for f.Type == 30 {
			f = n.Expect()
		}
		if f.Type != 11 || f.Code != 1 {
			t.Errorf("%s: %v", c.name, f)
		}
	}
}

// TestStallWithinAFrame: the process was stalled for longer than a frame may take; that time is not counted against its peer.
func TestStallWithinAFrame(t *testing.T) {
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	complete := fakes.Invocation(1, 1)
	n.Send(complete[:30])
	c := s.onlyConn(t)
	fakes.Until(t, "the frame has begun", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return !c.frameStart.IsZero() })
	s.sweep(0)
	stalled := s.bounds.FrameTimeout + time.Second
	c.extendDeadlines(-stalled) // as if it had arrived so long ago,
	s.lastSweep = s.lastSweep.Add(-stalled)
	s.sweep(0) // and no sweep had been made since
	n.Send(complete[30:])
	s.endNextRun(t, "complete", "r")
	if f := n.Expect(); f.Code != 1 {
		t.Error(f)
	}
}

// TestValidAfterInvalid: a connection that has sent too many invalid frames closes once all is answered; a valid invocation that
// arrives meanwhile does not run, and is throttled.
func TestValidAfterInvalid(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	for k := range s.bounds.InvalidFrames {
		n.Send(fakes.Invocation(uint32(k+2), k+2, "class=x"))
		if f := n.Expect(); f.Code != 3 {
			t.Error(f)
		}
	}
	n.Send(fakes.Invocation(99, 99))
	tr.Say("a sound one: %v", n.Expect())
	s.fakeExecutor.End(l.ID, "complete", "r")
	tr.Say("the first: %v", n.Expect())
	_, err := n.Next()
	tr.Say("then %v", err)
	tr.Say("launches left %d", len(s.fakeExecutor.Launches))
}

// TestLastAnswersBeforeUnreadInput: a connection ends while its peer, which reads nothing yet, goes on sending. All
// answers still reach it: closed at once, the kernel would reset the connection and drop the answers in flight.
func TestLastAnswersBeforeUnreadInput(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.LingerTimeout = 5 * time.Second })
	s.fakeExecutor.With(func(_, gauges *string) { *gauges = "0.1 0 0.1 1" })
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	plain, err := d.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { plain.Close() })
	n := fakes.NewEdgeNode(t, plain)
	const many = 16
	for k := range many {
		n.Send(fakes.Invocation(uint32(k+1), k+1, "wait=60000"))
		s.endNextRun(t, "complete", strings.Repeat("r", 4096))
	}
	c := s.onlyConn(t)
	n.Send("\x00\x00\x00\x01xxxx")
	fakes.Until(t, "all is written", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.writeClosed })
	for range 20 {
		_, _ = plain.Write(make([]byte, 100))
		time.Sleep(time.Millisecond)
	}
	answers := 0
	for {
		f, err := n.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) || answers != many {
				t.Errorf("%d answers of %d, then %v", answers, many, err)
			}
			break
		}
		if f.Type == 11 && f.Stream > 0 && len(f.Body) == 4096 {
			answers++
		}
	}
}

// TestClosedBeforeItsStreamOpens: the connection is cut between the reading of an invocation and the opening of its
// stream. Nobody can be answered: nothing is opened, handled or run.
func TestClosedBeforeItsStreamOpens(t *testing.T) {
	s := openServer(t, nil)
	fakes.Dial(t, s.address)
	c := s.onlyConn(t)
	c.abort()
	if reused, opened, gone := c.openStream(&stream{number: 1, canceled: make(chan struct{})}); reused || opened || !gone {
		t.Errorf("again %t, room %t, gone %t", reused, opened, gone)
	}
	s.expectNothingLeft(t, 0)
}

// TestDueBeforeItsLaunch: an invocation falls due, and is errored, between its admission and its launch. It does not run.
func TestDueBeforeItsLaunch(t *testing.T) {
	s := openServer(t, nil)
	stop := func() {
		fakes.Until(t, "it is errored", func() bool { c, _ := s.dispatcher.Counts(); return c.Errored == 1 })
	}
	s.beforeLaunch.Store(&stop)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1, "wait=150"))
	if f := n.Expect(); f.Code != 3 {
		t.Error(f)
	}
	fakes.Until(t, "it is complete", func() bool { _, inFlight := s.Counts(); return inFlight == 0 })
	if len(s.fakeExecutor.Launches) > 0 {
		t.Error("it was launched")
	}
	s.expectNothingLeft(t, 1)
}

// TestResetBeforeItsAnswer: the peer resets at every stage: within a frame, with an invocation unread, held, running.
// Nothing is left over, and another connection is answered.
func TestResetBeforeItsAnswer(t *testing.T) {
	s := openServer(t, nil)
	other := fakes.Dial(t, s.address)
	for k, stage := range []string{"within a frame", "running", "answered and not read"} {
		n := fakes.Dial(t, s.address)
		n.Conn.(*net.TCPConn).SetLinger(0)
		frame := fakes.Invocation(1, 10+k)
		if stage == "within a frame" {
			frame = frame[:40]
		}
		n.Send(frame)
		if stage != "within a frame" {
			l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
			if stage == "running" {
				defer s.fakeExecutor.End(l.ID, "complete", "nobody waits")
			} else {
				s.fakeExecutor.End(l.ID, "complete", strings.Repeat("r", 4096))
			}
		}
		n.Close()
		other.Send(fakes.Invocation(uint32(k+1), 20+k))
		s.endNextRun(t, "complete", "r")
		if f := other.Expect(); f.Code != 1 {
			t.Errorf("%s: beside it %v", stage, f)
		}
	}
	fakes.Until(t, "they are gone", func() bool { n, _ := s.Counts(); return n == 1 })
}

// TestEvictionCountsClosing: the bound is reached by connections that are closed and wait for the poller, which is busy with new
// ones. No open connection is evicted for the new ones.
func TestEvictionCountsClosing(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.Connections = 2 })
	n := fakes.Dial(t, s.address)
	n.Send(fakes.EncodeFrame(20, 1, "\x00"))
	n.Expect()
	fakes.Dial(t, s.address)
	fakes.Until(t, "both are open", func() bool { n, _ := s.Counts(); return n == 2 })
	release := s.holdPoller(t)
	for range 5 {
		if !s.evict(time.Now()) {
			t.Error("nothing is evicted")
		}
	}
	release()
	n.Send(fakes.Invocation(2, 2))
	s.endNextRun(t, "complete", "r")
	f := n.Expect()
	for f.Type == 30 {
		f = n.Expect()
	}
	if f.Code != 1 {
		t.Error(f)
	}
}
