package fleet

import (
	"math/rand/v2"
	"slices"
)

// Backoff spaces attempts at one thing: the first at once, then after growing pauses with jitter, so that what
// failed together does not come back together.
type Backoff struct {
	Least, Most Micros // of the pause; it doubles from the first to the second
}

// Pause before attempt n (from 1; before the first there is none): half of it is certain, half is drawn.
func (b Backoff) Pause(n int, draw *rand.Rand) Micros {
	if n <= 1 {
		return 0
	}
	span := b.Least
	for ; n > 2 && span < b.Most; n-- {
		span *= 2
	}
	span = min(span, b.Most)
	return span/2 + Micros(draw.Int64N(int64(span/2)+1))
}

// Budget allows so many attempts within a span that moves along. It guards against a thing that fails at once,
// for ever, being tried for ever; and against a crowd of such things taking the machine from the others.
type Budget struct {
	Most   int
	Within Micros
	Spent  []Micros // when; at most Most of them
}

// Take spends one attempt if there is one left.
func (b *Budget) Take(now Micros) bool {
	b.Spent = slices.DeleteFunc(b.Spent, func(at Micros) bool { return now-at >= b.Within })
	if len(b.Spent) >= b.Most {
		return false
	}
	b.Spent = append(b.Spent, now)
	return true
}

// RetryShare is the budget of further tries towards agents: a tenth of the first tries on top of a few, so that a
// tool that manages many does not multiply its calls when many are away. It is kept in the one place that calls.
type RetryShare struct {
	first, again int
}

// First counts a first try.
func (r *RetryShare) First() { r.first++ }

// Again takes a further try if the budget allows one.
func (r *RetryShare) Again() bool {
	const few, share = 20, 10
	if r.again >= few+r.first/share {
		return false
	}
	r.again++
	return true
}
