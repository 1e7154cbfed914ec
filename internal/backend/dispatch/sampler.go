package dispatch

import (
	"time"

	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// sampler requests samples of the gauges for RunTicks.
type sampler struct {
	bounds  *limits.Bounds
	timer   *time.Timer
	done    <-chan struct{} // closed to end the ticks
	request func() bool     // requests a sample and reports whether one is expected
	samples <-chan []float64
}

// wait waits for a sample until the timeout. gauges is nil if no sample was received; stopped reports whether done was
// closed.
func (s *sampler) wait(timeout time.Duration, samples <-chan []float64) (gauges []float64, stopped bool) {
	s.timer.Reset(timeout)
	select {
	case <-s.timer.C:
	case gauges = <-samples:
	case <-s.done:
		stopped = true
	}
	return gauges, stopped
}

// sample requests a sample and returns it. If the sample does not arrive in time, it returns one that has arrived since
// the last tick, or nil.
func (s *sampler) sample() (gauges []float64, stopped bool) {
	select {
	case gauges = <-s.samples:
	default:
	}
	for requestedAt := Now(); s.request(); requestedAt = Now() {
		newer, stopped := s.wait(s.bounds.SampleTimeout, s.samples)
		if stopped {
			return nil, true
		}
		if Now()-requestedAt > monotime.FromDuration(s.bounds.StallThreshold) {
			continue // the process was suspended during the wait, so the sample is outdated
		}
		if newer != nil {
			gauges = newer
		}
		break
	}
	return gauges, false
}
