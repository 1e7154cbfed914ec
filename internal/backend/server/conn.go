package server

import (
	"crypto/sha256"
	"log/slog"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/frame"
)

// conn is one connection of an edge node. What comes on it is taken in on netpoll's poller itself: input is
// read no faster than it is handled, and each connection has its turn of one small buffer, however much stands
// before it. So nothing that the poller calls may wait. Answers gather in out and go straight to the socket;
// only what it does not take at once is left to a goroutine that waits.
type conn struct {
	server    *Server
	transport netpoll.Connection
	fd        int
	openedAt  time.Time

	// The poller's.
	partial     []byte // a frame whose rest has not come
	skip        int    // bytes of a frame too long to be an invocation, still to be passed over
	ignoreInput bool   // borders are lost, or too much could not be used: nothing more is taken in

	mu          sync.Mutex
	streams     map[uint32]*stream
	pending     []byte // answers not yet written
	writing     bool   // a goroutine waits for the socket to take some
	goAwaySent  bool   // type 30 is out
	closing     bool   // closes once all is answered and written
	writeClosed bool   // and has been, for writing at least: what comes is read and dropped
	readClosed  bool   // for reading too
	released    bool   // netpoll has let go of it; its descriptor may be another's
	sentValid   bool   // it has said something that can be used
	invalid     int    // frames that could not be used, or named work that the farm does not know
	lastUsed    time.Time
	frameStart  time.Time // when the frame began of which the rest has not come; zero: there is none
}

// stream is an invocation that is to be answered.
type stream struct {
	number   uint32
	canceled chan struct{} // closed once its caller is known to have gone
}

// read takes in all that has come. Netpoll calls it on the poller, and would call again and again for what is
// left unread.
func (c *conn) read() {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "read", "text", r, "stack", string(debug.Stack()))
			c.abort()
		}
	}()
	r := c.transport.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		b, err := r.Next(n)
		if err == nil {
			c.feed(b)
			err = r.Release()
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// feed takes in bytes, which are valid until it returns. Of a frame that is not whole it keeps the beginning, as
// far as it can be an invocation.
func (c *conn) feed(b []byte) {
	taken := false
	for len(b) > 0 && !c.ignoreInput {
		if c.skip > 0 {
			n := min(c.skip, len(b))
			c.skip -= n
			b = b[n:]
			continue
		}
		whole := frame.LengthSize
		head := b
		if len(c.partial) > 0 {
			b = c.gather(b, whole)
			head = c.partial
		}
		if len(head) >= whole {
			size, err := frame.Length(head, c.server.bounds.Frame)
			if err != nil {
				c.framingLost(err)
				return
			}
			whole = min(frame.LengthSize+size, frame.HeaderSize+c.server.bounds.Content)
			if len(c.partial) > 0 {
				b = c.gather(b, whole)
				head = c.partial
			}
			if len(head) >= whole {
				c.skip = frame.LengthSize + size - whole
				c.handleFrame(head[:whole])
				taken = true
				if len(c.partial) == 0 {
					b = b[whole:]
				} else if c.partial = c.partial[:0]; cap(c.partial) > c.server.bounds.Part {
					c.partial = nil
				}
				continue
			}
		}
		if len(c.partial) == 0 {
			b = c.gather(b, len(b))
		}
	}
	if within := len(c.partial) > 0 || c.skip > 0; within != !c.frameStart.IsZero() || within && taken {
		c.mu.Lock()
		if c.frameStart = (time.Time{}); within {
			c.frameStart = time.Now()
		}
		c.mu.Unlock()
	}
}

// gather moves bytes to part until it holds so many, and returns the rest.
func (c *conn) gather(b []byte, whole int) []byte {
	n := min(max(0, whole-len(c.partial)), len(b))
	c.partial = append(c.partial, b[:n]...)
	return b[n:]
}

// framingLost: nothing can be read any more; what was read whole is answered, then the connection closes.
func (c *conn) framingLost(err error) {
	c.server.violations.Warn("borders", err)
	c.ignoreInput, c.partial = true, nil
	c.send(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
	c.closeWhenAnswered()
}

// reject notes a frame that cannot be used, or an invocation of which the farm does not know. It guards against
// floods of them: a caller that sends nothing else costs a bounded share of our time, then it is left alone.
func (c *conn) reject(kind string, err error) {
	c.server.violations.Warn(kind, err)
	c.mu.Lock()
	c.invalid++
	unfit, most := c.invalid, c.server.bounds.Unfit
	c.mu.Unlock()
	if unfit == most {
		c.server.violations.Warn("unfit", nil)
		c.closeWhenAnswered()
	}
}

// handleFrame handles one frame; b holds all of it, or the beginning of one that is too long. An error of our own
// in it is logged, and its stream is answered.
func (c *conn) handleFrame(b []byte) {
	h := frame.ReadHeader(b)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "frame", "text", r, "stack", string(debug.Stack()))
			c.fail(h.Stream)
		}
	}()
	payload := b[frame.HeaderSize:]
	if c.ignoresInput() {
		c.ignoreInput = true
		return
	}
	switch h.Kind {
	case frame.KindInvocation:
		c.handleInvocation(h, payload)
	case frame.KindCancel:
		c.cancel(h.Stream)
	case frame.KindHealthCheck:
		good := c.server.healthy()
		if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
			c.reject("check", err)
			good = false
		} else {
			c.openStream(nil)
		}
		c.send(func(to []byte) []byte { return frame.AppendHealthAnswer(to, h.Stream, good) })
	default: // what is meant by its stream is unknown, so none is touched
		c.reject("kind", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, "unknown type") })
	}
}

