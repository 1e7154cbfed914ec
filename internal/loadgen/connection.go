package loadgen

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/simulation"
)

const (
	dialTimeout       = time.Second
	maxFrameBytes     = 256 << 10
	initialReadBuffer = 16 << 10 // bytes; doubled for a longer frame
)

// connection is one connection of one node to one backend. The sender's mutex guards it, except for reads and writes of
// the socket. Its invariants:
//   - at most one goroutine writes to the socket, and writing is set meanwhile (checked by the race detector);
//   - a connection that failed gets no further attempt (checked by TestReportCountsWrongAnswers).
type connection struct {
	sender     *sender
	key        connectionKey
	conn       net.Conn                // nil until dial succeeded
	unanswered map[uint32]*sentAttempt // by stream
	lastStream uint32                  // stream of the latest attempt; zero: none
	pending    []byte                  // frames not yet passed to a write
	writing    bool                    // a goroutine is writing to the socket
	closed     bool                    // failed or closed by the sender
	goingAway  bool                    // the backend sent a go-away frame
}

// sentAttempt is an attempt that awaits its answer.
type sentAttempt struct {
	request *Request
	id      string
}

// dial opens the socket, starts writing pending frames, and reads until the connection ends.
func (c *connection) dial(address string) {
	conn, err := c.sender.dial(address)
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
	c.pending = frame.AppendInvocation(c.pending, c.lastStream, invocation)
	c.flush()
}

// flush starts a goroutine that writes the pending frames, unless one does. The caller holds the sender's mutex.
func (c *connection) flush() {
	if c.writing || c.conn == nil || len(c.pending) == 0 {
		return
	}
	c.writing = true
	go c.write()
}

// write writes the pending frames until there are none or the connection is closed.
func (c *connection) write() {
	for {
		out := c.takePending()
		if out == nil {
			return
		}
		if _, err := c.conn.Write(out); err != nil {
			_ = c.conn.Close() // the reader handles the end
		}
	}
}

// takePending returns the frames to write next; nil ends the writing.
func (c *connection) takePending() []byte {
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	out := c.pending
	c.pending = nil
	if len(out) == 0 || c.closed {
		c.writing = false
		return nil
	}
	return out
}

// read handles frames until the connection ends.
func (c *connection) read(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer, filled := make([]byte, initialReadBuffer), 0
	for {
		n, readErr := conn.Read(buffer[filled:])
		filled += n
		used, ended := c.handleInput(buffer[:filled], readErr)
		if ended {
			return
		}
		filled = copy(buffer, buffer[used:filled])
		if filled == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
	}
}

// handleInput handles the complete frames of the input and returns their total size. After a read error, an invalid
// frame or the last answer of a backend that goes away, it fails the connection and reports that it ended.
func (c *connection) handleInput(input []byte, readErr error) (used int, ended bool) {
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	err := readErr
	for {
		header, payload, size, splitErr := frame.SplitFrame(input[used:], maxFrameBytes)
		if splitErr != nil {
			err = splitErr
		}
		if size == 0 {
			break
		}
		used += size
		if frameErr := c.handleFrame(header, payload); frameErr != nil {
			err = frameErr
		}
	}
	if err != nil || c.goingAway && c.allAnswered() {
		c.fail(simulation.Reset)
		return used, true
	}
	return used, false
}

// allAnswered reports whether no unfinished request awaits an answer and no frame is pending. The caller holds the
// sender's mutex.
func (c *connection) allAnswered() bool {
	for _, attempt := range c.unanswered {
		if !attempt.request.Finished {
			return false
		}
	}
	return len(c.pending) == 0
}

// handleFrame handles one frame; other kinds than answer and go-away are ignored. The caller holds the sender's mutex.
func (c *connection) handleFrame(header frame.Header, payload []byte) error {
	switch header.Kind {
	case frame.KindGoAway:
		c.goingAway = true
		c.unregister() // the next attempt opens another connection
	case frame.KindAnswer:
		return c.handleAnswer(header.Stream, payload)
	default:
	}
	return nil
}

// handleAnswer records the answer to the attempt of a stream. The caller holds the sender's mutex.
func (c *connection) handleAnswer(stream uint32, payload []byte) error {
	answer, err := frame.ReadAnswer(payload)
	if err != nil {
		return fmt.Errorf("answer of stream %d: %w", stream, err)
	}
	attempt := c.unanswered[stream]
	if attempt == nil {
		if stream > 0 && stream <= c.lastStream {
			c.sender.report.DuplicateAnswers++
		}
		return nil
	}
	delete(c.unanswered, stream)
	response := Response{
		Outcome:    outcomeOf(answer.Code),
		RetryAfter: answer.RetryAfter,
		DontRetry:  answer.DontRetry,
	}
	if response.Outcome == simulation.Succeeded && !bytes.Equal(answer.Body, []byte("result of "+attempt.id)) {
		c.sender.report.UnknownResults++
	}
	c.sender.handleResponse(attempt.request, c.key, response)
	return nil
}

// outcomeOf returns the outcome that an answer's code stands for.
func outcomeOf(code frame.Code) simulation.Outcome {
	switch code {
	case frame.Succeeded:
		return simulation.Succeeded
	case frame.Throttled:
		return simulation.Throttled
	default:
		return simulation.Errored
	}
}

// unregister removes the connection from those that take new attempts. The caller holds the sender's mutex.
func (c *connection) unregister() {
	if c.sender.connections[c.key] == c {
		delete(c.sender.connections, c.key)
	}
}

// fail closes the connection; unanswered attempts end with the outcome. The caller holds the sender's mutex.
func (c *connection) fail(outcome simulation.Outcome) {
	if c.closed {
		return
	}
	c.closed = true
	c.unregister()
	for _, attempt := range c.unanswered {
		c.sender.handleResponse(attempt.request, c.key, Response{Outcome: outcome})
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
