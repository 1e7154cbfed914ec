package proxy

import (
	"bytes"
	"net"
	"time"
)

const (
	maxCall       = 256 << 10 // bytes of a connection that are recorded to be brought again, about
	maxFirstLine  = 128       // bytes in which callMark is looked for
	answerTimeout = 2 * time.Second
)

// callMark is in the first line of a conversation between agents.
var callMark = []byte(" call ")

// isCall reports whether what a connection carried began with a call.
func isCall(carried []byte) bool {
	return bytes.Contains(carried[:min(len(carried), maxFirstLine)], callMark)
}

// Duplicate has calls that begin from now on come again later by a span, their second answer being read by nobody; 0
// ends it.
func (l *Link) Duplicate(later time.Duration) {
	l.mu.Lock()
	l.duplicate = later
	l.mu.Unlock()
	l.Reset() // connections that are open would go on as they were
}

// repeat brings what a connection carried a second time.
func (l *Link) repeat(carried []byte, later time.Duration) {
	select {
	case <-time.After(later):
	case <-l.closed:
		return
	}
	conn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = conn.Write(carried)
	for b := make([]byte, 4096); ; { // the answer is read and dropped
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}
