package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// formerPause is the rule in microseconds that fleet and agentapi had before they shared this package.
func formerPause(least, most int64, n int, random *rand.Rand) int64 {
	if n <= 1 {
		return 0
	}
	span := least
	for ; n > 2 && span < most; n-- {
		span *= 2
	}
	span = min(span, most)
	return span/2 + random.Int64N(span/2+1)
}

// TestPauseIsUnchanged: the agent's actions and the calls to agents pause as they did, draw for draw.
func TestPauseIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.Int64Range(1, 10_000_000).Draw(t, "min")
		most := rapid.Int64Range(1, 100_000_000).Draw(t, "max")
		seed := rapid.Uint64().Draw(t, "seed")
		was, is := seeded(seed), seeded(seed)
		p := Policy{Min: time.Duration(least) * time.Microsecond, Max: time.Duration(most) * time.Microsecond}
		for n := range 60 {
			want := time.Duration(formerPause(least, most, n, was)) * time.Microsecond
			if got := p.Pause(n, is); got != want {
				t.Fatalf("%+v: %v before attempt %d, %v before", p, got, n, want)
			}
		}
	})
}

// TestPauseBounds: pauses grow, have jitter and an end.
func TestPauseBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Min: time.Duration(rapid.IntRange(2, 1000).Draw(t, "min")) * time.Microsecond}
		p.Max = p.Min * time.Duration(rapid.IntRange(1, 100).Draw(t, "max"))
		n := rapid.IntRange(0, 80).Draw(t, "n")
		pause := p.Pause(n, seeded(rapid.Uint64().Draw(t, "seed")))
		if n <= 1 && pause != 0 || n > 1 && (pause < p.Min/2/time.Microsecond*time.Microsecond || pause > p.Max) {
			t.Fatalf("%v before attempt %d of %+v", pause, n, p)
		}
	})
}

// TestRetryBudget: a thousand attempts allow a hundred and twenty retries.
func TestRetryBudget(t *testing.T) {
	var budget RetryBudget
	retries := 0
	for range 1000 {
		budget.RecordAttempt()
		for range 200 { // more than the budget ever allows
			if budget.AllowRetry() {
				retries++
			}
		}
	}
	if retries != freeRetries+1000/attemptsPerRetry {
		t.Fatalf("%d retries of 1000 attempts", retries)
	}
}
