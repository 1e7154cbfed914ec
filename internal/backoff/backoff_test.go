package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seeded returns a source of random numbers with the given seed.
func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// formerPause returns the pause in microseconds by the rule that fleet and agentapi used before this package.
func formerPause(shortest, longest int64, attempt int, random *rand.Rand) int64 {
	if attempt <= 1 {
		return 0
	}
	interval := shortest
	for ; attempt > 2 && interval < longest; attempt-- {
		interval *= 2
	}
	interval = min(interval, longest)
	return interval/2 + random.Int64N(interval/2+1)
}

// TestPauseMatchesFormerRule checks that with the same random numbers, each pause equals that of the former rule.
func TestPauseMatchesFormerRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shortest := rapid.Int64Range(1, 10_000_000).Draw(t, "min")
		longest := rapid.Int64Range(1, 100_000_000).Draw(t, "max")
		seed := rapid.Uint64().Draw(t, "seed")
		formerRandom := seeded(seed)
		random := seeded(seed)
		policy := Policy{
			Min: time.Duration(shortest) * time.Microsecond,
			Max: time.Duration(longest) * time.Microsecond,
		}
		for attempt := range 60 {
			want := time.Duration(formerPause(shortest, longest, attempt, formerRandom)) * time.Microsecond
			if got := policy.Pause(attempt, random); got != want {
				t.Fatalf("%+v: %v before attempt %d, want %v", policy, got, attempt, want)
			}
		}
	})
}

// TestPauseIsBetweenHalfMinAndMax checks that there is no pause before the first attempt, and that all others are
// between half of Min and Max.
func TestPauseIsBetweenHalfMinAndMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Min: time.Duration(rapid.IntRange(2, 1000).Draw(t, "min")) * time.Microsecond}
		policy.Max = policy.Min * time.Duration(rapid.IntRange(1, 100).Draw(t, "max"))
		attempt := rapid.IntRange(0, 80).Draw(t, "attempt")
		pause := policy.Pause(attempt, seeded(rapid.Uint64().Draw(t, "seed")))
		if attempt <= 1 {
			if pause != 0 {
				t.Fatalf("%v before attempt %d of %+v, want 0", pause, attempt, policy)
			}
			return
		}
		shortest := (policy.Min / 2).Truncate(time.Microsecond)
		if pause < shortest || pause > policy.Max {
			t.Fatalf("%v before attempt %d, want %v to %v", pause, attempt, shortest, policy.Max)
		}
	})
}

// TestRetryBudgetIsShareOfAttempts checks that 1000 attempts allow the free retries and 100 more.
func TestRetryBudgetIsShareOfAttempts(t *testing.T) {
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
	if want := freeRetries + 1000/attemptsPerRetry; retries != want {
		t.Fatalf("%d retries of 1000 attempts, want %d", retries, want)
	}
}
