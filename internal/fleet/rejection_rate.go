package fleet

import (
	"math"

	"milletbarrow/monotime"
)

// rejectionRate is the share of invocations that were rejected of late, over all instancer. Older counts lose weight
// exponentially.
type rejectionRate struct {
	at                    monotime.Micros
	invocations, rejected float64
}

const (
	rejectionDecay = 2_000_000 // microseconds in which a count loses weight by a factor of e
	minInvocations = 20        // fewer give no share
)

// decay ages the counts to now.
func (r *rejectionRate) decay(now monotime.Micros) {
	if now > r.at {
		keep := math.Exp(-float64(now-r.at) / rejectionDecay)
		r.invocations, r.rejected, r.at = r.invocations*keep, r.rejected*keep, now
	}
}

// add counts invocations and those of them that were rejected.
func (r *rejectionRate) add(now monotime.Micros, invocations, rejected int) {
	r.decay(now)
	r.invocations += float64(invocations)
	r.rejected += float64(rejected)
}

// share is the share of rejections, 0 to 1; ok is false while too little was counted to tell.
func (r *rejectionRate) share(now monotime.Micros) (share float64, ok bool) {
	if r.decay(now); r.invocations < minInvocations {
		return 0, false
	}
	return min(1, r.rejected/r.invocations), true
}