func (c *conn) handleInvocation(h frame.Header, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		c.reject("stream_0", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, "an invocation on stream 0") })
		return
	}
	in, err := frame.ReadInvocation(payload, s.bounds.Body)
	op, tenant := s.operations[string(in.Operation)], s.tenants[string(in.Tenant)]
	switch {
	case h.Payload > len(payload):
		err = errTooLong
	case err != nil:
	case op == 0:
		err = errOperation
	case tenant == 0 && len(s.tenants) > 0:
		err = errTenant
	case !in.HasWait && !s.settings.DeadlineOptional:
		err = errWait
	case s.settings.Admission.Operations[op-1].RetrySafety == admission.IdempotencyKeyed && (len(in.IdempotencyKey) == 0 || len(in.IdempotencyKey) > s.bounds.Token):
		err = errToken
	}
	if err != nil {
		c.reject("invocation", err)
		c.fail(h.Stream)
		return
	}
	inv := dispatch.Invocation{
		ID: string(in.ID), Operation: op - 1, Tenant: max(tenant-1, 0), Rank: in.Rank, MemoryKB: in.KB, Retry: in.Retry,
		ExpectedWork: in.Work, ArrivedAt: dispatch.FromWallClock(in.At), CallerTimeout: in.Wait,
	}
	if !in.HasWait {
		inv.CallerTimeout = s.settings.Admission.Operations[op-1].ClientTimeout
	}
	if s.settings.Admission.Operations[op-1].RetrySafety == admission.IdempotencyKeyed {
		inv.IdempotencyKey = token(in.IdempotencyKey, in.Body)
	}
	st := &stream{number: h.Stream, canceled: make(chan struct{})}
	inv.CallerLeft = st.canceled
	again, room, gone := c.openStream(st)
	switch {
	case gone: // nobody can be answered any more
	case again:
		c.reject("stream_again", nil)
		c.fail(h.Stream)
	case !room || !s.reserve():
		// More than may be open here, or than this process can hold: it never ran, another may have room. Not for a
		// repeat of what ran here: the other would run it again.
		code := frame.Throttled
		if s.dispatcher.IsRepeat(inv) {
			code = frame.Errored
		}
		c.send(func(to []byte) []byte { return frame.AppendAnswer(to, h.Stream, code, 0, false, nil) })
		c.closeStream(st)
	default: // the body outlives the buffer that it was read into
		go s.handle(c, st, inv, s.settings.Operations[op-1], append([]byte(nil), in.Body...))
	}
}

// token is by what the repeats of a piece of work are known: its mark, and its content. A bad client may copy the mark of
// another's work. With other content it is other work, which must neither get the other's result nor stand in its way;
// the farm refuses it.
func token(mark, body []byte) string {
	sum := sha256.Sum256(body)
	return string(mark) + string(sum[:])
}

