package edge

import (
	"log"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/frame"
	"milletbarrow/gate"
)

// conn is one connection of an edge node. Its reader runs on netpoll's goroutine and never waits for a
// writer: answers gather in out, and whoever finds nobody writing writes them.
type conn struct {
	server *Server
	np     netpoll.Connection
	skip   int  // bytes of a frame too long to be an invocation, still to be passed over; the reader's
	deaf   bool // borders are lost: nothing more is read; the reader's

	mu      sync.Mutex
	open    map[uint32]*stream
	out     []byte // answers not yet handed to netpoll
	spare   []byte
	writing bool
	noMore  bool      // type 30 is out
	ending  bool      // closes once all is answered and written
	closed  bool      // and has been
	used    time.Time // when it last carried something
}

// stream is an invocation that is to be answered.
type stream struct {
	number uint32
	left   chan struct{} // closed once its caller is known to have gone
}

// read takes in whole frames until none is left. Netpoll calls it whenever something has come.
func (c *conn) read() {
	r := c.np.Reader()
	for r.Len() > 0 {
		if !c.np.IsActive() { // we have closed it though the peer goes on sending, or the peer is gone
			c.np.Close()
			return
		}
		if c.deaf || c.skip > 0 {
			n := r.Len()
			if !c.deaf {
				n = min(n, c.skip)
				c.skip -= n
			}
			if r.Skip(n) != nil || r.Release() != nil {
				c.np.Close()
				return
			}
			continue
		}
		border, err := r.Peek(frame.LengthSize)
		if err != nil { // it ended within a frame; netpoll would call again and again for what is left unread
			c.np.Close()
			return
		}
		size, err := frame.Length(border, c.server.bounds.Frame)
		if err != nil {
			c.server.odd.Note("borders", err)
			c.deaf = true
			c.put(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
			c.end()
			continue
		}
		whole := min(frame.LengthSize+size, frame.HeadSize+c.server.bounds.Content)
		b, err := r.Next(whole)
		if err != nil {
			c.np.Close()
			return
		}
		c.skip = frame.LengthSize + size - whole
		c.take(b)
		if r.Release() != nil {
			c.np.Close()
			return
		}
	}
}

// take handles one frame; b holds all of it, or the beginning of one that is too long. An error of our own
// in it is logged, and its stream is answered.
func (c *conn) take(b []byte) {
	h := frame.ReadHead(b)
	defer func() {
		if r := recover(); r != nil {
			log.Printf("event=fault in=frame text=%q stack=%q", r, debug.Stack())
			c.fail(h.Stream)
		}
	}()
	payload := b[frame.HeadSize:]
	switch h.Kind {
	case frame.KindInvocation:
		c.invocation(h, payload)
	case frame.KindGone:
		c.gone(h.Stream)
	case frame.KindCheck:
		good := c.server.good()
		if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
			c.server.odd.Note("check", err)
			good = false
		}
		c.put(func(to []byte) []byte { return frame.AppendCheckAnswer(to, h.Stream, good) })
	default: // what is meant by its stream is unknown, so none is touched
		c.server.odd.Note("kind", nil)
		c.put(func(to []byte) []byte { return frame.AppendError(to, "unknown type") })
	}
}

func (c *conn) invocation(h frame.Head, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		s.odd.Note("stream_0", nil)
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
	}
	if err != nil {
		s.odd.Note("invocation", err)
		c.fail(h.Stream)
		return
	}
	inv := gate.Invocation{
		ID: string(in.ID), Operation: op - 1, Tenant: max(tenant-1, 0), Rank: in.Rank, KB: in.KB, Retry: in.Retry,
		Keyed: in.Keyed, Work: in.Work, At: in.At, Wait: in.Wait,
	}
	st := &stream{number: h.Stream, left: make(chan struct{})}
	inv.Left = st.left
	c.mu.Lock()
	again := c.open[h.Stream] != nil
	room := !again && len(c.open) < s.bounds.Streams
	if room && !c.closed {
		c.open[h.Stream] = st
		c.used = time.Now()
	}
	closed := c.closed
	c.mu.Unlock()
	switch {
	case closed:
	case again:
		s.odd.Note("stream_again", nil)
		c.fail(h.Stream)
	case !room || !s.enter():
		// More than may be open here, or than this process can hold: it never ran, another may have room.
		c.put(func(to []byte) []byte { return frame.AppendAnswer(to, h.Stream, frame.Throttled, 0, false, nil) })
		c.forget(st)
	default: // the body outlives the buffer that it was read into
		go s.carry(c, st, inv, s.sheet.Operations[op-1], append([]byte(nil), in.Body...))
	}
}

// answer gives a stream its one answer, unless its caller has left or it had one.
func (c *conn) answer(st *stream, code frame.Code, away gate.Micros, last bool, body []byte) {
	c.mu.Lock()
	if c.open[st.number] != st {
		c.mu.Unlock()
		return
	}
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

// put writes a frame without waiting for it.
func (c *conn) put(write func(to []byte) []byte) {
	c.mu.Lock()
	c.append(write)
	if c.writing || c.closed {
		c.tooMuch()
		c.mu.Unlock()
		return
	}
	c.writing = true
	c.mu.Unlock()
	go func() {
		c.mu.Lock()
		c.writing = false
		c.flush()
	}()
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

// tooMuch cuts off a peer that takes nothing while it sends; c.mu is held.
func (c *conn) tooMuch() {
	b := &c.server.bounds
	if !c.closed && (len(c.out) > b.Unsent || len(c.out) > 0 && c.server.unsent.Load() > b.UnsentAll) {
		c.server.odd.Note("unread", nil)
		c.shut()
	}
}

// flush writes what has gathered, unless somebody is at it. It is called with c.mu held and gives it up; it
// may wait for the peer, so only goroutines that have nothing else to do come here.
func (c *conn) flush() {
	defer c.mu.Unlock()
	if c.writing || c.closed {
		c.tooMuch()
		return
	}
	c.writing = true
	for len(c.out) > 0 && !c.closed {
		b := c.out
		c.out, c.spare = c.spare[:0], nil
		c.mu.Unlock()
		_, err := c.np.Write(b)
		c.mu.Lock()
		c.server.unsent.Add(-int64(len(b)))
		if cap(b) <= c.server.bounds.Spare {
			c.spare = b
		}
		if err != nil {
			c.shut()
		}
	}
	c.writing = false
	if c.ending && len(c.open) == 0 {
		c.shut()
	}
}

// shut closes the connection; c.mu is held. Netpoll then calls lost.
func (c *conn) shut() {
	if !c.closed {
		c.closed = true
		go c.np.Close()
	}
}

// end closes the connection once what is open on it has been answered and written.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if len(c.open) == 0 && len(c.out) == 0 && !c.writing {
		c.shut()
	}
}

// askNoMore sends type 30, once.
func (c *conn) askNoMore() {
	c.mu.Lock()
	asked := c.noMore
	c.noMore = true
	c.mu.Unlock()
	if !asked {
		c.put(frame.AppendNoMore)
	}
}

// restsSince tells since when nothing has been open on it; open ones have no such time.
func (c *conn) restsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, len(c.open) == 0 && len(c.out) == 0 && !c.writing
}

// lost: the connection is over, and with it the callers of all that was open.
func (c *conn) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for number, st := range c.open {
		delete(c.open, number)
		close(st.left)
	}
	c.server.unsent.Add(-int64(len(c.out)))
	c.out, c.spare = nil, nil
}
