package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestDialingUnknownPeerFails checks that Dial and Call to an agent without an address return an error that names it.
func TestDialingUnknownPeerFails(t *testing.T) {
	const wantText = `peer "h9": no known address`
	agent, _ := runTransport(t, "h1", nil, testLimits())
	_, err := agent.Dial(t.Context(), KindRaft, "h9")
	unknown, ok := errors.AsType[*UnknownPeerError](err)
	if !ok || unknown.Name != "h9" || err.Error() != wantText {
		t.Errorf("Dial: error %v, want %s", err, wantText)
	}
	err = agent.Call(t.Context(), "h9", "/x", nil, nil)
	if _, ok := errors.AsType[*UnknownPeerError](err); !ok {
		t.Errorf("Call: error %v, want %s", err, wantText)
	}
}

// TestDialEndsWithItsContextOrTimeout checks that dialing a peer that does not accept connections ends with the
// context, or after CallTimeout if the context has not ended.
func TestDialEndsWithItsContextOrTimeout(t *testing.T) {
	bounds := testLimits()
	agent, _ := runTransport(t, "h1", map[string]string{"h2": unresponsiveAddress(t)}, bounds)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(bounds.CallTimeout/4, cancel)
	start := time.Now()
	_, err := agent.Dial(ctx, KindRaft, "h2")
	if !errors.Is(err, context.Canceled) && !strings.Contains(fmt.Sprint(err), "operation was canceled") {
		t.Errorf("canceled dial: error %v, want a cancellation", err)
	}
	if took := time.Since(start); took >= bounds.CallTimeout {
		t.Errorf("the canceled dial took %v", took)
	}
	_, err = agent.Dial(t.Context(), KindRaft, "h2")
	if netErr, ok := errors.AsType[net.Error](err); !ok || !netErr.Timeout() {
		t.Errorf("dial of an unresponsive peer: error %v, want a timeout", err)
	}
}

// unresponsiveAddress returns an address at which the kernel neither accepts nor refuses connections, because the
// accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	socketAddress, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("socket address is a %T", name)
	}
	address := fmt.Sprint("127.0.0.1:", socketAddress.Port)
	dialer := net.Dialer{Timeout: 100 * time.Millisecond}
	for range 8 {
		conn, err := dialer.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the kernel accepts connections beyond the accept queue")
	return ""
}