// openStream notes that something sound was said, and opens the stream of an invocation. On a connection that ends there is
// room for no more, but what comes is still answered.
func (c *conn) openStream(st *stream) (again, room, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentValid, c.lastUsed = true, time.Now()
	if st == nil || c.writeClosed {
		return false, false, c.writeClosed
	}
	again = c.streams[st.number] != nil
	room = !again && !c.closing && len(c.streams) < c.server.bounds.Streams
	if room {
		c.streams[st.number] = st
	}
	return again, room, false
}

// answer gives a stream its one answer, unless its caller has left or it had one.
func (c *conn) answer(st *stream, code frame.Code, away dispatch.Micros, last bool, body []byte) {
	c.mu.Lock()
	if c.streams[st.number] != st {
		c.mu.Unlock()
		return
	}
	defer c.mu.Unlock()
	delete(c.streams, st.number)
	c.lastUsed = time.Now()
	c.append(func(to []byte) []byte { return frame.AppendAnswer(to, st.number, code, away, last, body) })
	c.flush()
}

// fail answers a stream whose frame cannot be used. Where an invocation is open under the same number, that
// one's caller cannot tell the answers apart: this is the answer to both, and the first is let go.
func (c *conn) fail(number uint32) {
	c.mu.Lock()
	if st := c.streams[number]; st != nil {
		delete(c.streams, number)
		close(st.canceled)
	}
	c.mu.Unlock()
	c.send(func(to []byte) []byte { return frame.AppendAnswer(to, number, frame.Errored, 0, false, nil) })
}

// cancel: nobody waits for this stream any more. Unknown and answered ones are no longer open.
func (c *conn) cancel(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[number]; st != nil {
		delete(c.streams, number)
		close(st.canceled)
	}
}

// closeStream takes a stream off that was answered without a run.
func (c *conn) closeStream(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.number] == st {
		delete(c.streams, st.number)
	}
}

// send writes a frame.
func (c *conn) send(write func(to []byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.append(write)
	c.flush()
}

// append adds a frame to what is to be written; c.mu is held.
func (c *conn) append(write func(to []byte) []byte) {
	if c.writeClosed {
		return
	}
	before := len(c.pending)
	c.pending = write(c.pending)
	c.server.unsent.Add(int64(len(c.pending) - before))
}

// flush writes what has gathered as far as the socket takes it, and leaves the rest to a goroutine that waits.
// A peer that takes nothing while it sends is cut off. c.mu is held.
func (c *conn) flush() {
	b := &c.server.bounds
	if c.writeClosed || len(c.pending) == 0 {
		return
	}
	if c.writing {
		if len(c.pending) > b.Unsent || c.server.unsent.Load() > b.UnsentAll {
			c.server.violations.Warn("unread", nil)
			c.shutdown()
		}
		return
	}
	n, err := syscall.Write(c.fd, c.pending)
	switch n = max(n, 0); {
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		c.shutdown()
		return
	case n < len(c.pending):
		c.server.unsent.Add(-int64(n))
		c.pending = c.pending[:copy(c.pending, c.pending[n:])]
		c.writing = true
		go c.drainPending()
		return
	}
	c.recycle(c.pending)
	c.closeWriteIfDone()
}

// recycle keeps a buffer for the next answers; c.mu is held.
func (c *conn) recycle(b []byte) {
	c.server.unsent.Add(-int64(len(b)))
	if c.pending = nil; cap(b) <= c.server.bounds.Spare {
		c.pending = b[:0]
	}
}

// drainPending writes what the socket does not take at once.
func (c *conn) drainPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.writeClosed {
		b := c.pending
		c.pending = nil
		c.mu.Unlock()
		_, err := c.transport.Write(b)
		c.mu.Lock()
		c.server.unsent.Add(-int64(len(b)))
		if err != nil {
			c.shutdown()
		}
	}
	c.writing = false
	c.closeWriteIfDone()
}

// closeWriteIfDone closes a connection that ends once all is answered and written; c.mu is held. For writing first: were it closed
// with input unread, the system would reset it, and the last answer could be lost on its way.
func (c *conn) closeWriteIfDone() {
	if c.closing && !c.writeClosed && len(c.streams) == 0 && len(c.pending) == 0 && !c.writing {
		if !c.released {
			syscall.Shutdown(c.fd, syscall.SHUT_WR)
			time.AfterFunc(c.server.bounds.Linger, c.abort)
		}
		c.writeClosed = true
	}
}

