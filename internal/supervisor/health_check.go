package supervisor

import (
	"context"
	"time"

	"milletbarrow/internal/process"
)

// healthChecks runs one health check at a time, each in a goroutine of its own, which ends within
// Bounds.IdlePollInterval: an unresponsive instance must not block the main loop.
type healthChecks struct {
	results   chan Observation // has room for one, so that the goroutine never blocks
	running   bool
	startedAt time.Time // the latest check; zero: none yet
}

// start starts a health check unless one is running or the latest one was started less than interval ago.
func (h *healthChecks) start(ctx context.Context, s *supervisor, interval time.Duration) {
	if h.running || time.Since(h.startedAt) < interval {
		return
	}
	h.running = true
	h.startedAt = time.Now()
	go func() { h.results <- s.checkHealth(ctx) }()
}

// checkHealth asks the instance for its state.
func (s *supervisor) checkHealth(ctx context.Context) Observation {
	ctx, cancel := context.WithTimeout(ctx, s.options.Bounds.IdlePollInterval)
	defer cancel()
	state, err := s.instance.State(ctx)
	if err != nil {
		return Observation{}
	}
	return Observation{State: &state}
}

// observe gives the monitor the outcome of a health check.
func (s *supervisor) observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Observe(process.Now(), o)
	if o.State != nil {
		s.lastState = o.State
	}
}
