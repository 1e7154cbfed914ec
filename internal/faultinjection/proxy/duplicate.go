package proxy

import (
	"bytes"
	"io"
	"time"
)

const (
	maxRecorded      int           = 256 << 10 // bytes of a connection after which recording stops
	callMarkerWindow int           = 128       // bytes of a connection that are searched for callMarker
	responseTimeout  time.Duration = 2 * time.Second
)

// callMarker is the part of a connection's first line that identifies a call between agents.
var callMarker = []byte(" call ")

// isCall reports whether the recorded bytes of a connection begin with a call.
func isCall(recorded []byte) bool {
	return bytes.Contains(recorded[:min(len(recorded), callMarkerWindow)], callMarker)
}

// Duplicate repeats each call that begins from now on, with the given delay after the call has ended. The response to
// the repeated call is discarded. A delay of 0 ends the fault.
func (l *Link) Duplicate(delay time.Duration) {
	l.mu.Lock()
	l.duplicateDelay = delay
	l.mu.Unlock()
	l.Reset() // closes connections that were not recorded from their start
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
