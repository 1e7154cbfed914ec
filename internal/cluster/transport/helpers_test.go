package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/limits"
)

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 5 * time.Second

// testLimits returns the production limits with a short call timeout.
func testLimits() limits.Control {
	bounds := limits.ForControl()
	bounds.CallTimeout = 200 * time.Millisecond
	return bounds
}

// runTransport runs a transport on loopback until the end of the test, or until the returned function is called.
func runTransport(t *testing.T, self string, addresses map[string]string, bounds limits.Control) (*Transport, func()) {
	t.Helper()
	transport, err := Listen(self, "127.0.0.1:0", addresses, bounds)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	end := func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Run: %v", err)
			}
			ended <- nil // for a second call of end
		case <-time.After(waitTimeout):
			t.Error("Run did not return after its context ended")
		}
	}
	t.Cleanup(end)
	return transport, end
}

// runPair runs agent h1, and agent h2 that knows the address of h1.
func runPair(t *testing.T, bounds limits.Control) (h1, h2 *Transport) {
	t.Helper()
	h1, _ = runTransport(t, "h1", nil, bounds)
	h2, _ = runTransport(t, "h2", map[string]string{"h1": h1.Address()}, bounds)
	return h1, h2
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// serveCalls serves calls to an agent until the end of the test.
func serveCalls(t *testing.T, agent *Transport, handler http.HandlerFunc) *countingListener {
	t.Helper()
	listener := &countingListener{Listener: agent.Listener(KindCall)}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return listener
}

// dialRaw opens a connection without sending a greeting.
func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	setTestDeadline(conn)
	return conn
}

// dialKind opens a connection of one kind to h1.
func dialKind(t *testing.T, from *Transport, kind Kind) net.Conn {
	t.Helper()
	conn, err := from.Dial(t.Context(), kind, "h1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// setTestDeadline sets a deadline for reads and writes of a test. It replaces deadlines that the transport may have
// left on the connection.
func setTestDeadline(conn net.Conn) { _ = conn.SetDeadline(time.Now().Add(waitTimeout)) }

// send writes text to a connection, or fails the test.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// acceptFrom accepts one connection from a listener, or fails the test.
func acceptFrom(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	select {
	case conn := <-accepted:
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	case <-time.After(waitTimeout):
		t.Fatal("no connection was accepted in time")
		return nil
	}
}

// waitForPending waits until a connection of one kind is queued but not accepted.
func waitForPending(t *testing.T, agent *Transport, kind Kind) {
	t.Helper()
	const pollInterval = time.Millisecond
	for start := time.Now(); len(agent.queues[kind].conns) == 0; time.Sleep(pollInterval) {
		if time.Since(start) > waitTimeout {
			t.Fatal("no connection was queued in time")
		}
	}
}

// wantClosed fails the test unless the peer closes the connection in time.
func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	if netErr, ok := errors.AsType[net.Error](err); err == nil || ok && netErr.Timeout() {
		t.Errorf("the connection is still open: %v", err)
	}
}
