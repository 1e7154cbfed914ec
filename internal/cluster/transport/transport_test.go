package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestFullQueueDelaysNoOtherKind checks that if nobody accepts one kind, its further connections are closed after a
// time, and no other kind waits.
func TestFullQueueDelaysNoOtherKind(t *testing.T) {
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
		t.Fatal("no connection was closed, though one more waits than may")
	}
	for range maxPendingConns {
		acceptFrom(t, to.Listener(KindPacket))
	}
	if n := len(closed); n > 0 {
		t.Errorf("%d connections more were closed", n)
	}
}

// TestRunFreesAddressAndClosesPendingConnections checks that when Run has ended, its address is free, connections that nobody accepted are closed, and
// those that were accepted stay open. It ends also while as many connections are open as may be.
func TestRunFreesAddressAndClosesPendingConnections(t *testing.T) {
	bounds := testLimits()
	bounds.Connections = 1
	bounds.CallTimeout = time.Minute // for greetings
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
	dialRaw(t, address) // one more than may be open: Run waits for one to end
	end()
	wantClosed(t, greeting)
	wantClosed(t, pending)
	send(t, in, "x")
	if _, err := accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection that was accepted: %v", err)
	}
	if _, err := agent.Listener(KindRaft).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the end: %v", err)
	}
	again, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("the address is still in use: %v", err)
	}
	_ = again.Close()
}

// TestClosedListenerClosesPendingAndLaterConnections checks that after its consumer closes a listener, connections of its kind are closed: those that
// wait and those that come later.
func TestClosedListenerClosesPendingAndLaterConnections(t *testing.T) {
	to, from := runPair(t, testLimits())
	pending := dialKind(t, from, KindRaft)
	setTestDeadline(pending)
	waitForPending(t, to, KindRaft)
	if err := to.Listener(KindRaft).Close(); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, pending)
	for range 20 { // a select chooses at random between the queue's capacity and its end
		conn := dialKind(t, from, KindRaft)
		setTestDeadline(conn)
		wantClosed(t, conn)
	}
}
