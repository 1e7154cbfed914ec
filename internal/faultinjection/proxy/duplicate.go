package proxy

import (
	"bytes"
	"io"
	"time"
)

const (
	maxCall         int           = 256 << 10 // bytes recorded of a connection, after which recording stops
	maxFirstLine    int           = 128       // bytes of a connection that are searched for callMark
	responseTimeout time.Duration = 2 * time.Second
)

// callMark is the part of a connection's first line that identifies a call between agents.
var callMark = []byte(" call ")

// isCall reports whether the bytes of a connection begin with a call.
func isCall(carried []byte) bool {
	return bytes.Contains(carried[:min(len(carried), maxFirstLine)], callMark)
}

// Duplicate repeats each call that begins from now on, with the given delay after the call has ended. The response to
// the repeated call is discarded. A delay of 0 ends the fault.
func (l *Link) Duplicate(delay time.Duration) {
	l.mu.Lock()
	l.duplicateDelay = delay
	l.mu.Unlock()
	l.Reset() // ends connections that are not recorded
}

// repeat sends the recorded bytes of a connection again, after a delay.
func (l *Link) repeat(recorded []byte, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-l.closed:
		return
	}
	conn, err := l.dial()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	_, _ = conn.Write(recorded)
	_, _ = io.Copy(io.Discard, conn)
}
