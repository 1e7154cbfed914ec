// Package loadgen is an open-loop load generator. It sends the requests of a scenario over sockets to backends on this
// machine, with the retries and backoff of the simulation's edge nodes, and records the same metrics as the simulation.
// The decisions of a node are in retry.go, which does no I/O and reads no clock. sender.go follows the schedule,
// attempt.go sends attempts and handles their outcomes, and connection.go owns the sockets.
package loadgen

import (
	"context"
	"net"
	"time"

	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
)

// Options configures one load.
type Options struct {
	Scenario   *simulation.Scenario
	Seed       uint64   // seeds the arrivals and the backoff
	Backends   []string // host:port on loopback
	Bounds     limits.Load
	OnSnapshot func(Snapshot) // called every second; may be nil
}

// Snapshot is the state of a load while it runs.
type Snapshot struct {
	At          time.Duration // since the start of the load, in whole seconds
	Requests    int           // since the start of the load
	InFlight    int           // requests without an outcome
	Value       float64       // share of the offered value that was billed so far
	LastSecond  simulation.SecondStats
	Connections int           // open, or being opened
	Lag         time.Duration // largest delay of a request behind its scheduled time
	PerSecond   float64       // requests since the previous snapshot
}

// Report is the result of a load.
type Report struct {
	*simulation.Result
	DuplicateAnswers int           `json:"doubles"` // further answers to an answered attempt
	UnknownResults   int           `json:"strange"` // successes with the body of another attempt
	Unsent           int           `json:"unsent"`  // requests rejected at Bounds.InFlight
	MaxLag           time.Duration `json:"late_ns"` // largest delay of a request behind its scheduled time
}

// Run sends the scenario's requests to the backends, whose addresses must be on loopback (else the error is an
// *AddressError). Latency counts from a request's scheduled time, not from when it was sent: a stall of the sender or
// of a backend adds to the latency of each request that waited meanwhile. If ctx ends, Run returns the report so far
// and the error of ctx.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	s := newSender(ctx, options)
	defer s.closeConnections()
	stop := make(chan struct{})
	go s.reportProgress(stop)
	defer close(stop)
	err := s.sendArrivals(ctx)
	return s.finishReport(), err
}

// check returns an error if the scenario is invalid, no backend is given, or an address is not on loopback.
func (o *Options) check() error {
	if err := o.Scenario.Check(); err != nil {
		return err
	}
	if len(o.Backends) == 0 {
		return ErrNoBackend
	}
	for _, address := range o.Backends {
		host, _, err := net.SplitHostPort(address)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return &AddressError{Address: address}
		}
	}
	return nil
}
