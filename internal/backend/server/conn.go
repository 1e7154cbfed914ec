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
	server *Server
	np     netpoll.Connection
	fd     int
	born   time.Time

	// The poller's.
	part []byte // a frame whose rest has not come
	skip int    // bytes of a frame too long to be an invocation, still to be passed over
	deaf bool   // borders are lost, or too much could not be used: nothing more is taken in

	mu      sync.Mutex
	open    map[uint32]*stream
	out     []byte // answers not yet written
	writing bool   // a goroutine waits for the socket to take some
	noMore  bool   // type 30 is out
	ending  bool   // closes once all is answered and written
	closed  bool   // and has been, for writing at least: what comes is read and dropped
	over    bool   // for reading too
	freed   bool   // netpoll has let go of it; its descriptor may be another's
	sound   bool   // it has said something that can be used
	unfit   int    // frames that could not be used, or named work that the farm does not know
	used    time.Time
	begun   time.Time // when the frame began of which the rest has not come; zero: there is none
}

// stream is an invocation that is to be answered.
type stream struct {
	number uint32
	left   chan struct{} // closed once its caller is known to have gone
}

// read takes in all that has come. Netpoll calls it on the poller, and would call again and again for what is
// left unread.
func (c *conn) read() {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "read", "text", r, "stack", string(debug.Stack()))
			c.cut()
		}
	}()
	r := c.np.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		b, err := r.Next(n)
		if err == nil {
			c.feed(b)
			err = r.Release()
		}
		if err != nil {
			c.cut()
			return
		}
	}
}

// feed takes in bytes, which are valid until it returns. Of a frame that is not whole it keeps the beginning, as
// far as it can be an invocation.
func (c *conn) feed(b []byte) {
	taken := false
	for len(b) > 0 && !c.deaf {
		if c.skip > 0 {
			n := min(c.skip, len(b))
			c.skip -= n
			b = b[n:]
			continue
		}
		whole := frame.LengthSize
		head := b
		if len(c.part) > 0 {
			b = c.gather(b, whole)
			head = c.part
		}
		if len(head) >= whole {
			size, err := frame.Length(head, c.server.bounds.Frame)
			if err != nil {
				c.lostBorders(err)
				return
			}
			whole = min(frame.LengthSize+size, frame.HeaderSize+c.server.bounds.Content)
			if len(c.part) > 0 {
				b = c.gather(b, whole)
				head = c.part
			}
			if len(head) >= whole {
				c.skip = frame.LengthSize + size - whole
				c.take(head[:whole])
				taken = true
				if len(c.part) == 0 {
					b = b[whole:]
				} else if c.part = c.part[:0]; cap(c.part) > c.server.bounds.Part {
					c.part = nil
				}
				continue
			}
		}
		if len(c.part) == 0 {
			b = c.gather(b, len(b))
		}
	}
	if within := len(c.part) > 0 || c.skip > 0; within != !c.begun.IsZero() || within && taken {
		c.mu.Lock()
		if c.begun = (time.Time{}); within {
			c.begun = time.Now()
		}
		c.mu.Unlock()
	}
}

// gather moves bytes to part until it holds so many, and returns the rest.
func (c *conn) gather(b []byte, whole int) []byte {
	n := min(max(0, whole-len(c.part)), len(b))
	c.part = append(c.part, b[:n]...)
	return b[n:]
}

