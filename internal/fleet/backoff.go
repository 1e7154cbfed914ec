package fleet

import (
	"math/rand/v2"
	"slices"
)

// Backoff spaces attempts at one thing: the first at once, then after growing pauses with jitter, so that what
// failed together does not come back together.
type Backoff struct {
	Min, Max Micros // of the pause; it doubles from the first to the second
}

// Pause before attempt n (from 1; before the first there is none): half of it is certain, half is drawn.
func (b Backoff) Pause(n int, draw *rand.Rand) Micros {
	if n <= 1 {
		return 0
	}
	span := b.Min
	for ; n > 2 && span < b.Max; n-- {
		span *= 2
	}
	span = min(span, b.Max)
	return span/2 + Micros(draw.Int64N(int64(span/2)+1))
}

// LaunchBudget allows a number of attempts within a sliding window. It keeps an instance that fails at once from being
// launched for ever, and a crowd of such instances from taking the host from the others.
type LaunchBudget struct {
	MaxAttempts int      `json:"Most"`
	Window      Micros   `json:"Within"`
	Attempts    []Micros `json:"Spent"` // when; at most Most of them
}

// Take uses one attempt up, if there is one left.
func (b *LaunchBudget) Take(now Micros) bool {
	b.Attempts = slices.DeleteFunc(b.Attempts, func(at Micros) bool { return now-at >= b.Window })
	if len(b.Attempts) >= b.MaxAttempts {
		return false
	}
	b.Attempts = append(b.Attempts, now)
	return true
}

// RetryBudget bounds retries towards agents: a tenth of the first attempts on top of a few, so that a client of many
// agents does not multiply its calls when many are away. It is not for use by several goroutines at once.
type RetryBudget struct {
	attempts, retries int
}

// RecordAttempt counts a first attempt.
func (r *RetryBudget) RecordAttempt() { r.attempts++ }

// AllowRetry uses one retry up, if the budget allows one.
func (r *RetryBudget) AllowRetry() bool {
	const few, share = 20, 10
	if r.retries >= few+r.attempts/share {
		return false
	}
	r.retries++
	return true
}