// shutdown closes the connection; c.mu is held. The poller then finds its end, and netpoll calls release. Netpoll's own
// Close would wait, called on the poller, for the poller.
func (c *conn) shutdown() {
	if !c.readClosed && !c.released {
		syscall.Shutdown(c.fd, syscall.SHUT_RDWR)
	}
	c.writeClosed, c.readClosed = true, true
}

// abort closes the connection whatever is open on it.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdown()
}

// closeWhenAnswered closes the connection once what is open on it has been answered and written.
func (c *conn) closeWhenAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.closeWriteIfDone()
}

// closeIfAnswered does so if nothing is open on it now, and nothing that came stands unread.
func (c *conn) closeIfAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() && !c.unread() {
		c.closing = true
		c.closeWriteIfDone()
	}
}

// evictUnlessUnread closes a connection that is to make room, if nothing that came stands unread.
func (c *conn) evictUnlessUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread() {
		return false
	}
	c.shutdown()
	return true
}

// unread: the peer has sent what has not been taken in, and may be an invocation. What is bound to close says nothing
// that matters. c.mu is held.
func (c *conn) unread() bool { return !c.writeClosed && !c.released && unread(c.fd) }

// allAnswered: all that has come, the last byte too, and the answers are written.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle() && !c.unread()
}

// extendDeadlines takes a span out of what the peer has let pass: the process was held up.
func (c *conn) extendDeadlines(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedAt, c.lastUsed = c.openedAt.Add(span), c.lastUsed.Add(span)
	if !c.frameStart.IsZero() {
		c.frameStart = c.frameStart.Add(span)
	}
}

// ignoresInput: nothing on it can be answered any more, or so much could not be used that nothing more is looked at.
func (c *conn) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed || c.invalid >= 2*c.server.bounds.Unfit
}

// sendGoAway sends type 30, once.
func (c *conn) sendGoAway() {
	c.mu.Lock()
	asked := c.goAwaySent
	c.goAwaySent = true
	c.mu.Unlock()
	if !asked {
		c.send(frame.AppendGoAway)
	}
}

// idleSince returns since when nothing has been open on it; open ones have no such time.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.idle()
}

func (c *conn) idle() bool { return len(c.streams) == 0 && len(c.pending) == 0 && !c.writing }

// Worth of connections to this process, least first: see Server.evict. One that was just opened or just used is
// not yet known to say nothing, or to rest.
const (
	neverValid = iota
	resting
	justOpened
	justUsed
	busy
	leaving // closed, and only waits for the poller
)

// retention classifies a connection, and since when.
func (c *conn) retention(now time.Time) (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readClosed:
		return leaving, now
	case c.writeClosed: // and waits for its peer's end
		return neverValid, c.openedAt
	case !c.sentValid && now.Sub(c.openedAt) > c.server.bounds.Fresh:
		return neverValid, c.openedAt
	case !c.sentValid:
		return justOpened, c.openedAt
	case c.idle() && now.Sub(c.lastUsed) > c.server.bounds.Rests:
		return resting, c.lastUsed
	case c.idle():
		return justUsed, c.lastUsed
	}
	return busy, now
}

// expire closes what has said nothing sound for too long or does not end a frame, and what rests for longer than
// callers do; it lets go of buffers that are not in use.
func (c *conn) expire(now time.Time, rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, resting := &c.server.bounds, c.idle()
	switch {
	case c.writeClosed || c.closing:
	case !c.sentValid && now.Sub(c.openedAt) > b.Hello && !c.unread(): // else the poller is behind
		c.server.violations.Warn("silent", nil)
		c.closing = true
		c.closeWriteIfDone()
	case !c.frameStart.IsZero() && now.Sub(c.frameStart) > b.Hello && !c.unread():
		c.server.violations.Warn("unended", nil)
		c.closing = true
		c.closeWriteIfDone()
	case resting && now.Sub(c.lastUsed) > rest && !c.unread():
		c.shutdown()
	case resting && now.Sub(c.lastUsed) > b.Sweep:
		c.pending = nil
	}
}

// release: the connection is over, and with it the callers of all that was open.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed, c.released = true, true
	for number, st := range c.streams {
		delete(c.streams, number)
		close(st.canceled)
	}
	c.server.unsent.Add(-int64(len(c.pending)))
	c.pending = nil
}
