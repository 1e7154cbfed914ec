package transport

import (
	"context"
	"fmt"
	"net"
	"time"
)

// UnknownPeerError reports an agent whose address is not known.
type UnknownPeerError struct {
	Name string // name of the agent
}

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("peer %q: no known address", e.Name) }

// Dial opens a connection of a kind to another agent; ctx applies to the dialing only. For an agent without a known
// address it returns an *UnknownPeerError. Errors of the network are returned unwrapped, because the memberlist library
// checks for a *net.OpError.
func (t *Transport) Dial(ctx context.Context, kind Kind, to string) (net.Conn, error) {
	t.mu.Lock()
	address := t.addresses[to]
	t.mu.Unlock()
	if address == "" {
		return nil, &UnknownPeerError{Name: to}
	}
	dialer := net.Dialer{Timeout: t.limits.CallTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(t.limits.CallTimeout)
	if err := writeGreeting(conn, deadline, greeting{kind: kind, to: to, from: t.Self}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &peerConn{Conn: conn, remote: peerAddr(to)}, nil
}
