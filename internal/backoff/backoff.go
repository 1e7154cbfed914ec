// Package backoff computes the pauses between attempts. It only computes durations, from a source of randomness that
// the caller provides, and never sleeps. The pauses grow like those of github.com/cenkalti/backoff/v5.
//
// Callers apply jitter differently:
//
//   - The agent's actions and the calls to agents use Policy: half of the pause is fixed, half is random.
//   - A cold start uses Exponential without jitter for its pause after failures, as a single leader times it for all
//     hosts.
//   - Load reports use full jitter below an interval of Exponential, bounded by the time until the registry removes the
//     entry; see package registration/reportpacing.
package backoff

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Exponential is an interval that grows exponentially up to a maximum.
type Exponential struct {
	Initial    time.Duration // above 0
	Max        time.Duration // upper bound of the interval
	Multiplier float64       // above 1
}

// Interval returns the n-th interval, counted from 1. An n below 1 is treated as 1.
func (e Exponential) Interval(n int) time.Duration {
	growth := backoff.ExponentialBackOff{InitialInterval: e.Initial, Multiplier: e.Multiplier, MaxInterval: e.Max}
	interval := growth.NextBackOff()
	for ; n > 1 && interval != e.Max; n-- {
		interval = growth.NextBackOff()
	}
	return interval
}

// growthFactor is the factor by which the pauses of a Policy grow from attempt to attempt.
const growthFactor = 2

// jitterDivisor is the ratio of an interval to its random part: half of the interval is random.
const jitterDivisor = 2

// Policy determines the pauses between the attempts of one operation. There is no pause before the first attempt. The
// pauses before the others double and have jitter, so that operations that failed together are not retried together.
type Policy struct {
	Min time.Duration // first pause before jitter; whole microseconds
	Max time.Duration // longest pause before jitter; whole microseconds
}

// Pause returns the pause before an attempt, counted from 1. It is 0 before the first attempt, and otherwise random
// between half of the interval and the whole interval, in whole microseconds.
func (p Policy) Pause(attempt int, random *rand.Rand) time.Duration {
	if attempt <= 1 {
		return 0
	}
	growth := Exponential{Initial: min(p.Min, p.Max), Max: p.Max, Multiplier: growthFactor}
	half := growth.Interval(attempt-1).Microseconds() / jitterDivisor
	return time.Duration(half+random.Int64N(half+1)) * time.Microsecond
}