// lostBorders: nothing can be read any more; what was read whole is answered, then the connection closes.
func (c *conn) lostBorders(err error) {
	c.server.odd.Warn("borders", err)
	c.deaf, c.part = true, nil
	c.put(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
	c.end()
}

// odd notes a frame that cannot be used, or an invocation of which the farm does not know. It guards against
// floods of them: a caller that sends nothing else costs a bounded share of our time, then it is left alone.
func (c *conn) odd(kind string, err error) {
	c.server.odd.Warn(kind, err)
	c.mu.Lock()
	c.unfit++
	unfit, most := c.unfit, c.server.bounds.Unfit
	c.mu.Unlock()
	if unfit == most {
		c.server.odd.Warn("unfit", nil)
		c.end()
	}
}

// take handles one frame; b holds all of it, or the beginning of one that is too long. An error of our own
// in it is logged, and its stream is answered.
func (c *conn) take(b []byte) {
	h := frame.ReadHeader(b)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "frame", "text", r, "stack", string(debug.Stack()))
			c.fail(h.Stream)
		}
	}()
	payload := b[frame.HeaderSize:]
	if c.heedless() {
		c.deaf = true
		return
	}
	switch h.Kind {
	case frame.KindInvocation:
		c.invocation(h, payload)
	case frame.KindCancel:
		c.gone(h.Stream)
	case frame.KindHealthCheck:
		good := c.server.good()
		if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
			c.odd("check", err)
			good = false
		} else {
			c.use(nil)
		}
		c.put(func(to []byte) []byte { return frame.AppendHealthAnswer(to, h.Stream, good) })
	default: // what is meant by its stream is unknown, so none is touched
		c.odd("kind", nil)
		c.put(func(to []byte) []byte { return frame.AppendError(to, "unknown type") })
	}
}

func (c *conn) invocation(h frame.Header, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		c.odd("stream_0", nil)
		c.put(func(to []byte) []byte { return frame.AppendError(to, "an invocation on stream 0") })
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
	case !in.HasWait && !s.sheet.DeadlineOptional:
		err = errWait
	case s.sheet.Admission.Operations[op-1].RetrySafety == admission.IdempotencyKeyed && (len(in.IdempotencyKey) == 0 || len(in.IdempotencyKey) > s.bounds.Token):
		err = errToken
	}
	if err != nil {
		c.odd("invocation", err)
		c.fail(h.Stream)
		return
	}
	inv := dispatch.Invocation{
		ID: string(in.ID), Operation: op - 1, Tenant: max(tenant-1, 0), Rank: in.Rank, MemoryKB: in.KB, Retry: in.Retry,
		ExpectedWork: in.Work, ArrivedAt: dispatch.FromWallClock(in.At), CallerTimeout: in.Wait,
	}
	if !in.HasWait {
		inv.CallerTimeout = s.sheet.Admission.Operations[op-1].ClientTimeout
	}
	if s.sheet.Admission.Operations[op-1].RetrySafety == admission.IdempotencyKeyed {
		inv.IdempotencyKey = token(in.IdempotencyKey, in.Body)
	}
	st := &stream{number: h.Stream, left: make(chan struct{})}
	inv.CallerLeft = st.left
	again, room, gone := c.use(st)
	switch {
	case gone: // nobody can be answered any more
	case again:
		c.odd("stream_again", nil)
		c.fail(h.Stream)
	case !room || !s.enter():
		// More than may be open here, or than this process can hold: it never ran, another may have room. Not for a
		// repeat of what ran here: the other would run it again.
		code := frame.Throttled
		if s.gate.IsRepeat(inv) {
			code = frame.Errored
		}
		c.put(func(to []byte) []byte { return frame.AppendAnswer(to, h.Stream, code, 0, false, nil) })
		c.forget(st)
	default: // the body outlives the buffer that it was read into
		go s.carry(c, st, inv, s.sheet.Operations[op-1], append([]byte(nil), in.Body...))
	}
}

// token is by what the repeats of a piece of work are known: its mark, and its content. A bad client may copy the mark of
// another's work. With other content it is other work, which must neither get the other's result nor stand in its way;
// the farm refuses it.
func token(mark, body []byte) string {
	sum := sha256.Sum256(body)
	return string(mark) + string(sum[:])
}

// use notes that something sound was said, and opens the stream of an invocation. On a connection that ends there is
// room for no more, but what comes is still answered.
func (c *conn) use(st *stream) (again, room, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound, c.used = true, time.Now()
	if st == nil || c.closed {
		return false, false, c.closed
	}
	again = c.open[st.number] != nil
	room = !again && !c.ending && len(c.open) < c.server.bounds.Streams
	if room {
		c.open[st.number] = st
	}
	return again, room, false
}

