package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
)

// Options of one load.
type Options struct {
	Scenario *simulation.Scenario
	Seed     uint64
	Backends []string // addresses on this machine
	Bounds   limits.Load
	Told     func(Snapshot) // every second; may be nil
}

// Snapshot is how a load stands.
type Snapshot struct {
	At        time.Duration
	Asks      int
	Open      int
	Value     float64 // billed by offered, so far
	Last      simulation.SecondStats
	Links     int
	Behind    time.Duration // the sender itself is so late
	PerSecond float64
}

// Report is what a load brought.
type Report struct {
	*simulation.Result
	Doubles int           `json:"doubles"` // answers to what was answered before
	Strange int           `json:"strange"` // succeeded with what no run of it made
	Unsent  int           `json:"unsent"`  // asks beyond the bound of what may be open
	Late    time.Duration `json:"late_ns"` // the latest that the sender itself was
}

type sender struct {
	o       Options
	s       *simulation.Scenario
	began   time.Time
	mu      sync.Mutex
	r       *Report
	nodes   []Backends
	deaf    []bool
	chance  *rand.Rand
	links   map[[2]int]*link
	open    int
	over    chan struct{}
	sentAll bool
	salt    uint64
	tries   uint64
}

// Run sends the scenario's day. Latency counts from the time at which the day has the request, not from when it was sent:
// a sender or a backend that stalls does not hide what waited meanwhile. Every address must be of this machine.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Scenario.Check(); err != nil {
		return nil, err
	}
	if len(o.Backends) == 0 {
		return nil, errors.New("load: no backend is named")
	}
	for _, b := range o.Backends {
		host, _, err := net.SplitHostPort(b)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, fmt.Errorf("load: %q is no loopback address: load goes to this machine alone", b)
		}
	}
	s := &sender{
		o: o, s: o.Scenario, r: &Report{Result: simulation.NewResult(o.Scenario, "sockets", o.Seed)}, chance: rand.New(rand.NewPCG(o.Seed, 3)),
		links: map[[2]int]*link{}, over: make(chan struct{}), salt: uint64(time.Now().UnixNano()) << 24, began: time.Now(),
	}
	for n := range o.Scenario.Nodes.Count {
		s.nodes = append(s.nodes, Backends{Avoid: make([]Micros, len(o.Backends)), turn: n % len(o.Backends)})
		s.deaf = append(s.deaf, float64(n) < o.Scenario.Nodes.UnresponsiveShare*float64(o.Scenario.Nodes.Count))
	}
	defer s.hangUp()
	ticks := make(chan struct{})
	go s.tell(ticks)
	defer close(ticks)
	stream := simulation.NewStream(s.s, o.Seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 1; ; n++ {
		a, more := stream.Next()
		if !more {
			break
		}
		timer.Reset(time.Until(s.began.Add(time.Duration(a.At) * time.Microsecond)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return s.books(), ctx.Err()
		}
		s.begin(a, n)
	}
	s.mu.Lock()
	s.sentAll = true
	s.done()
	s.mu.Unlock()
	select {
	case <-s.over:
	case <-ctx.Done():
		return s.books(), ctx.Err()
	}
	return s.books(), nil
}

func (s *sender) now() Micros { return Micros(time.Since(s.began).Microseconds()) }

func (s *sender) books() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Close()
	return s.r
}

// done: all has been sent and nothing is open; s.mu is held.
func (s *sender) done() {
	if s.sentAll && s.open == 0 {
		select {
		case <-s.over:
		default:
			close(s.over)
		}
	}
}

