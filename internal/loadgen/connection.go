package loadgen

import (
	"bytes"
	"net"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/simulation"
)

// connection is one connection of one node to one backend. The sender's mutex guards it, but for the socket.
type connection struct {
	sender        *sender
	node, backend int
	conn          net.Conn
	unanswered    map[uint32]*sentAttempt
	lastStream    uint32
	pending       []byte
	writing       bool
	closed        bool
	goingAway     bool
}

// sentAttempt is an attempt that was sent, under its id.
type sentAttempt struct {
	request *Request
	id      string
}

// dial opens the connection and sends what is pending.
func (l *connection) dial(address string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	l.sender.mu.Lock()
	if err != nil || l.closed {
		l.fail(simulation.Unreachable)
		l.sender.mu.Unlock()
		if c != nil {
			_ = c.Close()
		}
		return
	}
	l.conn = c
	l.flush()
	l.sender.mu.Unlock()
	l.read(c)
}

// send appends a frame and starts writing. The caller holds the sender's mutex.
func (l *connection) send(req *Request, invocation *frame.OutgoingInvocation) {
	l.lastStream++
	l.unanswered[l.lastStream] = &sentAttempt{request: req, id: invocation.ID}
	req.OpenAttempts++
	l.pending = frame.AppendInvocation(l.pending, l.lastStream, invocation)
	l.flush()
}

// flush starts writing what is pending, without the mutex meanwhile. The caller holds it.
func (l *connection) flush() {
	if l.writing || l.conn == nil || len(l.pending) == 0 {
		return
	}
	l.writing = true
	go func() {
		for {
			l.sender.mu.Lock()
			out, c := l.pending, l.conn
			l.pending = nil
			if len(out) == 0 || l.closed {
				l.writing = false
				l.sender.mu.Unlock()
				return
			}
			l.sender.mu.Unlock()
			if _, err := c.Write(out); err != nil {
				_ = c.Close() // the reader handles the end
			}
		}
	}()
}

// read handles frames until the connection ends.
func (l *connection) read(c net.Conn) {
	defer func() { _ = c.Close() }()
	const most = 262_144
	buffer, have := make([]byte, 16<<10), 0
	for {
		n, err := c.Read(buffer[have:])
		have += n
		l.sender.mu.Lock()
		used := 0
		for {
			h, payload, took, bad := frame.SplitFrame(buffer[used:have], most)
			if bad != nil {
				err = bad
			}
			if took == 0 {
				break
			}
			used += took
			if bad := l.handleFrame(h, payload); bad != nil {
				err = bad
			}
		}
		have = copy(buffer, buffer[used:have])
		if have == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		if err != nil || l.goingAway && l.allAnswered() {
			l.fail(simulation.Reset)
			l.sender.mu.Unlock()
			return
		}
		l.sender.mu.Unlock()
	}
}

// allAnswered reports whether nothing is unanswered or pending. The caller holds the sender's mutex.
func (l *connection) allAnswered() bool {
	for _, x := range l.unanswered {
		if !x.request.Finished {
			return false
		}
	}
	return len(l.pending) == 0
}

// handleFrame handles one frame. The caller holds the sender's mutex.
func (l *connection) handleFrame(h frame.Header, payload []byte) error {
	switch h.Kind {
	case frame.KindGoAway:
		l.goingAway = true
		if l.sender.connections[[2]int{l.node, l.backend}] == l { // the next attempt opens another connection
			delete(l.sender.connections, [2]int{l.node, l.backend})
		}
	case frame.KindAnswer:
		ans, err := frame.ReadAnswer(payload)
		if err != nil {
			return err
		}
		x := l.unanswered[h.Stream]
		if x == nil {
			if h.Stream > 0 && h.Stream <= l.lastStream { // a second answer
				l.sender.report.DuplicateAnswers++
			}
			return nil
		}
		delete(l.unanswered, h.Stream)
		x.request.OpenAttempts--
		heard := Response{Outcome: simulation.Errored, RetryAfter: ans.After, DontRetry: ans.Last}
		switch ans.Code {
		case frame.Succeeded:
			heard.Outcome = simulation.Succeeded
			if !bytes.Equal(ans.Body, []byte("result of "+x.id)) {
				l.sender.report.UnknownResults++
			}
		case frame.Throttled:
			heard.Outcome = simulation.Throttled
		}
		l.sender.handleResponse(x.request, l.node, l.backend, heard)
	}
	return nil
}

// fail ends the connection; unanswered attempts end with the outcome. The caller holds the sender's mutex.
func (l *connection) fail(out simulation.Outcome) {
	if l.closed {
		return
	}
	l.closed = true
	if l.sender.connections[[2]int{l.node, l.backend}] == l {
		delete(l.sender.connections, [2]int{l.node, l.backend})
	}
	for _, x := range l.unanswered {
		x.request.OpenAttempts--
		l.sender.handleResponse(x.request, l.node, l.backend, Response{Outcome: out})
	}
	clear(l.unanswered)
}

// close closes the socket. The caller holds the sender's mutex.
func (l *connection) close() {
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}
