package server

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// Invocations that are read after their connection has been closed for writing are not launched and open no stream. The
// caller reads EOF, not a connection reset. The close happens while the connection is idle or within a frame.
func TestInvocationAfterCloseIsIgnored(t *testing.T) {
	complete := fakes.Invocation(1, 1)
	for _, test := range []struct {
		name     string
		before   string // sent before the close
		after    string // sent after the close
		answered bool   // the input before the close is answered
	}{
		{"idle", healthCheck(9), complete + fakes.Invocation(2, 2), true},
		{"within a frame", complete[:40], complete[40:] + fakes.Invocation(2, 2), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.LingerTimeout = time.Minute })
			node, c := s.dialOne(t)
			node.Send(test.before)
			fakes.Until(t, "the input before the close is handled", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return (c.sentValid || !c.frameStart.IsZero()) && c.idle()
			})
			s.CloseAnswered()
			if !s.AllClosed() {
				t.Fatal("the connection is not closed")
			}
			release := s.blockPoller(t)
			node.Send(test.after)
			awaitUnreadInput(t, c)
			release()
			fakes.Until(t, "the input is read", func() bool { return !socketHasUnreadInput(c.fd) })
			if test.answered {
				node.Expect()
			}
			if f, err := node.Next(); !errors.Is(err, io.EOF) {
				t.Errorf("after the close: %v, %v; want io.EOF", f, err)
			}
			// Once the poller has served another connection, it has handled the input of this one.
			other := fakes.Dial(t, s.address)
			other.Send(healthCheck(1))
			other.Expect()
			if s.serverInFlight() != 0 || s.dispatcherInFlight() != 0 || len(s.fakeExecutor.Launches) != 0 {
				t.Errorf("%d in flight, %d launched; want none", s.serverInFlight(), len(s.fakeExecutor.Launches))
			}
		})
	}
}

// A connection that is closed between the read of an invocation and the opening of its stream opens no stream.
func TestClosedConnectionOpensNoStream(t *testing.T) {
	s := openServer(t, nil)
	_, c := s.dialOne(t)
	c.abort()
	if got := c.openStream(&stream{number: 1, canceled: make(chan struct{})}); got != connClosed {
		t.Errorf("openStream() = %d, want connClosed", got)
	}
	s.awaitIdle(t, 0)
}

// A peer that resets its connection within a frame, while its invocation runs, or before it reads the answer does not
// affect other connections, and the state of its connection is released.
func TestResetBeforeAnswerReleasesState(t *testing.T) {
	s := openServer(t, nil)
	other := fakes.Dial(t, s.address)
	for n, test := range []struct {
		name   string
		before func(node *fakes.EdgeNode, invocation string) // actions before the reset
	}{
		{"within a frame", func(node *fakes.EdgeNode, invocation string) { node.Send(invocation[:40]) }},
		{"running", func(node *fakes.EdgeNode, invocation string) {
			node.Send(invocation)
			launch := s.nextLaunch(t)
			t.Cleanup(func() { s.fakeExecutor.End(launch.ID, "complete", "unused result") })
		}},
		{"answered and not read", func(node *fakes.EdgeNode, invocation string) {
			node.Send(invocation)
			s.endNextRun(t, "complete", strings.Repeat("r", 4096))
		}},
	} {
		node := fakes.Dial(t, s.address)
		resetOnClose(t, node)
		test.before(node, fakes.Invocation(1, 10+n))
		_ = node.Close()
		other.Send(fakes.Invocation(uint32(n+1), 20+n))
		s.endNextRun(t, "complete", "r")
		if f := other.Expect(); f.Code != succeeded {
			t.Errorf("%s: the answer on the other connection is %v, want succeeded", test.name, f)
		}
	}
	s.awaitConnections(t, 1)
}