// answer gives a stream its one answer, unless its caller has left or it had one.
func (c *conn) answer(st *stream, code frame.Code, away dispatch.Micros, last bool, body []byte) {
	c.mu.Lock()
	if c.open[st.number] != st {
		c.mu.Unlock()
		return
	}
	defer c.mu.Unlock()
	delete(c.open, st.number)
	c.used = time.Now()
	c.append(func(to []byte) []byte { return frame.AppendAnswer(to, st.number, code, away, last, body) })
	c.flush()
}

// fail answers a stream whose frame cannot be used. Where an invocation is open under the same number, that
// one's caller cannot tell the answers apart: this is the answer to both, and the first is let go.
func (c *conn) fail(number uint32) {
	c.mu.Lock()
	if st := c.open[number]; st != nil {
		delete(c.open, number)
		close(st.left)
	}
	c.mu.Unlock()
	c.put(func(to []byte) []byte { return frame.AppendAnswer(to, number, frame.Errored, 0, false, nil) })
}

// gone: nobody waits for this stream any more. Unknown and answered ones are no longer open.
func (c *conn) gone(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.open[number]; st != nil {
		delete(c.open, number)
		close(st.left)
	}
}

// forget takes a stream off that was answered without a run.
func (c *conn) forget(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[st.number] == st {
		delete(c.open, st.number)
	}
}

// put writes a frame.
func (c *conn) put(write func(to []byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.append(write)
	c.flush()
}

// append adds a frame to what is to be written; c.mu is held.
func (c *conn) append(write func(to []byte) []byte) {
	if c.closed {
		return
	}
	before := len(c.out)
	c.out = write(c.out)
	c.server.unsent.Add(int64(len(c.out) - before))
}

// flush writes what has gathered as far as the socket takes it, and leaves the rest to a goroutine that waits.
// A peer that takes nothing while it sends is cut off. c.mu is held.
func (c *conn) flush() {
	b := &c.server.bounds
	if c.closed || len(c.out) == 0 {
		return
	}
	if c.writing {
		if len(c.out) > b.Unsent || c.server.unsent.Load() > b.UnsentAll {
			c.server.odd.Warn("unread", nil)
			c.shut()
		}
		return
	}
	n, err := syscall.Write(c.fd, c.out)
	switch n = max(n, 0); {
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		c.shut()
		return
	case n < len(c.out):
		c.server.unsent.Add(-int64(n))
		c.out = c.out[:copy(c.out, c.out[n:])]
		c.writing = true
		go c.wait()
		return
	}
	c.written(c.out)
	c.finish()
}

// written keeps a buffer for the next answers; c.mu is held.
func (c *conn) written(b []byte) {
	c.server.unsent.Add(-int64(len(b)))
	if c.out = nil; cap(b) <= c.server.bounds.Spare {
		c.out = b[:0]
	}
}

// wait writes what the socket does not take at once.
func (c *conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) > 0 && !c.closed {
		b := c.out
		c.out = nil
		c.mu.Unlock()
		_, err := c.np.Write(b)
		c.mu.Lock()
		c.server.unsent.Add(-int64(len(b)))
		if err != nil {
			c.shut()
		}
	}
	c.writing = false
	c.finish()
}

// finish closes a connection that ends once all is answered and written; c.mu is held. For writing first: were it closed
// with input unread, the system would reset it, and the last answer could be lost on its way.
func (c *conn) finish() {
	if c.ending && !c.closed && len(c.open) == 0 && len(c.out) == 0 && !c.writing {
		if !c.freed {
			syscall.Shutdown(c.fd, syscall.SHUT_WR)
			time.AfterFunc(c.server.bounds.Linger, c.cut)
		}
		c.closed = true
	}
}

