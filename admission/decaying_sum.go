package admission

import (
	"math"

	"milletbarrow/monotime"
)

// decayingSum is a sum that decays exponentially with a time constant.
type decayingSum struct {
	sum, window float64         // window: the time constant
	at          monotime.Micros // of the sum
}

func over(window monotime.Micros) decayingSum { return decayingSum{window: float64(window)} }

func (d *decayingSum) read(now monotime.Micros) float64 {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / d.window)
		d.at = now
	}
	return d.sum
}

func (d *decayingSum) add(now monotime.Micros, x float64) { d.sum = d.read(now) + x }

func (d *decayingSum) subtract(now monotime.Micros, x float64) { d.sum = max(0, d.read(now)-x) }
