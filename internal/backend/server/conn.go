package server

import (
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/monotime"
)

// conn is a connection from an edge node. Its input is handled on netpoll's poller goroutine: input is read no faster
// than it is handled, and each connection uses one small buffer at a time, however much input it has. Therefore nothing
// that the poller calls may block. Answers are appended to pending and written directly to the socket; if the socket
// does not accept all of it at once, a goroutine waits and writes the rest.
type conn struct {
	server    *Server
	transport netpoll.Connection
	fd        int

	// Accessed by the poller only.
	partialFrame []byte // the bytes read so far of an incomplete frame
	skipBytes    int    // remaining bytes to skip of a frame that is too long for an invocation
	ignoreInput  bool   // no more frames are handled, after an invalid length or too many invalid frames

	mu sync.Mutex // guards all fields below

	// Output.
	streams    map[uint32]*stream // open streams by number
	pending    []byte             // answers not yet written
	writing    bool               // a goroutine runs writePending
	goAwaySent bool

	// Closing.
	closing     bool // closed for writing once all streams are answered and all answers written
	writeClosed bool // closed for writing: input is read and ignored
	readClosed  bool // closed for reading as well
	released    bool // netpoll has closed fd, and the kernel may have reused the number

	// Activity.
	openedAt      time.Time
	lastUsed      time.Time // latest of: opened, valid frame read, stream answered
	frameStart    time.Time // when the incomplete frame began; zero: there is none
	sentValid     bool      // the peer has sent a valid frame
	invalidFrames int       // invalid frames, and invocations of an operation unknown to the executor
}

// newConn returns the connection of a transport that was opened at now.
func newConn(s *Server, transport netpoll.Connection, now time.Time) (*conn, error) {
	socket, ok := transport.(netpoll.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no file descriptor", transport)
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

// stream is an invocation that awaits its answer.
type stream struct {
	number   uint32
	canceled chan struct{} // closed when the caller cancels or the connection is closed
}

// openResult is the result of openStream.
type openResult int

// The results of openStream.
const (
	streamOpened      openResult = iota
	streamAlreadyOpen            // a stream with the same number is open
	streamRejected               // too many streams are open, or the connection is closing
	connClosed                   // the connection is closed for writing: no answer can be sent
)

// openStream adds the stream of a valid invocation to the open ones.
func (c *conn) openStream(st *stream) openResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordValidFrame()
	switch {
	case c.writeClosed:
		return connClosed
	case c.streams[st.number] != nil:
		return streamAlreadyOpen
	case c.closing || len(c.streams) >= c.server.bounds.Streams:
		return streamRejected
	}
	c.streams[st.number] = st
	return streamOpened
}

// recordValidFrame records that the peer has sent a valid frame. c.mu must be held.
func (c *conn) recordValidFrame() {
	c.sentValid = true
	c.lastUsed = time.Now()
}

// recordHealthCheck records that the peer has sent a valid health check.
func (c *conn) recordHealthCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordValidFrame()
}

// answerStream sends the answer of a stream, unless it has been canceled or answered.
func (c *conn) answerStream(st *stream, code frame.Code, retryAfter monotime.Micros, dontRetry bool, body []byte) {
	c.mu.Lock()
	if c.streams[st.number] != st {
		c.mu.Unlock()
		return
	}
	defer c.mu.Unlock()
	delete(c.streams, st.number)
	c.lastUsed = time.Now()
	c.appendFrame(func(to []byte) []byte {
		return frame.AppendAnswer(to, st.number, code, retryAfter, dontRetry, body)
	})
	c.flush()
}

// failStream answers an invalid frame with Errored. If a stream with the same number is open, the caller could not tell
// two answers apart: the open stream is canceled, and this answer is for both.
func (c *conn) failStream(number uint32) {
	c.cancelStream(number)
	c.sendFrame(func(to []byte) []byte { return frame.AppendAnswer(to, number, frame.Errored, 0, false, nil) })
}

// cancelStream cancels an open stream. It has no effect if the stream is unknown or has been answered.
func (c *conn) cancelStream(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[number]; st != nil {
		delete(c.streams, number)
		close(st.canceled)
	}
}

// removeStream removes an open stream that was answered directly.
func (c *conn) removeStream(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.number] == st {
		delete(c.streams, st.number)
	}
}

// idle reports whether no stream is open and all answers are written. c.mu must be held.
func (c *conn) idle() bool { return len(c.streams) == 0 && len(c.pending) == 0 && !c.writing }

// idleSince returns when the connection was last used and whether it is idle now.
func (c *conn) idleSince() (lastUsed time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.idle()
}
