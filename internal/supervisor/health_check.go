package supervisor

import (
	"context"
	"time"

	"milletbarrow/internal/process"
)

// healthChecks runs health checks, one at a time. Each runs in its own goroutine, which ends within
// limits.Control.IdlePollInterval, so that an unresponsive instance does not block the main loop.
type healthChecks struct {
	results   chan Observation // has capacity 1, so that the goroutine never blocks
	running   bool
	startedAt time.Time // start of the latest check; zero: none yet
}

// start starts a health check, unless one is running or the latest one started less than interval ago.
func (h *healthChecks) start(ctx context.Context, s *supervisor, interval time.Duration) {
	if h.running || time.Since(h.startedAt) < interval {
		return
	}
	h.running = true
	h.startedAt = time.Now()
	go func() { h.results <- s.checkHealth(ctx) }()
}

// checkHealth requests the instance's state. An instance that does not respond yields an Observation without a state.
func (s *supervisor) checkHealth(ctx context.Context) Observation {
	ctx, cancel := context.WithTimeout(ctx, s.options.Bounds.IdlePollInterval)
	defer cancel()
	requestedAt := process.Now()
	state, err := s.instance.State(ctx)
	if err != nil {
		return Observation{RequestedAt: requestedAt}
	}
	return Observation{RequestedAt: requestedAt, State: &state}
}

// observe passes the outcome of a health check to the monitor, and keeps the state for reports.
func (s *supervisor) observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Observe(process.Now(), o)
	if o.State == nil {
		return
	}
	s.lastState = o.State
	known := s.record
	if o.State.ExitTimeout != 0 {
		known.Window = s.monitor.Window
	}
	known.Acknowledged = s.monitor.Acknowledged
	if known != s.record {
		s.record = known
		_ = s.writeRecord() // the error is logged; the monitor knows both until this process ends
	}
}
