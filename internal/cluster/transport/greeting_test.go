package transport

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestInvalidGreetingClosesTheConnection checks that a connection is closed unless its greeting is for the agent's own name, a
// known kind and this version.
func TestInvalidGreetingClosesTheConnection(t *testing.T) {
	agent, _ := runTransport(t, "h1", nil, testLimits())
	for _, test := range []struct{ name, line string }{
		{"another version", "milletbarrow/2 raft h1 h2\n"},
		{"for another agent", "milletbarrow/1 raft h3 h2\n"},
		{"unknown kind", "milletbarrow/1 gossip h1 h2\n"},
		{"no sender", "milletbarrow/1 raft h1\n"},
		{"another field", "milletbarrow/1 raft h1 h2 more\n"},
		{"empty", "\n"},
		{"another protocol", "GET / HTTP/1.1\r\n\r\n"},
		{"too long", strings.Repeat("x", maxGreeting) + "\n"},
		{"well-formed and too long", "milletbarrow/1 raft h1 " + strings.Repeat(" ", maxGreeting) + "h2\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := dialRaw(t, agent.Address())
			send(t, conn, test.line)
			wantClosed(t, conn)
		})
	}
	for kind, queue := range agent.queues {
		if n := len(queue.conns); n > 0 {
			t.Errorf("%d connections of kind %s came in", n, kind)
		}
	}
}

// TestBytesAfterGreetingAreKept checks that a connection has the name of its peer, and that nothing that follows its
// greeting is lost.
func TestBytesAfterGreetingAreKept(t *testing.T) {
	const rest = "what follows"
	agent, _ := runTransport(t, "h1", nil, testLimits())
	send(t, dialRaw(t, agent.Address()), "milletbarrow/1 raft h1 h2\n"+rest)
	in := acceptFrom(t, agent.Listener(KindRaft))
	if peer := in.RemoteAddr(); peer.String() != "h2" || peer.Network() != "peer" {
		t.Errorf("the peer is %s %s", peer.Network(), peer)
	}
	setTestDeadline(in)
	got := make([]byte, len(rest))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != rest {
		t.Errorf("after the greeting came %q, %v", got, err)
	}
}

// TestConnectionWithoutGreetingIsClosedAfterTimeout checks that a connection that does not greet in time is closed, and that the time limit ends with
// the greeting.
func TestConnectionWithoutGreetingIsClosedAfterTimeout(t *testing.T) {
	bounds := testLimits()
	agent, _ := runTransport(t, "h1", nil, bounds)
	start := time.Now()
	silent := dialRaw(t, agent.Address())
	greeted := dialRaw(t, agent.Address())
	send(t, greeted, "milletbarrow/1 packet h1 h2\n")
	in := acceptFrom(t, agent.Listener(KindPacket))
	wantClosed(t, silent)
	if took := time.Since(start); took < bounds.CallTimeout {
		t.Errorf("closed after %v, a greeting may take %v", took, bounds.CallTimeout)
	}
	time.Sleep(bounds.CallTimeout) // the greeted one is idle for longer than a greeting may take
	send(t, greeted, "x")
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection that is idle after its greeting: %v", err)
	}
}
