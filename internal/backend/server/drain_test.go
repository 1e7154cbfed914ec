package server

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// TestCloseAnsweredSparesUnreadInput: an idle connection on which an invocation is unread stays open, and the invocation is answered.
func TestCloseAnsweredSparesUnreadInput(t *testing.T) {
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.EncodeFrame(20, 9, "\x00"))
	n.Expect()
	c := s.onlyConn(t)
	fakes.Until(t, "the answer is written", func() bool { _, idle := c.idleSince(); return idle })
	release := s.holdPoller(t)
	n.Send(fakes.Invocation(1, 1))
	fakes.Until(t, "it is unread", func() bool { return unread(c.fd) })
	if s.AllAnswered() {
		t.Error("all is answered though an invocation is unread")
	}
	s.CloseAnswered()
	release()
	s.endNextRun(t, "complete", "r")
	if f := n.Expect(); f.Stream != 1 || f.Code != 1 {
		t.Errorf("the invocation: %v", f)
	}
}
