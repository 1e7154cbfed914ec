package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// SentRequest is the course of one request as its caller saw it.
type SentRequest struct {
	ID          string
	Operation   string
	At, Due     time.Time // when it was written, and by when it has to be answered
	Answers     int
	Code        byte
	Answered    time.Time
	WrongResult bool // it succeeded with a result that no run of it produced
	Broken      bool // the connection ended before the answer
	NeverSent   bool // it crossed the backend's own close of the connection, or was not written completely
}

// Caller is an edge node that sends requests to one backend at a fixed rate, reconnects whenever it has to, and
// records the course of each request.
type Caller struct {
	address       string
	from          int
	every         time.Duration
	wait          time.Duration
	mix           []OperationShare
	ignoresGoAway time.Duration // how long it goes on sending after a go-away frame
	stop          chan struct{}
	done          chan struct{}

	mu   sync.Mutex
	all  []*SentRequest
	next int
}

// OperationShare is an operation's share of a load, 0 to 1, and the priority of its requests, 0 to 1.
type OperationShare struct {
	Operation string
	Share     float64
	Priority  float64
}

// NewMixedCaller starts a caller that draws the operation of each request by its share. The order of draws depends on
// from alone.
func NewMixedCaller(address string, from int, every, wait time.Duration, mix []OperationShare) *Caller {
	c := &Caller{
		address: address,
		from:    from,
		every:   every,
		wait:    wait,
		mix:     mix,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go c.run()
	return c
}

// draw draws the operation of a request. Without a mix there is one operation, of medium priority.
func (c *Caller) draw(r *rand.Rand) OperationShare {
	x := r.Float64()
	for _, p := range c.mix {
		if x -= p.Share; x < 0 {
			return p
		}
	}
	return OperationShare{Operation: "look", Priority: 0.5}
}

// NewCaller starts a caller that sends a request every interval and waits for each answer up to wait. from is the
// caller's number, which keeps its request ids apart from those of others. It goes on sending for ignoresGoAway after
// the backend asked for no more.
func NewCaller(address string, from int, every, wait, ignoresGoAway time.Duration) *Caller {
	c := &Caller{
		address:       address,
		from:          from,
		every:         every,
		wait:          wait,
		ignoresGoAway: ignoresGoAway,
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	go c.run()
	return c
}

// Stop ends the load, waits for outstanding answers, and returns the course of all requests.
func (c *Caller) Stop() []*SentRequest {
	close(c.stop)
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// run sends on one connection after the other until the load is stopped.
func (c *Caller) run() {
	defer close(c.done)
	tick := time.NewTicker(c.every)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		if conn, err := net.Dial("tcp", c.address); err == nil {
			if c.serveConnection(conn, tick.C) {
				return
			}
		} // a refused connection proves that nothing ran
	}
}

// serveConnection uses one connection for as long as the backend allows. It reports whether the load has been stopped.
func (c *Caller) serveConnection(conn net.Conn, tick <-chan time.Time) (over bool) {
	t := &callerConn{
		caller: c,
		conn:   conn,
		open:   map[uint32]*SentRequest{},
		goAway: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go t.read()
	defer func() { _ = conn.Close() }()
	over = t.send(tick)
	t.awaitAnswers()
	_ = conn.Close()
	<-t.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range t.open {
		s.Broken = s.Answers == 0 && !s.NeverSent && t.endedAt.Before(s.Due)
	}
	return over
}

// callerConn is one connection of a Caller: a reader, and a writer that follows the ticks.
type callerConn struct {
	caller  *Caller
	conn    net.Conn
	open    map[uint32]*SentRequest // by stream, guarded by the caller's mutex
	goAway  chan struct{}           // closed at the backend's go-away frame
	ended   chan struct{}           // closed when nothing more can be read
	endedAt time.Time               // set before ended is closed
}

// read notes answers until the connection ends.
func (t *callerConn) read() {
	defer close(t.ended)
	defer func() { t.endedAt = time.Now() }()
	n := NewEdgeNode(nil, t.conn)
	asked := false
	for {
		f, err := n.Next()
		if err != nil {
			return
		}
		switch f.Type {
		case frameGoAway:
			if !asked {
				asked = true
				close(t.goAway)
			}
		case frameAnswer:
			t.caller.mu.Lock()
			if s := t.open[f.Stream]; s != nil {
				s.Answers++
				s.Code, s.Answered = f.Code, time.Now()
				s.WrongResult = f.Code == succeeded && f.Body != "result of "+s.ID
			}
			t.caller.mu.Unlock()
		}
	}
}

// send sends one request a tick until the load is stopped (then over is true), the connection ends, or the backend
// asked for no more and the time for which the caller ignores that has passed.
func (t *callerConn) send(tick <-chan time.Time) (over bool) {
	c := t.caller
	random := rand.New(rand.NewPCG(uint64(c.from), uint64(c.next)))
	noMore := t.goAway
	var enough <-chan time.Time
	for stream := uint32(1); ; {
		select {
		case <-c.stop:
			return true
		case <-noMore:
			noMore = nil
			if c.ignoresGoAway == 0 {
				return false
			}
			enough = time.After(c.ignoresGoAway)
		case <-enough:
			return false
		case <-t.ended:
			return false
		case <-tick:
			if !t.sendOne(stream, random) {
				return false
			}
			stream++
		}
	}
}

// sendOne writes one request. It reports whether the connection took all of it.
func (t *callerConn) sendOne(stream uint32, random *rand.Rand) bool {
	c := t.caller
	c.mu.Lock()
	c.next++
	number := c.from<<24 + c.next
	operation := c.draw(random)
	s := &SentRequest{ID: fmt.Sprintf("%016x", number), Operation: operation.Operation, At: time.Now()}
	s.Due = s.At.Add(c.wait)
	t.open[stream] = s
	c.all = append(c.all, s)
	c.mu.Unlock()
	text := Invocation(stream, number, fmt.Sprint("wait=", c.wait.Milliseconds()), fmt.Sprint("from=", c.from),
		"class="+operation.Operation, fmt.Sprintf("rank=%.4f", operation.Priority))
	if _, err := t.conn.Write([]byte(text)); err != nil {
		c.mu.Lock()
		s.NeverSent = true
		c.mu.Unlock()
		return false
	}
	return true
}

// awaitAnswers waits until no answer is outstanding or all are overdue, and a little longer, as an answer may come
// twice.
func (t *callerConn) awaitAnswers() {
	until := time.Now().Add(t.caller.wait + 200*time.Millisecond)
	for time.Now().Before(until) {
		select {
		case <-t.ended:
			return
		case <-time.After(5 * time.Millisecond):
			if !t.caller.awaitsAnswers(t.open) {
				return
			}
		}
	}
}

// awaitsAnswers reports whether an answer is outstanding.
func (c *Caller) awaitsAnswers(open map[uint32]*SentRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range open {
		if s.Answers == 0 && !s.NeverSent {
			return true
		}
	}
	return false
}
