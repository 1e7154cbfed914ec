package server

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/fakes"
)

// StopAccepting sends GoAway on each connection. Invocations sent before the peer reads it are still answered, and new
// connections are refused.
func TestStopAcceptingSendsGoAwayAndRefusesConnections(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1))
	first := s.nextLaunch(t)
	s.StopAccepting()
	tr.Say("%v", node.Expect())
	node.Send(fakes.Invocation(2, 2))
	s.endNextRun(t, "complete", "sent before GoAway was read")
	tr.Say("%v", node.Expect())
	tr.Say("idle %t", s.Idle())
	s.fakeExecutor.End(first.ID, "complete", "r")
	tr.Say("%v", node.Expect())
	fakes.Until(t, "the server is idle", s.Idle)
	fakes.Until(t, "new connections are refused", func() bool { return connect(t, s.address) != nil })
	tr.Say("connections left: %d", len(s.openConnections()))
}

// connect tries to connect, closes the connection, and returns the error of connecting.
func connect(tb testing.TB, address string) error {
	tb.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(tb.Context(), "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// Invocations on connections that wait in the accept queue when StopAccepting is called are answered. Later connections
// are refused.
func TestAcceptQueueIsServedBeforeClose(t *testing.T) {
	s := openServer(t, nil)
	release := s.blockPoller(t)
	nodes := make([]*fakes.EdgeNode, 0, 5)
	for n := range 5 {
		node := fakes.Dial(t, s.address)
		node.Send(fakes.Invocation(1, n+1))
		nodes = append(nodes, node)
	}
	stopped := make(chan struct{})
	go func() {
		s.StopAccepting()
		close(stopped)
	}()
	release()
	fakes.Take(t, "the end of StopAccepting", stopped)
	for range nodes {
		s.endNextRun(t, "complete", "r")
	}
	for n, node := range nodes {
		if f := expectAnswer(node); f.Type != byte(frame.KindAnswer) {
			t.Errorf("connection %d: %v, want an answer", n, f)
		}
	}
	if err := connect(t, s.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection after the close: %v, want ECONNREFUSED", err)
	}
}

// CloseAnswered does not close an idle connection with an unread invocation, and the invocation is answered.
func TestCloseAnsweredKeepsConnectionWithUnreadInput(t *testing.T) {
	s := openServer(t, nil)
	node, c := s.dialOne(t)
	node.Send(healthCheck(9))
	node.Expect()
	fakes.Until(t, "the answer is written", func() bool {
		_, idle := c.idleSince()
		return idle
	})
	release := s.blockPoller(t)
	node.Send(fakes.Invocation(1, 1))
	awaitUnreadInput(t, c)
	if s.AllAnswered() {
		t.Error("AllAnswered() = true although an invocation is unread")
	}
	s.CloseAnswered()
	release()
	s.endNextRun(t, "complete", "r")
	if f := node.Expect(); f.Stream != 1 || f.Code != succeeded {
		t.Errorf("the invocation: %v, want succeeded", f)
	}
}
