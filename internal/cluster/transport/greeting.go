package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	protocolVersion = "milletbarrow/1"
	greetingFields  = 4   // version, kind, to and from
	maxGreeting     = 128 // bytes before the line feed
)

// errGreeting reports a first line that is not a greeting of this protocol version.
var errGreeting = errors.New("first line is not a greeting of protocol " + protocolVersion)

// greeting is the first line of each connection.
type greeting struct {
	kind Kind
	to   string // name of the agent that is dialed
	from string // name of the agent that dials
}

// String returns the greeting as a line, including the line feed.
func (g greeting) String() string {
	return fmt.Sprintf("%s %s %s %s\n", protocolVersion, g.kind, g.to, g.from)
}

// writeGreeting writes the greeting to a connection before the deadline.
func writeGreeting(conn net.Conn, deadline time.Time, g greeting) error {
	_ = conn.SetWriteDeadline(deadline) // fails only for a closed connection, on which the write fails too
	if _, err := io.WriteString(conn, g.String()); err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return nil
}

// readGreeting reads the greeting from a connection. It reads byte by byte, because the bytes after the greeting belong
// to the connection's consumer.
func readGreeting(conn net.Conn, deadline time.Time) (greeting, error) {
	_ = conn.SetReadDeadline(deadline) // fails only for a closed connection, on which the read fails too
	line := make([]byte, 0, maxGreeting)
	for next := make([]byte, 1); len(line) < maxGreeting; {
		if _, err := io.ReadFull(conn, next); err != nil {
			return greeting{}, err
		}
		if next[0] == '\n' {
			break
		}
		line = append(line, next[0])
	}
	_ = conn.SetReadDeadline(time.Time{})
	fields := strings.Fields(string(line))
	if len(fields) != greetingFields || fields[0] != protocolVersion {
		return greeting{}, errGreeting
	}
	return greeting{kind: Kind(fields[1]), to: fields[2], from: fields[3]}, nil
}
