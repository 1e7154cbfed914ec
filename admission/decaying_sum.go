package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// arrivalWindow is the time constant of the counts of arrivals, retries and rejections.
	arrivalWindow = 4 * monotime.Second
	// recentWindow is the time constant of the recent statistics of runs, calls and tenants.
	recentWindow = 2 * monotime.Second
	// baselineWindow is the time constant of the baselines: operation costs, the arrival rate and deadlines.
	baselineWindow = 20 * monotime.Second
)

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum          float64
	timeConstant float64         // microseconds
	updatedAt    monotime.Micros // the time for which sum is valid
}

func newDecayingSum(timeConstant monotime.Micros) decayingSum {
	return decayingSum{timeConstant: float64(timeConstant)}
}

func newDecayingSums(count int, timeConstant monotime.Micros) []decayingSum {
	sums := make([]decayingSum, count)
	for i := range sums {
		sums[i] = newDecayingSum(timeConstant)
	}
	return sums
}

// read decays the sum to the given time and returns it.
func (d *decayingSum) read(now monotime.Micros) float64 {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / d.timeConstant)
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(now monotime.Micros, term float64) {
	d.sum = d.read(now) + term
}

// subtract removes a recently added term. The sum never falls below 0.
func (d *decayingSum) subtract(now monotime.Micros, term float64) {
	d.sum = max(0, d.read(now)-term)
}
