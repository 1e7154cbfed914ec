package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// retryWindow is the recent past over which shares of arrivals, as of retries, are taken.
	retryWindow = 4 * monotime.Second
	// recentWindow is the recent past of runs, calls and tenants.
	recentWindow = 2 * monotime.Second
	// learningWindow is the past over which an operation's cost is learnt.
	learningWindow = 20 * monotime.Second
)

// decayingSum is a sum whose terms decay exponentially with their age.
type decayingSum struct {
	sum          float64
	timeConstant float64         // microseconds
	updatedAt    monotime.Micros // time of sum
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

// read returns the sum at a time.
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

// subtract takes a term back that was added not long ago. The sum stays at least 0.
func (d *decayingSum) subtract(now monotime.Micros, term float64) {
	d.sum = max(0, d.read(now)-term)
}