func (s *sender) begin(arrival simulation.Arrival, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.r.Late = max(s.r.Late, time.Duration(now-arrival.At)*time.Microsecond)
	s.r.RecordRequest(s.s, arrival.At, arrival.Operation, arrival.Tenant)
	if s.open >= s.o.Bounds.Open {
		s.r.Unsent++
		s.r.RecordOutcome(s.s, now, arrival.Operation, arrival.Tenant, simulation.Local, 0, 0)
		return
	}
	s.open++
	a := &Request{Arrival: arrival, Number: number, Due: arrival.At + s.s.Operations[arrival.Operation].Timeout, Last: -1}
	time.AfterFunc(time.Duration(a.Due-now)*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !a.Over {
			s.end(a, simulation.Lost)
		}
	})
	s.try(a)
}

// try sends one attempt; s.mu is held.
func (s *sender) try(a *Request) {
	now := s.now()
	b := s.nodes[a.Node].Choose(now, a)
	if b < 0 {
		s.failed(a, Response{Outcome: simulation.Unreachable})
		return
	}
	retry := a.Tries > 0
	a.Tries++
	a.Last = b
	s.r.Attempts++
	s.tries++
	op := &s.s.Operations[a.Operation]
	ask := &frame.OutgoingInvocation{
		Operation: op.Name, ID: fmt.Sprintf("%016x", s.salt+s.tries), At: time.Now().UnixMilli(), Wait: max(1000, a.Due-now), Retry: retry, Work: a.Hint,
		KB: max(0.1, min(s.s.Hosts.RequestKB, 1999)), Rank: min(op.Priority, 0.9999), Body: strconv.AppendInt([]byte("work="), int64(a.Work), 10),
	}
	if len(s.s.Tenants) > 0 {
		ask.Tenant = s.s.Tenants[a.Tenant].Name
	}
	l := s.links[[2]int{a.Node, b}]
	if l == nil {
		l = &link{s: s, node: a.Node, backend: b, open: map[uint32]*sent{}}
		s.links[[2]int{a.Node, b}] = l
		go l.dial(s.o.Backends[b])
	}
	l.send(a, ask)
}

// heard is the end of a try; s.mu is held.
func (s *sender) heard(a *Request, node, backend int, h Response) {
	if a.Over {
		return
	}
	now := s.now()
	if h.Outcome == simulation.Succeeded {
		took := now - a.At
		a.Over = true
		s.r.RecordOutcome(s.s, now, a.Operation, a.Tenant, simulation.Succeeded, took, EarnedValue(&s.s.Operations[a.Operation], took))
		s.open--
		s.done()
		return
	}
	s.nodes[node].Heed(now, backend, h, s.deaf[node])
	s.failed(a, h)
}

func (s *sender) failed(a *Request, h Response) {
	pause, again := Next(s.s, s.now(), a, h, s.deaf[a.Node], s.chance)
	if !again {
		s.end(a, h.Outcome)
		return
	}
	time.AfterFunc(time.Duration(pause)*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !a.Over {
			s.try(a)
		}
	})
}

func (s *sender) end(a *Request, out simulation.Outcome) {
	a.Over = true
	s.r.RecordOutcome(s.s, s.now(), a.Operation, a.Tenant, out, s.now()-a.At, 0)
	s.open--
	s.done()
}

func (s *sender) hangUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
}

func (s *sender) tell(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	asks := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		p := Snapshot{
			At: time.Since(s.began).Round(time.Second), Asks: s.r.Requests, Open: s.open, Value: s.r.Value(), Links: len(s.links), Behind: s.r.Late,
			PerSecond: float64(s.r.Requests - asks),
		}
		asks = s.r.Requests
		if n := len(s.r.Seconds); n > 1 {
			p.Last = s.r.Seconds[n-2]
		}
		s.mu.Unlock()
		if s.o.Told != nil {
			s.o.Told(p)
		}
	}
}

// link is one connection of one node to one backend. The sender's lock guards it, but for the socket.
type link struct {
	s             *sender
	node, backend int
	c             net.Conn
	open          map[uint32]*sent
	next          uint32
	out           []byte
	writing       bool
	over          bool
	noMore        bool
}

type sent struct {
	a  *Request
	id string
}

