package degradation

import (
	"math"

	"milletbarrow/monotime"
)

// maxUpdateGap is the longest time between two updates across which smoothing continues and terms keep holding. A
// forward clock step is treated as a longer gap.
const maxUpdateGap = 2 * monotime.Second

// smooth applies exponential smoothing to the signals. A signal that was missing starts at its first value, and one
// that goes missing is missing at once. After a gap longer than maxUpdateGap, smoothing restarts and no term holds.
func (c *Controller) smooth(now monotime.Micros, signals Signals) {
	gap := now - c.lastUpdate
	first := c.lastUpdate == 0
	for i := range signals {
		timeConstant := float64(c.policy.Smoothing[i])
		switch {
		case math.IsNaN(signals[i]):
			c.smoothed[i] = Missing
		case math.IsNaN(c.smoothed[i]) || timeConstant == 0 || first || gap > maxUpdateGap:
			c.smoothed[i] = signals[i]
		default:
			c.smoothed[i] += (signals[i] - c.smoothed[i]) * (1 - math.Exp(-float64(gap)/timeConstant))
		}
	}
	if !first && gap > maxUpdateGap {
		c.resetTermTimes()
	}
	c.lastUpdate = now
}
