package loadgen

import (
	"context"
	"net"
	"time"

	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
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
