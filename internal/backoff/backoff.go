// Package backoff computes the pauses between attempts. It is pure: randomness goes in, a duration comes out, and nobody
// sleeps here. The growth of the pauses is that of github.com/cenkalti/backoff/v5.
//
// Callers differ in what they do with a grown interval, and keep that difference. The agent's actions and the calls to
// agents use Policy: half of the pause is certain, half is drawn. A cold start that has failed takes the interval of
// Exponential without jitter, as one leader counts it for all hosts. Load reports draw below an interval of Exponential
// and bound it by the time that is left until the registry drops the entry; that rule is in registration/reportpacing.
package backoff

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Exponential is an interval that grows by a factor up to a bound.
type Exponential struct {
	Initial    time.Duration // above 0
	Max        time.Duration // the bound
	Multiplier float64       // above 1
}

// Interval is the n-th interval, counted from 1; a smaller n counts as 1.
func (e Exponential) Interval(n int) time.Duration {
	growth := backoff.ExponentialBackOff{InitialInterval: e.Initial, Multiplier: e.Multiplier, MaxInterval: e.Max}
	interval := growth.NextBackOff()
	for ; n > 1 && interval != e.Max; n-- {
		interval = growth.NextBackOff()
	}
	return interval
}

// Policy spaces the attempts of one operation: the first is made at once, the others after pauses that double and have
// jitter, so that what failed together does not come back together.
type Policy struct {
	Min, Max time.Duration // of the pause before jitter; whole microseconds
}

// Pause is the time before an attempt, counted from 1: none before the first, then between half of the interval and all
// of it, in whole microseconds.
func (p Policy) Pause(attempt int, random *rand.Rand) time.Duration {
	if attempt <= 1 {
		return 0
	}
	interval := Exponential{Initial: min(p.Min, p.Max), Max: p.Max, Multiplier: 2}.Interval(attempt - 1)
	half := interval.Microseconds() / 2
	return time.Duration(half+random.Int64N(half+1)) * time.Microsecond
}
