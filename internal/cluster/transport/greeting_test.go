package transport

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestInvalidGreetingClosesTheConnection checks that a connection is closed unless its greeting has the current
// protocol version, a known kind and the name of the dialed agent.
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
			t.Errorf("%d connections of kind %s were queued, want 0", n, kind)
		}
	}
}

// TestBytesAfterGreetingAreKept checks that the bytes after a greeting are left to the consumer of the connection,
// whose remote address is the name of the peer.
func TestBytesAfterGreetingAreKept(t *testing.T) {
	const rest = "what follows"
	agent, _ := runTransport(t, "h1", nil, testLimits())
	send(t, dialRaw(t, agent.Address()), "milletbarrow/1 raft h1 h2\n"+rest)
	in := acceptFrom(t, agent.Listener(KindRaft))
	if peer := in.RemoteAddr(); peer.String() != "h2" || peer.Network() != "peer" {
		t.Errorf("remote address %s %s, want peer h2", peer.Network(), peer)
	}
	setTestDeadline(in)
	got := make([]byte, len(rest))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != rest {
		t.Errorf("after the greeting: %q, error %v, want %q", got, err, rest)
	}
}

// TestConnectionWithoutGreetingIsClosedAfterTimeout checks that a connection without a greeting is closed after
// CallTimeout, and that the time limit does not apply after the greeting.
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
		t.Errorf("closed after %v, before the greeting timeout of %v", took, bounds.CallTimeout)
	}
	time.Sleep(bounds.CallTimeout) // longer than the greeting timeout
	send(t, greeted, "x")
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Errorf("read from a connection that was idle after its greeting: %v", err)
	}
}
