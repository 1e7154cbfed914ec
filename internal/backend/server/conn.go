package server

import (
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/monotime"
)

// conn is one connection of an edge node. Its input is handled on netpoll's poller itself: it is read no faster than it is
// handled, and each connection gets one small buffer at a time, however much input it has. So nothing that the poller calls may
// block. Answers are collected in pending and written directly to the socket; only what the socket does not take at once is left
// to a goroutine that waits.
type conn struct {
	server    *Server
	transport netpoll.Connection
	fd        int
	openedAt  time.Time

	// Used by the poller alone.
	partial     []byte // the beginning of a frame that is not complete
	skip        int    // bytes still to be skipped of a frame too long to be an invocation
	ignoreInput bool   // framing is lost, or too many frames were invalid: nothing more is handled

	mu          sync.Mutex
	streams     map[uint32]*stream // open ones
	pending     []byte             // answers not yet written
	writing     bool               // a goroutine waits for the socket to be writable
	goAwaySent  bool
	closing     bool // closes once all is answered and written
	writeClosed bool // closed for writing: input is read and dropped
	readClosed  bool // and for reading
	released    bool // netpoll has released it; the descriptor may be another connection's
	sentValid   bool // the peer has sent a valid frame
	invalid     int  // invalid frames, and invocations that the executor does not know
	lastUsed    time.Time
	frameStart  time.Time // when the frame that is not complete began; zero if there is none
}

// stream is an invocation that is to be answered.
type stream struct {
	number   uint32
	canceled chan struct{} // closed once its caller has canceled it, or its connection is gone
}

// openStream opens the stream of an invocation; st is nil for a health check, which only counts as valid input. reused: the
// number is open already. opened: the stream was opened; a connection that is closing opens none, but still answers its input.
// gone: the connection is closed for writing, and nobody can be answered.
func (c *conn) openStream(st *stream) (reused, opened, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentValid, c.lastUsed = true, time.Now()
	if st == nil || c.writeClosed {
		return false, false, c.writeClosed
	}
	reused = c.streams[st.number] != nil
	opened = !reused && !c.closing && len(c.streams) < c.server.bounds.Streams
	if opened {
		c.streams[st.number] = st
	}
	return reused, opened, false
}

// answer gives a stream its one answer, unless it was canceled or answered before. retryAfter and last go to the caller as they are.
func (c *conn) answer(st *stream, code frame.Code, retryAfter monotime.Micros, last bool, body []byte) {
	c.mu.Lock()
	if c.streams[st.number] != st {
		c.mu.Unlock()
		return
	}
	defer c.mu.Unlock()
	delete(c.streams, st.number)
	c.lastUsed = time.Now()
	c.append(func(to []byte) []byte { return frame.AppendAnswer(to, st.number, code, retryAfter, last, body) })
	c.flush()
}

// fail answers a stream whose frame is invalid. Where an invocation is open under the same number, its caller cannot distinguish
// the answers: this is the answer to both, and the first is canceled.
func (c *conn) fail(number uint32) {
	c.mu.Lock()
	if st := c.streams[number]; st != nil {
		delete(c.streams, number)
		close(st.canceled)
	}
	c.mu.Unlock()
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

// idle reports whether no stream is open and all answers are written. c.mu is held.
func (c *conn) idle() bool { return len(c.streams) == 0 && len(c.pending) == 0 && !c.writing }

// idleSince returns when the connection was last used, and whether it is idle now.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.idle()
}
