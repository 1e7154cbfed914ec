package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestFullQueueDoesNotDelayOtherKinds checks that while the accept queue of one kind is full, an additional connection
// of that kind is closed after a timeout, and connections of other kinds are accepted.
func TestFullQueueDoesNotDelayOtherKinds(t *testing.T) {
	to, from := runPair(t, testLimits())
	conns := make([]net.Conn, 0, maxPendingConns+1)
	for range maxPendingConns + 1 {
		conn := dialKind(t, from, KindPacket)
		setTestDeadline(conn)
		conns = append(conns, conn)
	}
	dialKind(t, from, KindStream)
	acceptFrom(t, to.Listener(KindStream))
	closed := make(chan int, len(conns))
	for i, conn := range conns {
		go func() {
			if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed <- i
			}
		}()
	}
	select {
	case <-closed:
	case <-time.After(waitTimeout):
		t.Fatal("no connection was closed, although the accept queue is full")
	}
	for range maxPendingConns {
		acceptFrom(t, to.Listener(KindPacket))
	}
	if n := len(closed); n > 0 {
		t.Errorf("%d more connections were closed, want 0", n)
	}
}

// TestRunFreesAddressAndClosesPendingConnections checks that when Run has returned, the address is free, pending
// connections are closed, and accepted connections stay open. Run returns even while the limit of open connections is
// reached.
func TestRunFreesAddressAndClosesPendingConnections(t *testing.T) {
	bounds := testLimits()
	bounds.Connections = 1
	bounds.CallTimeout = time.Minute // greetings do not time out
	agent, end := runTransport(t, "h1", nil, bounds)
	address := agent.Address()
	greeting := dialRaw(t, address)
	send(t, greeting, "milletbarrow/1 ra")
	accepted := dialRaw(t, address)
	pending := dialRaw(t, address)
	send(t, accepted, "milletbarrow/1 call h1 h2\n")
	in := acceptFrom(t, agent.Listener(KindCall))
	send(t, pending, "milletbarrow/1 raft h1 h2\n")
	waitForPending(t, agent, KindRaft)
	dialRaw(t, address)
	dialRaw(t, address) // exceeds the limit, so that Run blocks until a connection is closed
	end()
	wantClosed(t, greeting)
	wantClosed(t, pending)
	send(t, in, "x")
	if _, err := accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("read from an accepted connection: %v", err)
	}
	if _, err := agent.Listener(KindRaft).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Run returned: error %v, want net.ErrClosed", err)
	}
	again, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("the address is still in use: %v", err)
	}
	_ = again.Close()
}

// TestClosedListenerClosesPendingAndLaterConnections checks that when its consumer closes a listener, pending and later
// connections of its kind are closed.
func TestClosedListenerClosesPendingAndLaterConnections(t *testing.T) {
	to, from := runPair(t, testLimits())
	pending := dialKind(t, from, KindRaft)
	setTestDeadline(pending)
	waitForPending(t, to, KindRaft)
	if err := to.Listener(KindRaft).Close(); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, pending)
	for range 20 { // select chooses randomly between queueing and the closed channel
		conn := dialKind(t, from, KindRaft)
		setTestDeadline(conn)
		wantClosed(t, conn)
	}
}
