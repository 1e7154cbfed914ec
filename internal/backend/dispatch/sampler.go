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
	done    <-chan struct{} // closed when the ticks are to end
	request func() bool     // requests a sample and reports whether one is expected
	samples <-chan []float64
}

// wait waits for a sample at most for timeout; gauges is nil if none came. stopped reports whether done was closed.
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

// sample requests a sample and returns it. If none comes in time it returns one that came since the last tick, or nil.
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
			continue // the process was suspended while it waited: the sample is out of date
		}
		if newer != nil {
			gauges = newer
		}
		break
	}
	return gauges, false
}
