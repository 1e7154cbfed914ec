package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// Options describe one load.
type Options struct {
	Scenario   *simulation.Scenario
	Seed       uint64
	Backends   []string // loopback addresses
	Bounds     limits.Load
	OnSnapshot func(Snapshot) // called every second; may be nil
}

// Snapshot is the state of a load while it runs.
type Snapshot struct {
	At          time.Duration
	Requests    int
	InFlight    int
	Value       float64 // billed part of the value offered so far
	LastSecond  simulation.SecondStats
	Connections int
	Lag         time.Duration // how late the sender itself has been at most
	PerSecond   float64
}

// Report is the result of a load.
type Report struct {
	*simulation.Result
	DuplicateAnswers int           `json:"doubles"` // second answers to an attempt
	UnknownResults   int           `json:"strange"` // successes with a result that no run of theirs produced
	Unsent           int           `json:"unsent"`  // requests beyond Bounds.Open
	MaxLag           time.Duration `json:"late_ns"` // how late the sender itself was at most
}

// sender is the state of one load. mu guards all that changes.
type sender struct {
	options       Options
	scenario      *simulation.Scenario
	startedAt     time.Time
	mu            sync.Mutex
	report        *Report
	views         []BackendView
	ignoresAdvice []bool
	rand          *rand.Rand
	connections   map[connectionKey]*connection
	inFlight      int
	allDone       chan struct{}
	sentAll       bool
	idBase        uint64
	attempts      uint64
}

// connectionKey names the connection of a node to a backend, both by index.
type connectionKey struct{ node, backend int }

// Run sends the scenario's day to the backends, whose addresses must be on loopback (else the error is an
// *AddressError). Latency counts from the time at which the day has the request, not from when it was sent, so that a
// sender or backend that stalls does not hide what waited meanwhile. A load that is interrupted has a report too.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	s := newSender(o)
	defer s.closeConnections()
	stop := make(chan struct{})
	go s.reportProgress(stop)
	defer close(stop)
	err := s.sendDay(ctx)
	return s.finishReport(), err
}

// check returns what makes a load impossible.
func (o *Options) check() error {
	if err := o.Scenario.Check(); err != nil {
		return err
	}
	if len(o.Backends) == 0 {
		return ErrNoBackend
	}
	for _, b := range o.Backends {
		host, _, err := net.SplitHostPort(b)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return &AddressError{Address: b}
		}
	}
	return nil
}

func newSender(o Options) *sender {
	s := &sender{
		options: o, scenario: o.Scenario, report: &Report{Result: simulation.NewResult(o.Scenario, "sockets", o.Seed)}, rand: rand.New(rand.NewPCG(o.Seed, 3)),
		connections: map[connectionKey]*connection{}, allDone: make(chan struct{}), idBase: uint64(time.Now().UnixNano()) << 24, startedAt: time.Now(),
	}
	nodes := &o.Scenario.Nodes
	for n := range nodes.Count {
		s.views = append(s.views, BackendView{AvoidUntil: make([]monotime.Micros, len(o.Backends)), next: n % len(o.Backends)})
		s.ignoresAdvice = append(s.ignoresAdvice, float64(n) < nodes.UnresponsiveShare*float64(nodes.Count))
	}
	return s
}

