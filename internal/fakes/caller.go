package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// SentRequest is what became of one request, as its caller saw it.
type SentRequest struct {
	ID          string
	Class       string
	At, Due     time.Time // written; and when its answer has to be there
	Answers     int
	Code        byte
	Answered    time.Time
	WrongResult bool // succeeded with what no run of it made
	Broken      bool // the connection ended first
	NeverSent   bool // it crossed the backend's own close of the connection, or never went out whole
}

// Caller is an edge node that keeps requests coming to one backend, on a new connection whenever it has to, and
// remembers what became of each.
type Caller struct {
	address       string
	from          int
	every         time.Duration
	wait          time.Duration
	mix           []Part
	ignoresGoAway time.Duration // goes on sending for so long after the backend asked for no more
	stop          chan struct{}
	done          chan struct{}

	mu   sync.Mutex
	all  []*SentRequest
	next int
}

// Part of a mix of operations: so much of it, with this rank.
type Part struct {
	Class string
	Share float64
	Rank  float64
}

// NewMixedCaller begins a load of several operations, drawn by their shares in an order that is the same for the same from.
func NewMixedCaller(address string, from int, every, wait time.Duration, mix []Part) *Caller {
	l := &Caller{address: address, from: from, every: every, wait: wait, mix: mix, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// draw draws the operation of a request; without a mix there is one, with a rank in the middle.
func (l *Caller) draw(r *rand.Rand) Part {
	x := r.Float64()
	for _, p := range l.mix {
		if x -= p.Share; x < 0 {
			return p
		}
	}
	return Part{Class: "look", Rank: 0.5}
}

// NewCaller begins; from tells its ids from those of others. One that is deaf goes on sending for so long after the
// backend asked for no more.
func NewCaller(address string, from int, every, wait, deaf time.Duration) *Caller {
	l := &Caller{address: address, from: from, every: every, wait: wait, ignoresGoAway: deaf, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// Stop ends the load, waits for the answers that are still owed, and returns what became of all.
func (l *Caller) Stop() []*SentRequest {
	close(l.stop)
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

func (l *Caller) run() {
	defer close(l.done)
	tick := time.NewTicker(l.every)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		if c, err := net.Dial("tcp", l.address); err == nil {
			if l.serveConnection(c, tick.C) {
				return
			}
		} // a connection that is not taken proves that nothing ran
	}
}

// serveConnection uses one connection for as long as the backend lets it; over tells that the load has been stopped.
func (l *Caller) serveConnection(c net.Conn, tick <-chan time.Time) (over bool) {
	t := &callerConn{load: l, conn: c, open: map[uint32]*SentRequest{}, goAway: make(chan struct{}), ended: make(chan struct{})}
	go t.read()
	defer func() { _ = c.Close() }()
	over = t.send(tick)
	t.awaitAnswers()
	_ = c.Close()
	<-t.ended
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range t.open {
		s.Broken = s.Answers == 0 && !s.NeverSent && t.endedAt.Before(s.Due)
	}
	return over
}

// callerConn is one connection of a Load: a reader, and a writer that follows the ticks.
type callerConn struct {
	load    *Caller
	conn    net.Conn
	open    map[uint32]*SentRequest // by stream, under the load's lock
	goAway  chan struct{}           // closed when the backend asks for no more
	ended   chan struct{}           // closed when nothing more can be read
	endedAt time.Time               // set before ended is closed
}

// Frames that the backend sends, by the protocol page.
const (
	frameAnswer = 11
	frameGoAway = 30
	succeeded   = 1 // the code of an answer
)

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
			t.load.mu.Lock()
			if s := t.open[f.Stream]; s != nil {
				s.Answers++
				s.Code, s.Answered = f.Code, time.Now()
				s.WrongResult = f.Code == succeeded && f.Body != "result of "+s.ID
			}
			t.load.mu.Unlock()
		}
	}
}

// send sends a request a tick until the load is stopped (then over is true), the connection ends, or the backend asked for no more
// and the time for which the caller ignores that has passed.
func (t *callerConn) send(tick <-chan time.Time) (over bool) {
	l := t.load
	chance := rand.New(rand.NewPCG(uint64(l.from), uint64(l.next)))
	noMore := t.goAway
	var enough <-chan time.Time
	for stream := uint32(1); ; {
		select {
		case <-l.stop:
			return true
		case <-noMore:
			noMore = nil
			if l.ignoresGoAway == 0 {
				return false
			}
			enough = time.After(l.ignoresGoAway)
		case <-enough:
			return false
		case <-t.ended:
			return false
		case <-tick:
			if !t.sendOne(stream, chance) {
				return false
			}
			stream++
		}
	}
}

// sendOne writes one request; false where the connection did not take all of it.
func (t *callerConn) sendOne(stream uint32, chance *rand.Rand) bool {
	l := t.load
	l.mu.Lock()
	l.next++
	number := l.from<<24 + l.next
	part := l.draw(chance)
	s := &SentRequest{ID: fmt.Sprintf("%016x", number), Class: part.Class, At: time.Now()}
	s.Due = s.At.Add(l.wait)
	t.open[stream] = s
	l.all = append(l.all, s)
	l.mu.Unlock()
	text := Invocation(stream, number, fmt.Sprint("wait=", l.wait.Milliseconds()), fmt.Sprint("from=", l.from),
		"class="+part.Class, fmt.Sprintf("rank=%.4f", part.Rank))
	if _, err := t.conn.Write([]byte(text)); err != nil {
		l.mu.Lock()
		s.NeverSent = true
		l.mu.Unlock()
		return false
	}
	return true
}

// awaitAnswers waits while an answer is owed: until it is due, and a little longer, as an answer may come twice.
func (t *callerConn) awaitAnswers() {
	until := time.Now().Add(t.load.wait + 200*time.Millisecond)
	for time.Now().Before(until) {
		select {
		case <-t.ended:
			return
		case <-time.After(5 * time.Millisecond):
			if !t.load.awaitsAnswers(t.open) {
				return
			}
		}
	}
}

func (l *Caller) awaitsAnswers(open map[uint32]*SentRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range open {
		if s.Answers == 0 && !s.NeverSent {
			return true
		}
	}
	return false
}
