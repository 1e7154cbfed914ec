package fleet

import (
	"math"

	"milletbarrow/monotime"
)

// rejectionRate is the share of recent invocations that were rejected, over all instances of the host. Its counts decay
// exponentially.
type rejectionRate struct {
	at          monotime.Micros // when the counts were last decayed
	invocations float64         // decayed count
	rejected    float64         // decayed count; at most invocations
}

const (
	rejectionDecay = 2 * monotime.Second // time in which a count decays by a factor of e
	minInvocations = 20                  // below this decayed count the share is not known
)

// decay ages the counts to now.
func (r *rejectionRate) decay(now monotime.Micros) {
	if now <= r.at {
		return
	}
	kept := math.Exp(-float64(now-r.at) / float64(rejectionDecay))
	r.invocations *= kept
	r.rejected *= kept
	r.at = now
}

// add counts invocations and those of them that were rejected.
func (r *rejectionRate) add(now monotime.Micros, invocations, rejected int) {
	r.decay(now)
	r.invocations += float64(invocations)
	r.rejected += float64(rejected)
}

// share returns the share of rejections, 0 to 1. known is false while fewer than minInvocations are counted.
func (r *rejectionRate) share(now monotime.Micros) (share float64, known bool) {
	r.decay(now)
	if r.invocations < minInvocations {
		return 0, false
	}
	return min(1, r.rejected/r.invocations), true
}