// sendDay sends each request at its time and waits until all have ended.
func (s *sender) sendDay(ctx context.Context) error {
	stream := simulation.NewStream(s.scenario, s.options.Seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 1; ; n++ {
		a, more := stream.Next()
		if !more {
			break
		}
		timer.Reset(time.Until(s.startedAt.Add(time.Duration(a.At) * time.Microsecond)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.startRequest(a, n)
	}
	s.mu.Lock()
	s.sentAll = true
	s.closeIfDone()
	s.mu.Unlock()
	select {
	case <-s.allDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// now returns the time of the day.
func (s *sender) now() monotime.Micros { return monotime.FromDuration(time.Since(s.startedAt)) }

// finishReport completes the report.
func (s *sender) finishReport() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Close()
	return s.report
}

// closeIfDone closes allDone once all has been sent and answered. The caller holds s.mu.
func (s *sender) closeIfDone() {
	if s.sentAll && s.inFlight == 0 {
		select {
		case <-s.allDone:
		default:
			close(s.allDone)
		}
	}
}

// startRequest records a request and sends its first attempt.
func (s *sender) startRequest(arrival simulation.Arrival, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.report.MaxLag = max(s.report.MaxLag, time.Duration(now-arrival.At)*time.Microsecond)
	s.report.RecordRequest(s.scenario, arrival.At, arrival.Operation, arrival.Tenant)
	if s.inFlight >= s.options.Bounds.InFlight {
		s.report.Unsent++
		s.report.RecordOutcome(s.scenario, now, arrival.Operation, arrival.Tenant, simulation.ThrottledByNode, 0, 0)
		return
	}
	s.inFlight++
	req := &Request{Arrival: arrival, Number: number, Due: arrival.At + s.scenario.Operations[arrival.Operation].Timeout, LastBackend: -1}
	time.AfterFunc(time.Duration(req.Due-now)*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !req.Finished {
			s.endRequest(req, simulation.TimedOut)
		}
	})
	s.sendAttempt(req)
}

// sendAttempt sends one attempt. The caller holds s.mu.
func (s *sender) sendAttempt(req *Request) {
	now := s.now()
	b := s.views[req.Node].Choose(now, req)
	if b < 0 {
		s.retryOrEnd(req, Response{Outcome: simulation.Unreachable})
		return
	}
	retry := req.Attempts > 0
	req.Attempts++
	req.LastBackend = b
	s.report.Attempts++
	s.attempts++
	op := &s.scenario.Operations[req.Operation]
	invocation := &frame.OutgoingInvocation{
		Operation: op.Name, ID: fmt.Sprintf("%016x", s.idBase+s.attempts), ArrivedAt: time.Now().UnixMilli(), CallerTimeout: max(1000, req.Due-now), Retry: retry, ExpectedWork: req.Hint,
		MemoryKB: max(0.1, min(s.scenario.Hosts.RequestKB, 1999)), Priority: min(op.Priority, 0.9999), Body: strconv.AppendInt([]byte("work="), int64(req.Work), 10),
	}
	if len(s.scenario.Tenants) > 0 {
		invocation.Tenant = s.scenario.Tenants[req.Tenant].Name
	}
	c := s.connections[connectionKey{req.Node, b}]
	if c == nil {
		c = &connection{sender: s, node: req.Node, backend: b, unanswered: map[uint32]*sentAttempt{}}
		s.connections[connectionKey{req.Node, b}] = c
		go c.dial(s.options.Backends[b])
	}
	c.send(req, invocation)
}

// handleResponse handles the end of an attempt. The caller holds s.mu.
func (s *sender) handleResponse(req *Request, node, backend int, response Response) {
	if req.Finished {
		return
	}
	now := s.now()
	if response.Outcome == simulation.Succeeded {
		took := now - req.At
		req.Finished = true
		s.report.RecordOutcome(s.scenario, now, req.Operation, req.Tenant, simulation.Succeeded, took, EarnedValue(&s.scenario.Operations[req.Operation], took))
		s.inFlight--
		s.closeIfDone()
		return
	}
	s.views[node].RecordResponse(now, backend, response, s.ignoresAdvice[node])
	s.retryOrEnd(req, response)
}

// retryOrEnd retries or ends a request after an attempt without success. The caller holds s.mu.
func (s *sender) retryOrEnd(req *Request, response Response) {
	backoff, retry := Next(s.scenario, s.now(), req, response, s.ignoresAdvice[req.Node], s.rand)
	if !retry {
		s.endRequest(req, response.Outcome)
		return
	}
	time.AfterFunc(time.Duration(backoff)*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !req.Finished {
			s.sendAttempt(req)
		}
	})
}

// endRequest ends a request without success. The caller holds s.mu.
func (s *sender) endRequest(req *Request, out simulation.Outcome) {
	req.Finished = true
	s.report.RecordOutcome(s.scenario, s.now(), req.Operation, req.Tenant, out, s.now()-req.At, 0)
	s.inFlight--
	s.closeIfDone()
}

// closeConnections closes all connections.
func (s *sender) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.close()
	}
}

// reportProgress reports a snapshot each second until stop is closed.
func (s *sender) reportProgress(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	requests := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		p := Snapshot{
			At: time.Since(s.startedAt).Round(time.Second), Requests: s.report.Requests, InFlight: s.inFlight, Value: s.report.Value(), Connections: len(s.connections), Lag: s.report.MaxLag,
			PerSecond: float64(s.report.Requests - requests),
		}
		requests = s.report.Requests
		if n := len(s.report.Seconds); n > 1 {
			p.LastSecond = s.report.Seconds[n-2]
		}
		s.mu.Unlock()
		if s.options.OnSnapshot != nil {
			s.options.OnSnapshot(p)
		}
	}
}