// dial opens the connection; what was to be sent meanwhile goes out then.
func (l *link) dial(address string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	l.s.mu.Lock()
	if err != nil || l.over {
		l.end(simulation.Unreachable)
		l.s.mu.Unlock()
		if c != nil {
			_ = c.Close()
		}
		return
	}
	l.c = c
	l.flush()
	l.s.mu.Unlock()
	l.read(c)
}

// send appends a frame; s.mu is held.
func (l *link) send(a *Request, ask *frame.OutgoingInvocation) {
	l.next++
	l.open[l.next] = &sent{a: a, id: ask.ID}
	a.Open++
	l.out = frame.AppendInvocation(l.out, l.next, ask)
	l.flush()
}

// flush has what waits written, without holding the lock meanwhile.
func (l *link) flush() {
	if l.writing || l.c == nil || len(l.out) == 0 {
		return
	}
	l.writing = true
	go func() {
		for {
			l.s.mu.Lock()
			out, c := l.out, l.c
			l.out = nil
			if len(out) == 0 || l.over {
				l.writing = false
				l.s.mu.Unlock()
				return
			}
			l.s.mu.Unlock()
			if _, err := c.Write(out); err != nil {
				_ = c.Close() // the reader finds the end
			}
		}
	}()
}

func (l *link) read(c net.Conn) {
	defer func() { _ = c.Close() }()
	const most = 262_144
	buffer, have := make([]byte, 16<<10), 0
	for {
		n, err := c.Read(buffer[have:])
		have += n
		l.s.mu.Lock()
		used := 0
		for {
			h, payload, took, bad := frame.SplitFrame(buffer[used:have], most)
			if bad != nil {
				err = bad
			}
			if took == 0 {
				break
			}
			used += took
			if bad := l.frame(h, payload); bad != nil {
				err = bad
			}
		}
		have = copy(buffer, buffer[used:have])
		if have == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		if err != nil || l.noMore && l.idle() {
			l.end(simulation.Reset)
			l.s.mu.Unlock()
			return
		}
		l.s.mu.Unlock()
	}
}

func (l *link) idle() bool {
	for _, x := range l.open {
		if !x.a.Over {
			return false
		}
	}
	return len(l.out) == 0
}

// frame takes one in; s.mu is held.
func (l *link) frame(h frame.Header, payload []byte) error {
	switch h.Kind {
	case frame.KindGoAway:
		l.noMore = true
		if l.s.links[[2]int{l.node, l.backend}] == l { // what comes next opens another connection
			delete(l.s.links, [2]int{l.node, l.backend})
		}
	case frame.KindAnswer:
		ans, err := frame.ReadAnswer(payload)
		if err != nil {
			return err
		}
		x := l.open[h.Stream]
		if x == nil {
			if h.Stream > 0 && h.Stream <= l.next { // it was answered before
				l.s.r.Doubles++
			}
			return nil
		}
		delete(l.open, h.Stream)
		x.a.Open--
		heard := Response{Outcome: simulation.Errored, RetryIn: ans.After, Dont: ans.Last}
		switch ans.Code {
		case frame.Succeeded:
			heard.Outcome = simulation.Succeeded
			if !bytes.Equal(ans.Body, []byte("result of "+x.id)) {
				l.s.r.Strange++
			}
		case frame.Throttled:
			heard.Outcome = simulation.Throttled
		}
		l.s.heard(x.a, l.node, l.backend, heard)
	}
	return nil
}

// end is the end of the connection; what is open on it has had none. s.mu is held.
func (l *link) end(out simulation.Outcome) {
	if l.over {
		return
	}
	l.over = true
	if l.s.links[[2]int{l.node, l.backend}] == l {
		delete(l.s.links, [2]int{l.node, l.backend})
	}
	for _, x := range l.open {
		x.a.Open--
		l.s.heard(x.a, l.node, l.backend, Response{Outcome: out})
	}
	clear(l.open)
}

func (l *link) close() {
	l.over = true
	if l.c != nil {
		_ = l.c.Close()
	}
}
