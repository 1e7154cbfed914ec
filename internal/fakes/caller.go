package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// SentRequest is the record of one request as its caller saw it.
type SentRequest struct {
	ID          string
	Operation   string
	At, Due     time.Time // when it was written, and the end of the client timeout
	Answers     int
	Code        byte
	Answered    time.Time
	WrongResult bool // it succeeded with a result other than that of its own run
	Broken      bool // the connection ended before the answer
	NeverSent   bool // the request was not written completely, as the backend had closed the connection
}

// Caller is an edge node that sends requests to one backend at a fixed rate, reconnects whenever it has to, and
// records each request.
type Caller struct {
	address       string
	callerNumber  int // part of its requests' ids
	interval      time.Duration
	timeout       time.Duration
	operationMix  []OperationShare
	ignoresGoAway time.Duration // how long it keeps sending after a go-away frame
	stop          chan struct{} // closed to end the load
	done          chan struct{} // closed once run has returned

	mu       sync.Mutex
	requests []*SentRequest
	sent     int // requests so far, part of their ids
}

// OperationShare is an operation's share of a load and the priority of its requests, both 0 to 1.
type OperationShare struct {
	Operation string
	Share     float64
	Priority  float64
}

// NewMixedCaller starts a caller that draws the operation of each request at random by its share. callerNumber seeds
// the random generator.
func NewMixedCaller(
	address string, callerNumber int, interval, timeout time.Duration, operationMix []OperationShare,
) *Caller {
	c := &Caller{
		address:      address,
		callerNumber: callerNumber,
		interval:     interval,
		timeout:      timeout,
		operationMix: operationMix,
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
	}
	go c.run()
	return c
}

// drawOperation draws the operation of a request. Without a mix, all requests have one operation of medium priority.
func (c *Caller) drawOperation(r *rand.Rand) OperationShare {
	x := r.Float64()
	for _, p := range c.operationMix {
		if x -= p.Share; x < 0 {
			return p
		}
	}
	return OperationShare{Operation: "look", Priority: 0.5}
}

// NewCaller starts a caller that sends a request every interval and waits up to timeout for each answer. callerNumber
// distinguishes its request ids from those of other callers. The caller keeps sending for ignoresGoAway after the
// backend's go-away frame.
func NewCaller(address string, callerNumber int, interval, timeout, ignoresGoAway time.Duration) *Caller {
	c := &Caller{
		address:       address,
		callerNumber:  callerNumber,
		interval:      interval,
		timeout:       timeout,
		ignoresGoAway: ignoresGoAway,
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	go c.run()
	return c
}

// Stop ends the load, waits for outstanding answers, and returns all requests.
func (c *Caller) Stop() []*SentRequest {
	close(c.stop)
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// run opens connections one after the other and sends on them until the load is stopped.
func (c *Caller) run() {
	defer close(c.done)
	tick := time.NewTicker(c.interval)
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
		} // no request was sent on a refused connection
	}
}

// serveConnection sends on one connection until the backend ends it, and reports whether the load has been stopped.
func (c *Caller) serveConnection(conn net.Conn, tick <-chan time.Time) (stopped bool) {
	cc := &callerConn{
		caller:   c,
		conn:     conn,
		byStream: map[uint32]*SentRequest{},
		goAway:   make(chan struct{}),
		ended:    make(chan struct{}),
	}
	go cc.read()
	defer func() { _ = conn.Close() }()
	stopped = cc.send(tick)
	cc.awaitAnswers()
	_ = conn.Close()
	<-cc.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range cc.byStream {
		s.Broken = s.Answers == 0 && !s.NeverSent && cc.endedAt.Before(s.Due)
	}
	return stopped
}

// callerConn is one connection of a Caller: a reader, and a writer that follows the ticks.
type callerConn struct {
	caller   *Caller
	conn     net.Conn
	byStream map[uint32]*SentRequest // by stream, guarded by the caller's mutex
	goAway   chan struct{}           // closed at the backend's go-away frame
	ended    chan struct{}           // closed when nothing more can be read
	endedAt  time.Time               // set before ended is closed
}

// read records answers until the connection ends.
func (cc *callerConn) read() {
	defer close(cc.ended)
	defer func() { cc.endedAt = time.Now() }()
	n := NewEdgeNode(nil, cc.conn)
	goingAway := false
	for {
		f, err := n.Next()
		if err != nil {
			return
		}
		switch f.Type {
		case frameGoAway:
			if !goingAway {
				goingAway = true
				close(cc.goAway)
			}
		case frameAnswer:
			cc.caller.mu.Lock()
			if s := cc.byStream[f.Stream]; s != nil {
				s.Answers++
				s.Code, s.Answered = f.Code, time.Now()
				s.WrongResult = f.Code == succeeded && f.Body != "result of "+s.ID
			}
			cc.caller.mu.Unlock()
		}
	}
}

// send sends one request per tick until the load is stopped (stopped is then true), the connection ends, or
// ignoresGoAway has passed since the backend's go-away frame.
func (cc *callerConn) send(tick <-chan time.Time) (stopped bool) {
	c := cc.caller
	random := rand.New(rand.NewPCG(uint64(c.callerNumber), uint64(c.sent)))
	goAway := cc.goAway
	var deadline <-chan time.Time
	for stream := uint32(1); ; {
		select {
		case <-c.stop:
			return true
		case <-goAway:
			goAway = nil
			if c.ignoresGoAway == 0 {
				return false
			}
			deadline = time.After(c.ignoresGoAway)
		case <-deadline:
			return false
		case <-cc.ended:
			return false
		case <-tick:
			if !cc.sendOne(stream, random) {
				return false
			}
			stream++
		}
	}
}

// sendOne writes one request. It reports whether the connection took all of it.
func (cc *callerConn) sendOne(stream uint32, random *rand.Rand) bool {
	c := cc.caller
	c.mu.Lock()
	c.sent++
	number := c.callerNumber<<24 + c.sent
	operation := c.drawOperation(random)
	s := &SentRequest{ID: fmt.Sprintf("%016x", number), Operation: operation.Operation, At: time.Now()}
	s.Due = s.At.Add(c.timeout)
	cc.byStream[stream] = s
	c.requests = append(c.requests, s)
	c.mu.Unlock()
	text := Invocation(stream, number, fmt.Sprint("wait=", c.timeout.Milliseconds()), fmt.Sprint("from=", c.callerNumber),
		"class="+operation.Operation, fmt.Sprintf("rank=%.4f", operation.Priority))
	if _, err := cc.conn.Write([]byte(text)); err != nil {
		c.mu.Lock()
		s.NeverSent = true
		c.mu.Unlock()
		return false
	}
	return true
}

// awaitAnswers waits until no answer is outstanding or all are overdue. It waits at least one poll interval, and 200 ms
// beyond the timeout, so that duplicate answers are received as well.
func (cc *callerConn) awaitAnswers() {
	until := time.Now().Add(cc.caller.timeout + 200*time.Millisecond)
	for time.Now().Before(until) {
		select {
		case <-cc.ended:
			return
		case <-time.After(5 * time.Millisecond):
			if !cc.caller.awaitsAnswers(cc.byStream) {
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
