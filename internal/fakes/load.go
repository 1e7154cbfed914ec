package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Sent is what became of one invocation, as its caller saw it.
type Sent struct {
	ID       string
	Class    string
	At, Due  time.Time // written; and when its answer has to be there
	Answers  int
	Code     byte
	Answered time.Time
	Wrong    bool // succeeded with what no run of it made
	Broken   bool // the connection ended first
	Unborn   bool // it crossed the backend's own close of the connection, or never went out whole
}

// Load is an edge node that keeps invocations coming to one backend, on a new connection whenever it has to, and
// remembers what became of each.
type Load struct {
	address string
	from    int
	every   time.Duration
	wait    time.Duration
	mix     []Part
	deaf    time.Duration // goes on sending for so long after the backend asked for no more
	stop    chan struct{}
	done    chan struct{}

	mu   sync.Mutex
	all  []*Sent
	next int
}

// Part of a mix of operations: so much of it, with this rank.
type Part struct {
	Class string
	Share float64
	Rank  float64
}

// Mixed begins a load of several operations, drawn by their shares in an order that is the same for the same from.
func Mixed(address string, from int, every, wait time.Duration, mix []Part) *Load {
	l := &Load{address: address, from: from, every: every, wait: wait, mix: mix, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// draw draws the operation of an invocation; without a mix there is one, with a rank in the middle.
func (l *Load) draw(r *rand.Rand) Part {
	x := r.Float64()
	for _, p := range l.mix {
		if x -= p.Share; x < 0 {
			return p
		}
	}
	return Part{Class: "look", Rank: 0.5}
}

// NewLoad begins; from tells its ids from those of others. One that is deaf goes on sending for so long after the
// backend asked for no more.
func NewLoad(address string, from int, every, wait, deaf time.Duration) *Load {
	l := &Load{address: address, from: from, every: every, wait: wait, deaf: deaf, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// Stop ends the load, waits for the answers that are still owed, and returns what became of all.
func (l *Load) Stop() []*Sent {
	close(l.stop)
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

func (l *Load) run() {
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
			if l.converse(c, tick.C) {
				return
			}
		} // a connection that is not taken proves that nothing ran
	}
}

// converse uses one connection for as long as the backend lets it; over tells that the load has been stopped.
func (l *Load) converse(c net.Conn, tick <-chan time.Time) (over bool) {
	n := NewNode(nil, c)
	open := map[uint32]*Sent{}
	asks, ended := make(chan struct{}), make(chan struct{})
	noMore := asks
	var endedAt time.Time
	go func() {
		defer close(ended)
		defer func() { endedAt = time.Now() }()
		asked := false
		for {
			f, err := n.Next()
			if err != nil {
				return
			}
			switch f.Type {
			case 30:
				if !asked {
					asked = true
					close(asks)
				}
			case 11:
				l.mu.Lock()
				if s := open[f.Stream]; s != nil {
					s.Answers++
					s.Code, s.Answered = f.Code, time.Now()
					s.Wrong = f.Code == 1 && f.Body != "result of "+s.ID
				}
				l.mu.Unlock()
			}
		}
	}()
	defer func() { _ = c.Close() }()
	chance := rand.New(rand.NewPCG(uint64(l.from), uint64(l.next)))
	stream, refused := uint32(0), false
	var enough <-chan time.Time
	for leaving := false; !leaving; {
		select {
		case <-l.stop:
			over, leaving = true, true
		case <-noMore:
			noMore, leaving = nil, l.deaf == 0
			enough = time.After(l.deaf)
		case <-enough:
			leaving = true
		case <-ended:
			leaving = true
		case <-tick:
			stream++
			l.mu.Lock()
			l.next++
			number := l.from<<24 + l.next
			part := l.draw(chance)
			s := &Sent{ID: fmt.Sprintf("%016x", number), Class: part.Class, At: time.Now()}
			s.Due = s.At.Add(l.wait)
			open[stream] = s
			l.all = append(l.all, s)
			l.mu.Unlock()
			text := Invocation(stream, number, fmt.Sprint("wait=", l.wait.Milliseconds()), fmt.Sprint("from=", l.from),
				"class="+part.Class, fmt.Sprintf("rank=%.4f", part.Rank))
			if _, err := c.Write([]byte(text)); err != nil {
				l.mu.Lock()
				s.Unborn = true
				l.mu.Unlock()
				refused = true
			}
			leaving = refused
		}
	}
	// What is open is owed an answer until it is due; an answer may come twice, so that the end is waited for.
	until := time.Now().Add(l.wait + 200*time.Millisecond)
	for waits := true; waits && time.Now().Before(until); {
		select {
		case <-ended:
			waits = false
		case <-time.After(5 * time.Millisecond):
			waits = l.owes(open)
		}
	}
	_ = c.Close()
	<-ended
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range open {
		s.Broken = s.Answers == 0 && !s.Unborn && endedAt.Before(s.Due)
	}
	return over
}

func (l *Load) owes(open map[uint32]*Sent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range open {
		if s.Answers == 0 && !s.Unborn {
			return true
		}
	}
	return false
}
