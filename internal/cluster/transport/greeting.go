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
	maxGreeting     = 128 // bytes, without the line feed
)

// errGreeting reports a first line that is not a greeting of this version.
var errGreeting = errors.New("not a greeting of protocol " + protocolVersion)

// greeting is the first line of each connection.
type greeting struct {
	kind Kind
	to   string // name of the agent that the connection is for
	from string // name of the agent that dials
}

// String returns the line, with its line feed.
func (g greeting) String() string {
	return fmt.Sprintf("%s %s %s %s\n", protocolVersion, g.kind, g.to, g.from)
}

// writeGreeting writes the first line of a connection.
func writeGreeting(conn net.Conn, deadline time.Time, g greeting) error {
	_ = conn.SetWriteDeadline(deadline) // fails only for a closed connection, as the write does
	if _, err := io.WriteString(conn, g.String()); err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return nil
}

// readGreeting reads the first line byte by byte, as what follows belongs to the connection's next reader.
func readGreeting(conn net.Conn, deadline time.Time) (greeting, error) {
	_ = conn.SetReadDeadline(deadline) // fails only for a closed connection, as the read does
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
