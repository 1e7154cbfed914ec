package supervisor

import (
	"context"
	"time"

	"milletbarrow/internal/process"
)

// healthChecks starts one health check at a time, each in a goroutine of its own, which ends within PollRest: an
// unresponsive instance must not hold the main loop up.
type healthChecks struct {
	results   chan Observation // holds one: the goroutine's send never blocks
	running   bool
	startedAt time.Time
}

func (h *healthChecks) start(s *supervisor, interval time.Duration) {
	if h.running || time.Since(h.startedAt) < interval {
		return
	}
	h.running, h.startedAt = true, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Bounds.IdlePollInterval)
		defer cancel()
		state, err := s.instance.State(ctx)
		if err != nil {
			h.results <- Observation{}
			return
		}
		h.results <- Observation{&state}
	}()
}

func (s *supervisor) observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Observe(process.Now(), o)
	if o.State != nil {
		s.lastState = o.State
	}
}
