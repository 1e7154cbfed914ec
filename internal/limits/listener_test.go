package limits

import (
	"errors"
	"net"
	"testing"
	"time"
)

const (
	acceptWait     = 10 * time.Second      // within which an Accept has to return
	noAcceptPeriod = 50 * time.Millisecond // within which an Accept beyond the maximum must not return
)

// acceptAsync starts an Accept and returns a channel that receives its error.
func acceptAsync(l net.Listener) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		result <- err
	}()
	return result
}

// listen returns a listener on a loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// dial connects to a listener until the test ends.
func dial(t *testing.T, l net.Listener) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
}

// waitFor returns the result of an Accept that has to return.
func waitFor(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(acceptWait):
		t.Fatal("Accept did not return")
		return nil
	}
}

// expectBlocked fails if an Accept returns although the maximum of connections is open.
func expectBlocked(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case err := <-result:
		t.Fatalf("a connection was accepted beyond the maximum (%v)", err)
	case <-time.After(noAcceptPeriod):
	}
}

// TestListenerAcceptsUpToItsMaximum checks that Accept waits at the maximum of open connections, until one is closed or
// the listener is, and that a connection closed twice counts once.
func TestListenerAcceptsUpToItsMaximum(t *testing.T) {
	l := LimitListener(listen(t), 1)
	for range 3 {
		dial(t, l)
	}
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	second := acceptAsync(l)
	expectBlocked(t, second)
	_ = first.Close()
	_ = first.Close()
	if err := waitFor(t, second); err != nil {
		t.Fatalf("the second connection: %v", err)
	}
	third := acceptAsync(l)
	expectBlocked(t, third)
	_ = l.Close()
	_ = l.Close()
	if err := waitFor(t, third); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept of a closed listener: %v, want %v", err, net.ErrClosed)
	}
}
