package server

import (
	"testing"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// At the connection limit, a new connection evicts one without a valid frame, or else an idle one, and never one with
// an open stream. If all have open streams, up to ClosingConnections new ones are accepted and get GoAway, and further
// ones are closed.
func TestEvictionAtConnectionLimitSparesBusyConnections(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.Connections = 2
		b.ClosingConnections = 1
	})
	busy, silent := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	busy.Send(fakes.Invocation(1, 1))
	launch := s.nextLaunch(t)
	s.awaitConnections(t, 2)

	idle := fakes.Dial(t, s.address)
	idle.Send(healthCheck(1))
	tr.Say("a third connection: %v", idle.Expect())
	_, err := silent.Next()
	tr.Say("the connection without a frame ends: %t", err != nil)
	s.awaitConnections(t, 2)

	secondBusy := fakes.Dial(t, s.address)
	secondBusy.Send(healthCheck(1))
	tr.Say("a fourth connection: %v", secondBusy.Expect())
	_, err = idle.Next()
	tr.Say("the idle connection ends: %t", err != nil)
	s.awaitConnections(t, 2)
	secondBusy.Send(fakes.Invocation(2, 2))
	secondLaunch := s.nextLaunch(t)

	overLimit := fakes.Dial(t, s.address) // its invocation may arrive before the server can close it
	overLimit.Send(fakes.Invocation(5, 5))
	tr.Say("a fifth connection, both others are busy: %v", overLimit.Expect())
	overLimitLaunch := s.nextLaunch(t)
	_, err = fakes.Dial(t, s.address).Next()
	tr.Say("a sixth connection ends, all others are busy: %t", err != nil)
	s.fakeExecutor.End(overLimitLaunch.ID, "complete", "r")
	tr.Say("the fifth connection: %v", overLimit.Expect())
	_ = overLimit.Close()
	s.awaitConnections(t, 2)
	s.fakeExecutor.End(launch.ID, "complete", "r")
	s.fakeExecutor.End(secondLaunch.ID, "complete", "r")
	tr.Say("the busy connections: %v, %v", busy.Expect(), secondBusy.Expect())

	busy.Send(fakes.Invocation(2, 3))
	launch = s.nextLaunch(t)
	s.sweep(time.Nanosecond)
	s.fakeExecutor.End(launch.ID, "complete", "r")
	tr.Say("swept while busy: %v", busy.Expect())
	s.awaitIdle(t, 2)
	s.sweep(time.Nanosecond)
	s.sweep(time.Nanosecond)
	tr.Say("swept while idle: %v", busy.Expect())
	_ = busy.Close()
	s.awaitConnections(t, 1)
	late := fakes.Dial(t, s.address)
	late.Send(healthCheck(1))
	tr.Say("below the limit again: %v", late.Expect())
}

// While closed connections wait for the poller, no open connection is evicted for a new one.
func TestNoEvictionWhileClosedConnectionsWait(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.Connections = 2 })
	node := fakes.Dial(t, s.address)
	node.Send(healthCheck(1))
	node.Expect()
	fakes.Dial(t, s.address)
	s.awaitConnections(t, 2)
	release := s.blockPoller(t)
	for range 5 {
		if !s.evict(time.Now()) {
			t.Error("evict() = false, want true")
		}
	}
	release()
	node.Send(fakes.Invocation(2, 2))
	s.endNextRun(t, "complete", "r")
	if f := expectAnswer(node); f.Code != succeeded {
		t.Errorf("on the open connection: %v, want succeeded", f)
	}
}

// Above the high-water mark, GoAway is sent on the connections idle for longest. At the connection limit these are
// closed, several at once if there are many.
func TestIdleConnectionsGetGoAwayAboveHighWaterMark(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.Connections = 64
		b.ConnectionsHighWater = 62
		b.IdleAge = 0
	})
	nodes := make([]*fakes.EdgeNode, 64)
	for i := range nodes {
		nodes[i] = fakes.Dial(t, s.address)
		nodes[i].Send(healthCheck(1))
		nodes[i].Expect()
	}
	s.sweep(0)
	tr.Say("the two idle for longest: %v, %v", nodes[0].Expect(), nodes[1].Expect())
	nodes[2].Send(healthCheck(2))
	tr.Say("the third connection: %v", nodes[2].Expect())
	late := fakes.Dial(t, s.address)
	late.Send(healthCheck(1))
	tr.Say("one more connection: %v", late.Expect())
	s.awaitConnections(t, 62)
	_, err := nodes[1].Next()
	tr.Say("the second connection: %v", err)
}

// A connection that is idle for longer than the callers' idle timeout is closed; a busy one is not.
func TestConnectionIdleTooLongIsClosed(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		b.FrameTimeout = 0
		settings.Admission.IdleTimeout = 50 * monotime.Millisecond
	})
	idle, busy := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	idle.Send(healthCheck(1))
	tr.Say("%v", idle.Expect())
	busy.Send(fakes.Invocation(1, 1))
	launch := s.nextLaunch(t)
	fakes.Until(t, "one connection is closed", func() bool {
		s.sweep(0)
		n, _ := s.Counts()
		return n == 1
	})
	_, err := idle.Next()
	tr.Say("the idle connection: %v", err)
	s.fakeExecutor.End(launch.ID, "complete", "r")
	tr.Say("the busy connection: %v", busy.Expect())
}

// A connection with an unread invocation is neither expired nor evicted after its timeouts have passed, as happens when
// the process was stalled.
func TestUnreadInputPreventsClose(t *testing.T) {
	shortTimeouts := func(b *limits.Bounds, settings *config.Settings) {
		b.FrameTimeout = time.Millisecond
		b.IdleAge = 0
		b.SweepInterval = time.Hour
		settings.Admission.IdleTimeout = monotime.Millisecond
	}
	sweep := func(s *testServer) { s.sweep(0) }
	evict := func(s *testServer) { s.evict(time.Now()) }
	invocation := fakes.Invocation(1, 1)
	for _, test := range []struct {
		name   string
		read   string // sent, and read before the poller is blocked
		unread string // sent while the poller is blocked
		closes func(*testServer)
	}{
		{"without a frame", "", invocation, sweep},
		{"within a frame", invocation[:30], invocation[30:], sweep},
		{"idle", healthCheck(9), invocation, sweep},
		{"idle and full", healthCheck(9), invocation, evict},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := openServer(t, shortTimeouts)
			node, c := s.dialOne(t)
			node.Send(test.read)
			switch test.read {
			case "":
			case healthCheck(9):
				node.Expect()
			default:
				awaitFrameStart(t, c)
			}
			release := s.blockPoller(t)
			node.Send(test.unread)
			awaitUnreadInput(t, c)
			start := time.Now()
			fakes.Until(t, "all timeouts have passed", func() bool { return time.Since(start) > 10*time.Millisecond })
			test.closes(s)
			release()
			s.endNextRun(t, "complete", "r")
			if f := expectAnswer(node); f.Type != byte(frame.KindAnswer) || f.Code != succeeded {
				t.Errorf("the unread invocation: %v, want succeeded", f)
			}
		})
	}
}
