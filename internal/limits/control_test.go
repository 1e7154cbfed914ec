package limits

import (
	"errors"
	"net"
	"testing"
	"time"
)

// accepted starts an Accept and returns its result.
func accepted(l net.Listener) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		result <- err
	}()
	return result
}

// dial connects to a listener until the test ends.
func dial(t *testing.T, l net.Listener) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
}

// waitFor returns the result of an Accept that has to end.
func waitFor(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("Accept did not return")
		return nil
	}
}

// TestLimitListener: Accept waits at the maximum of open connections, and goes on once one is closed, or with net.ErrClosed once
// the listener is. A connection closed twice counts once.
func TestLimitListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitListener(inner, 1)
	dial(t, l)
	dial(t, l)
	dial(t, l)
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	second := accepted(l)
	select {
	case err := <-second:
		t.Fatalf("a connection was accepted beyond the maximum (%v)", err)
	case <-time.After(50 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close()
	if err := waitFor(t, second); err != nil {
		t.Fatalf("the second connection: %v", err)
	}
	third := accepted(l)
	select {
	case err := <-third:
		t.Fatalf("a connection was accepted beyond the maximum after one was closed twice (%v)", err)
	case <-time.After(50 * time.Millisecond):
	}
	_ = l.Close()
	_ = l.Close()
	if err := waitFor(t, third); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept of a closed listener: %v, want net.ErrClosed", err)
	}
}
