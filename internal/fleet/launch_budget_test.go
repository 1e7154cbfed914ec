package fleet

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestLaunchBudget: attempts within the window are bounded.
func TestLaunchBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := LaunchBudget{MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"), Window: 100}, monotime.Micros(0)
		var taken []monotime.Micros
		for range 50 {
			now += monotime.Micros(rapid.IntRange(0, 60).Draw(t, "step"))
			if budget.Take(now) {
				taken = append(taken, now)
			}
			if inst := len(slices.DeleteFunc(slices.Clone(taken), func(at monotime.Micros) bool { return now-at >= 100 })); inst > budget.MaxAttempts {
				t.Fatalf("%d taken within the window, at most %d", inst, budget.MaxAttempts)
			}
		}
	})
}
