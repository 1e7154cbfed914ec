package loadgen

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// backoffStream is the PCG stream of the random generator for the backoff.
const backoffStream = 3

// idSequenceBits is the number of low bits of an attempt's id that hold its sequence number within the load.
const idSequenceBits = 24

// sender is the state of one load. Its invariants:
//   - inFlight is the number of requests that are started and not Finished;
//   - a request has exactly one outcome in the report;
//   - connections holds no connection that failed or is going away.
//
// TestReportCountsWrongAnswers checks them, except for connections that are going away.
type sender struct {
	options       Options
	scenario      *simulation.Scenario
	startedAt     time.Time
	ignoresAdvice []bool                                 // by index of the node
	idBase        uint64                                 // plus an attempt's sequence number is its id; per load
	allDone       chan struct{}                          // closed once every request has an outcome
	dial          func(address string) (net.Conn, error) // not cancelled with the context of Run

	mu          sync.Mutex // guards the fields below, the requests, and the connections except for their sockets
	report      *Report
	views       []BackendView // by index of the node
	rand        *rand.Rand    // generates the jitter of the backoff
	connections map[connectionKey]*connection
	inFlight    int    // requests without an outcome
	sentAll     bool   // the first attempt of each request was sent
	attempts    uint64 // sent so far
}

// connectionKey identifies the connection of a node to a backend, both by index.
type connectionKey struct {
	node    int
	backend int
}

func newSender(ctx context.Context, options Options) *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// The end of ctx does not cancel dials, as the report would count them as unreachable backends.
	dialContext := context.WithoutCancel(ctx)
	s := &sender{
		options:     options,
		scenario:    options.Scenario,
		startedAt:   time.Now(),
		idBase:      uint64(time.Now().UnixNano()) << idSequenceBits,
		allDone:     make(chan struct{}),
		report:      &Report{Result: simulation.NewResult(options.Scenario, "sockets", options.Seed)},
		rand:        rand.New(rand.NewPCG(options.Seed, backoffStream)),
		connections: map[connectionKey]*connection{},
		dial: func(address string) (net.Conn, error) {
			return dialer.DialContext(dialContext, "tcp", address)
		},
	}
	nodes := &options.Scenario.Nodes
	backends := len(options.Backends)
	for node := range nodes.Count {
		s.views = append(s.views, BackendView{
			AvoidUntil: make([]monotime.Micros, backends),
			next:       node % backends,
		})
		s.ignoresAdvice = append(s.ignoresAdvice, float64(node) < nodes.UnresponsiveShare*float64(nodes.Count))
	}
	return s
}

// sendArrivals starts each request at its scheduled time and waits until every request has an outcome.
func (s *sender) sendArrivals(ctx context.Context) error {
	stream := simulation.NewStream(s.scenario, s.options.Seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		arrival, more := stream.Next()
		if !more {
			break
		}
		timer.Reset(time.Until(s.startedAt.Add(arrival.At.Duration())))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.startRequest(arrival)
	}
	s.finishSending()
	select {
	case <-s.allDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finishSending records that no further request follows.
func (s *sender) finishSending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAll = true
	s.closeIfDone()
}

// now returns the time since the start of the load.
func (s *sender) now() monotime.Micros { return monotime.FromDuration(time.Since(s.startedAt)) }

// finishReport completes the report and returns it.
func (s *sender) finishReport() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Close()
	return s.report
}

// closeIfDone closes allDone once all requests were started and each has an outcome. The caller holds s.mu.
func (s *sender) closeIfDone() {
	if s.sentAll && s.inFlight == 0 {
		select {
		case <-s.allDone:
		default:
			close(s.allDone)
		}
	}
}

// startRequest records a request and sends its first attempt, unless too many are in flight.
func (s *sender) startRequest(arrival simulation.Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.report.MaxLag = max(s.report.MaxLag, (now - arrival.At).Duration())
	s.report.RecordRequest(s.scenario, arrival.At, arrival.Operation, arrival.Tenant)
	if s.inFlight >= s.options.Bounds.InFlight {
		s.report.Unsent++
		s.report.RecordOutcome(
			s.scenario, now, arrival.Operation, arrival.Tenant, simulation.ThrottledByNode, 0, 0)
		return
	}
	s.inFlight++
	req := &Request{
		Arrival:     arrival,
		Due:         arrival.At + s.scenario.Operations[arrival.Operation].Timeout,
		LastBackend: noBackend,
	}
	s.after(req.Due-now, req, func() { s.endRequest(req, simulation.TimedOut) })
	s.sendAttempt(req)
}

// after calls f with s.mu locked once the delay has passed, unless the request is finished by then.
func (s *sender) after(delay monotime.Micros, req *Request, f func()) {
	time.AfterFunc(delay.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !req.Finished {
			f()
		}
	})
}

// closeConnections closes the sockets of all connections.
func (s *sender) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.close()
	}
}
