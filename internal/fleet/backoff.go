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

// Budget allows so many attempts within a span that moves along. It guards against a thing that fails at once,
// for ever, being tried for ever; and against a crowd of such things taking the machine from the others.
type LaunchBudget struct {
	MaxAttempts int      `json:"Most"`
	Window      Micros   `json:"Within"`
	Attempts    []Micros `json:"Spent"` // when; at most Most of them
}

// Take spends one attempt if there is one left.
func (b *LaunchBudget) Take(now Micros) bool {
	b.Attempts = slices.DeleteFunc(b.Attempts, func(at Micros) bool { return now-at >= b.Window })
	if len(b.Attempts) >= b.MaxAttempts {
		return false
	}
	b.Attempts = append(b.Attempts, now)
	return true
}

// RetryShare is the budget of further tries towards agents: a tenth of the first tries on top of a few, so that a
// tool that manages many does not multiply its calls when many are away. It is kept in the one place that calls.
type RetryBudget struct {
	attempts, retries int
}

// First counts a first try.
func (r *RetryBudget) RecordAttempt() { r.attempts++ }

// Again takes a further try if the budget allows one.
func (r *RetryBudget) AllowRetry() bool {
	const few, share = 20, 10
	if r.retries >= few+r.attempts/share {
		return false
	}
	r.retries++
	return true
}