// shut closes the connection; c.mu is held. The poller then finds its end, and netpoll calls lost. Netpoll's own
// Close would wait, called on the poller, for the poller.
func (c *conn) shut() {
	if !c.over && !c.freed {
		syscall.Shutdown(c.fd, syscall.SHUT_RDWR)
	}
	c.closed, c.over = true, true
}

// cut closes the connection whatever is open on it.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut()
}

// end closes the connection once what is open on it has been answered and written.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.finish()
}

// endIfAnswered does so if nothing is open on it now, and nothing that came stands unread.
func (c *conn) endIfAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rests() && !c.unread() {
		c.ending = true
		c.finish()
	}
}

// cutUnlessSent closes a connection that is to make room, if nothing that came stands unread.
func (c *conn) cutUnlessSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread() {
		return false
	}
	c.shut()
	return true
}

// unread: the peer has sent what has not been taken in, and may be an invocation. What is bound to close says nothing
// that matters. c.mu is held.
func (c *conn) unread() bool { return !c.closed && !c.freed && unread(c.fd) }

// answered: all that has come, the last byte too, and the answers are written.
func (c *conn) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rests() && !c.unread()
}

// excuse takes a span out of what the peer has let pass: the process was held up.
func (c *conn) excuse(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.born, c.used = c.born.Add(span), c.used.Add(span)
	if !c.begun.IsZero() {
		c.begun = c.begun.Add(span)
	}
}

// heedless: nothing on it can be answered any more, or so much could not be used that nothing more is looked at.
func (c *conn) heedless() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.unfit >= 2*c.server.bounds.Unfit
}

// askNoMore sends type 30, once.
func (c *conn) askNoMore() {
	c.mu.Lock()
	asked := c.noMore
	c.noMore = true
	c.mu.Unlock()
	if !asked {
		c.put(frame.AppendGoAway)
	}
}

// restsSince tells since when nothing has been open on it; open ones have no such time.
func (c *conn) restsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.rests()
}

func (c *conn) rests() bool { return len(c.open) == 0 && len(c.out) == 0 && !c.writing }

// Worth of connections to this process, least first: see Server.giveUp. One that was just opened or just used is
// not yet known to say nothing, or to rest.
const (
	neverSound = iota
	resting
	justOpened
	justUsed
	atWork
	going // closed, and only waits for the poller
)

// worth tells what a connection is worth, and since when.
func (c *conn) worth(now time.Time) (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over:
		return going, now
	case c.closed: // and waits for its peer's end
		return neverSound, c.born
	case !c.sound && now.Sub(c.born) > c.server.bounds.Fresh:
		return neverSound, c.born
	case !c.sound:
		return justOpened, c.born
	case c.rests() && now.Sub(c.used) > c.server.bounds.Rests:
		return resting, c.used
	case c.rests():
		return justUsed, c.used
	}
	return atWork, now
}

// tidy closes what has said nothing sound for too long or does not end a frame, and what rests for longer than
// callers do; it lets go of buffers that are not in use.
func (c *conn) tidy(now time.Time, rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, resting := &c.server.bounds, c.rests()
	switch {
	case c.closed || c.ending:
	case !c.sound && now.Sub(c.born) > b.Hello && !c.unread(): // else the poller is behind
		c.server.odd.Warn("silent", nil)
		c.ending = true
		c.finish()
	case !c.begun.IsZero() && now.Sub(c.begun) > b.Hello && !c.unread():
		c.server.odd.Warn("unended", nil)
		c.ending = true
		c.finish()
	case resting && now.Sub(c.used) > rest && !c.unread():
		c.shut()
	case resting && now.Sub(c.used) > b.Sweep:
		c.out = nil
	}
}

// lost: the connection is over, and with it the callers of all that was open.
func (c *conn) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.freed = true, true
	for number, st := range c.open {
		delete(c.open, number)
		close(st.left)
	}
	c.server.unsent.Add(-int64(len(c.out)))
	c.out = nil
}
