// Package backoff computes the pauses between attempts. It is pure: randomness goes in, a duration comes out, and
// nothing sleeps here. The pauses grow as those of github.com/cenkalti/backoff/v5.
//
// Callers use a grown interval differently:
//
//   - The agent's actions and the calls to agents use Policy: half of the pause is fixed, half is random.
//   - A cold start uses Exponential without jitter for its pause after failures, as one leader counts it for all hosts.
//   - Load reports draw below an interval of Exponential and bound it by the time until the registry drops the entry;
//     package registration/reportpacing does that.
package backoff

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Exponential is an interval that grows by a factor up to a maximum.
type Exponential struct {
	Initial    time.Duration // above 0
	Max        time.Duration // bounds the interval
	Multiplier float64       // above 1
}

// Interval returns the n-th interval, counted from 1. A smaller n counts as 1.
func (e Exponential) Interval(n int) time.Duration {
	growth := backoff.ExponentialBackOff{InitialInterval: e.Initial, Multiplier: e.Multiplier, MaxInterval: e.Max}
	interval := growth.NextBackOff()
	for ; n > 1 && interval != e.Max; n-- {
		interval = growth.NextBackOff()
	}
	return interval
}

// growthFactor is the factor by which the pauses of a Policy grow.
const growthFactor = 2

// jitterDivisor is the part of an interval that is random: one half.
const jitterDivisor = 2

// Policy spaces the attempts of one operation. The first attempt has no pause; the pauses before the others double and
// have jitter, so that operations that failed together are not repeated together.
type Policy struct {
	Min time.Duration // before jitter, of the first pause; whole microseconds
	Max time.Duration // before jitter, of the longest pause; whole microseconds
}

// Pause returns the pause before an attempt, counted from 1. It is 0 before the first attempt; else it is drawn between
// half of the interval and all of it, in whole microseconds.
func (p Policy) Pause(attempt int, random *rand.Rand) time.Duration {
	if attempt <= 1 {
		return 0
	}
	growth := Exponential{Initial: min(p.Min, p.Max), Max: p.Max, Multiplier: growthFactor}
	half := growth.Interval(attempt-1).Microseconds() / jitterDivisor
	return time.Duration(half+random.Int64N(half+1)) * time.Microsecond
}
