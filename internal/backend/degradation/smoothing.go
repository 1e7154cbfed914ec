package degradation

import (
	"math"

	"milletbarrow/monotime"
)

// maxGap is the longest time between two updates that smoothing and term times bridge. A clock that jumps ahead looks
// like a longer gap.
const maxGap = 2 * monotime.Second

// smooth updates the smoothed signals. A signal that was missing starts from its first value; a signal that goes
// missing is missing at once. After a gap, smoothing and the times of terms start anew.
func (c *Controller) smooth(now monotime.Micros, signals Signals) {
	gap := now - c.lastUpdate
	first := c.lastUpdate == 0
	for i := range signals {
		timeConstant := float64(c.policy.Smoothing[i])
		switch {
		case math.IsNaN(signals[i]):
			c.smoothed[i] = Missing
		case math.IsNaN(c.smoothed[i]) || timeConstant == 0 || first || gap > maxGap:
			c.smoothed[i] = signals[i]
		default:
			c.smoothed[i] += (signals[i] - c.smoothed[i]) * (1 - math.Exp(-float64(gap)/timeConstant))
		}
	}
	if !first && gap > maxGap {
		c.clearTerms()
	}
	c.lastUpdate = now
}
