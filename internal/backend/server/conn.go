package server

import (
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/monotime"
)

// conn is one connection of an edge node. Its input is handled on netpoll's poller: it is read no faster than it is
// handled, and each connection uses one small buffer at a time, however much input it has. Therefore nothing that the
// poller calls may block. Answers are collected in pending and written directly to the socket; what the socket does
// not accept at once is left to a goroutine that waits.
type conn struct {
	server    *Server
	transport netpoll.Connection
	fd        int

	// Used by the poller alone.
	partial     []byte // the beginning of a frame that is not complete
	skip        int    // bytes still to be skipped of a frame too long to be an invocation
	ignoreInput bool   // no more frames are handled: framing is lost, or too many frames were invalid

	mu sync.Mutex // guards all fields below

	// Output.
	streams    map[uint32]*stream // open ones, by number
	pending    []byte             // answers not yet written
	writing    bool               // a goroutine waits for the socket to be writable
	goAwaySent bool

	// Closing.
	closing     bool // it closes for writing once all is answered and written
	writeClosed bool // closed for writing: input is read and ignored
	readClosed  bool // closed for reading too
	released    bool // netpoll has closed the descriptor, which may be another connection's now

	// Use.
	openedAt   time.Time
	lastUsed   time.Time // when it was opened, or a valid frame was read, or a stream was answered
	frameStart time.Time // when the frame that is not complete began; zero: there is none
	sentValid  bool      // the peer has sent a valid frame
	invalid    int       // invalid frames, and invocations that the executor does not know
}

// newConn returns a connection that was opened now.
func newConn(s *Server, transport netpoll.Connection, now time.Time) (*conn, error) {
	socket, ok := transport.(netpoll.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", transport)
	}
	return &conn{
		server:    s,
		transport: transport,
		fd:        socket.Fd(),
		streams:   map[uint32]*stream{},
		openedAt:  now,
		lastUsed:  now,
	}, nil
}

// stream is an invocation that is to be answered.
type stream struct {
	number   uint32
	canceled chan struct{} // closed once its caller has canceled it, or its connection is closed
}

// openResult is the result of opening a stream.
type openResult int

// The results of opening a stream.
const (
	streamOpened  openResult = iota
	streamReused             // a stream with this number is open
	streamRefused            // too many streams are open, or the connection is closing
	connClosed               // the connection is closed for writing: nobody can be answered
)

// openStream opens the stream of a valid invocation.
func (c *conn) openStream(st *stream) openResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countValid()
	switch {
	case c.writeClosed:
		return connClosed
	case c.streams[st.number] != nil:
		return streamReused
	case c.closing || len(c.streams) >= c.server.bounds.Streams:
		return streamRefused
	}
	c.streams[st.number] = st
	return streamOpened
}

// countValid records that the peer has sent a valid frame. c.mu must be held.
func (c *conn) countValid() {
	c.sentValid = true
	c.lastUsed = time.Now()
}

// countHealthCheck records that the peer has sent a valid health check.
func (c *conn) countHealthCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countValid()
}

// answer answers a stream, unless it was canceled or answered before.
func (c *conn) answer(st *stream, code frame.Code, retryAfter monotime.Micros, dontRetry bool, body []byte) {
	c.mu.Lock()
	if c.streams[st.number] != st {
		c.mu.Unlock()
		return
	}
	defer c.mu.Unlock()
	delete(c.streams, st.number)
	c.lastUsed = time.Now()
	c.append(func(to []byte) []byte {
		return frame.AppendAnswer(to, st.number, code, retryAfter, dontRetry, body)
	})
	c.flush()
}

// fail answers a stream whose frame is invalid. If an invocation with the same number is open, its caller cannot
// distinguish the two answers: this one is the answer to both, and the open one is canceled.
func (c *conn) fail(number uint32) {
	c.cancel(number)
	c.send(func(to []byte) []byte { return frame.AppendAnswer(to, number, frame.Errored, 0, false, nil) })
}

// cancel closes a stream whose caller waits no longer, unless it is unknown or answered.
func (c *conn) cancel(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[number]; st != nil {
		delete(c.streams, number)
		close(st.canceled)
	}
}

// closeStream removes a stream that was answered without a run.
func (c *conn) closeStream(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.number] == st {
		delete(c.streams, st.number)
	}
}

// idle reports whether no stream is open and all answers are written. c.mu must be held.
func (c *conn) idle() bool { return len(c.streams) == 0 && len(c.pending) == 0 && !c.writing }

// idleSince returns when the connection was last used, and whether it is idle now.
func (c *conn) idleSince() (lastUsed time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.idle()
}
