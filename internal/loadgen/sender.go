package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

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

// closeConnections closes all connections.
func (s *sender) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.close()
	}
}
