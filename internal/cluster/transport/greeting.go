package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	protocolVersion = "milletbarrow/1"
	maxGreeting     = 128 // bytes, without the line feed
)

// errGreeting is returned for a first line that is not a greeting of this version.
var errGreeting = errors.New("not a greeting of this protocol")

// greeting is the first line of each connection.
type greeting struct {
	kind     Kind
	to, from string // names of agents
}

func (g greeting) String() string {
	return fmt.Sprintf("%s %s %s %s\n", protocolVersion, g.kind, g.to, g.from)
}

// readGreeting reads the first line byte by byte, as what follows belongs to the connection's next reader.
func readGreeting(c net.Conn, deadline time.Time) (greeting, error) {
	_ = c.SetReadDeadline(deadline) // fails for a closed connection alone, and then the read does too
	line := make([]byte, 0, maxGreeting)
	for next := make([]byte, 1); len(line) < maxGreeting; {
		if _, err := io.ReadFull(c, next); err != nil {
			return greeting{}, err
		}
		if next[0] == '\n' {
			break
		}
		line = append(line, next[0])
	}
	_ = c.SetReadDeadline(time.Time{})
	fields := strings.Fields(string(line))
	if len(fields) != 4 || fields[0] != protocolVersion {
		return greeting{}, errGreeting
	}
	return greeting{kind: Kind(fields[1]), to: fields[2], from: fields[3]}, nil
}

// UnknownPeerError is returned for an agent that no address is known of.
type UnknownPeerError struct{ Name string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("peer %q: no address is known", e.Name) }

// Dial opens a connection of a kind to another agent; ctx bounds the dialing alone. It returns an *UnknownPeerError for an
// agent without an address, and else what the system returned.
func (t *Transport) Dial(ctx context.Context, kind Kind, to string) (net.Conn, error) {
	t.mu.Lock()
	address := t.addresses[to]
	t.mu.Unlock()
	if address == "" {
		return nil, &UnknownPeerError{to}
	}
	c, err := (&net.Dialer{Timeout: t.limits.CallTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(t.limits.CallTimeout))
	if _, err := io.WriteString(c, greeting{kind, to, t.Self}.String()); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Time{})
	return &peerConn{c, peerAddr(to)}, nil
}
