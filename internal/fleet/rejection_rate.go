package fleet

import "math"

// service is the share of invocations that were turned away of late, over all instances.
type rejectionRate struct {
	at                    Micros
	invocations, rejected float64
}

const (
	rejectionDecay = 2_000_000 // microseconds in which what was counted loses weight by e
	minInvocations = 20        // invocations; fewer say nothing
)

func (s *rejectionRate) decay(now Micros) {
	if now > s.at {
		keep := math.Exp(-float64(now-s.at) / rejectionDecay)
		s.invocations, s.rejected, s.at = s.invocations*keep, s.rejected*keep, now
	}
}

func (s *rejectionRate) add(now Micros, picked, turned int) {
	s.decay(now)
	s.invocations += float64(picked)
	s.rejected += float64(turned)
}

// turnedAway is the share; ok is false while too little was counted to say.
func (s *rejectionRate) share(now Micros) (share float64, ok bool) {
	if s.decay(now); s.invocations < minInvocations {
		return 0, false
	}
	return min(1, s.rejected/s.invocations), true
}
