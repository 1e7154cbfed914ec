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
func (c *connection) dial(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	c.sender.mu.Lock()
	if err != nil || c.closed {
		c.fail(simulation.Unreachable)
		c.sender.mu.Unlock()
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	c.conn = conn
	c.flush()
	c.sender.mu.Unlock()
	c.read(conn)
}

// send appends a frame and starts writing. The caller holds the sender's mutex.
func (c *connection) send(req *Request, invocation *frame.OutgoingInvocation) {
	c.lastStream++
	c.unanswered[c.lastStream] = &sentAttempt{request: req, id: invocation.ID}
	req.OpenAttempts++
	c.pending = frame.AppendInvocation(c.pending, c.lastStream, invocation)
	c.flush()
}

// flush starts writing what is pending, without the mutex meanwhile. The caller holds it.
func (c *connection) flush() {
	if c.writing || c.conn == nil || len(c.pending) == 0 {
		return
	}
	c.writing = true
	go func() {
		for {
			c.sender.mu.Lock()
			out, conn := c.pending, c.conn
			c.pending = nil
			if len(out) == 0 || c.closed {
				c.writing = false
				c.sender.mu.Unlock()
				return
			}
			c.sender.mu.Unlock()
			if _, err := conn.Write(out); err != nil {
				_ = conn.Close() // the reader handles the end
			}
		}
	}()
}

// read handles frames until the connection ends.
func (c *connection) read(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const most = 262_144
	buffer, have := make([]byte, 16<<10), 0
	for {
		n, err := conn.Read(buffer[have:])
		have += n
		c.sender.mu.Lock()
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
			if bad := c.handleFrame(h, payload); bad != nil {
				err = bad
			}
		}
		have = copy(buffer, buffer[used:have])
		if have == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		if err != nil || c.goingAway && c.allAnswered() {
			c.fail(simulation.Reset)
			c.sender.mu.Unlock()
			return
		}
		c.sender.mu.Unlock()
	}
}

// allAnswered reports whether nothing is unanswered or pending. The caller holds the sender's mutex.
func (c *connection) allAnswered() bool {
	for _, x := range c.unanswered {
		if !x.request.Finished {
			return false
		}
	}
	return len(c.pending) == 0
}

// handleFrame handles one frame. The caller holds the sender's mutex.
func (c *connection) handleFrame(h frame.Header, payload []byte) error {
	switch h.Kind {
	case frame.KindGoAway:
		c.goingAway = true
		if c.sender.connections[connectionKey{c.node, c.backend}] == c { // the next attempt opens another connection
			delete(c.sender.connections, connectionKey{c.node, c.backend})
		}
	case frame.KindAnswer:
		ans, err := frame.ReadAnswer(payload)
		if err != nil {
			return err
		}
		x := c.unanswered[h.Stream]
		if x == nil {
			if h.Stream > 0 && h.Stream <= c.lastStream { // a second answer
				c.sender.report.DuplicateAnswers++
			}
			return nil
		}
		delete(c.unanswered, h.Stream)
		x.request.OpenAttempts--
		heard := Response{Outcome: simulation.Errored, RetryAfter: ans.RetryAfter, DontRetry: ans.DontRetry}
		switch ans.Code {
		case frame.Succeeded:
			heard.Outcome = simulation.Succeeded
			if !bytes.Equal(ans.Body, []byte("result of "+x.id)) {
				c.sender.report.UnknownResults++
			}
		case frame.Throttled:
			heard.Outcome = simulation.Throttled
		}
		c.sender.handleResponse(x.request, c.node, c.backend, heard)
	}
	return nil
}

// fail ends the connection; unanswered attempts end with the outcome. The caller holds the sender's mutex.
func (c *connection) fail(out simulation.Outcome) {
	if c.closed {
		return
	}
	c.closed = true
	if c.sender.connections[connectionKey{c.node, c.backend}] == c {
		delete(c.sender.connections, connectionKey{c.node, c.backend})
	}
	for _, x := range c.unanswered {
		x.request.OpenAttempts--
		c.sender.handleResponse(x.request, c.node, c.backend, Response{Outcome: out})
	}
	clear(c.unanswered)
}

// close closes the socket. The caller holds the sender's mutex.
func (c *connection) close() {
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}
