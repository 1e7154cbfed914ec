package fleet

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestLaunchBudget checks that a budget never allows more than MaxAttempts launches within its window.
func TestLaunchBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 100
		budget := LaunchBudget{MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"), Window: window}
		now := monotime.Micros(0)
		var taken []monotime.Micros
		for range 50 {
			now += monotime.Micros(rapid.IntRange(0, 60).Draw(t, "step"))
			if budget.Take(now) {
				taken = append(taken, now)
			}
			withinWindow := 0
			for _, at := range taken {
				if now-at < window {
					withinWindow++
				}
			}
			if withinWindow > budget.MaxAttempts {
				t.Fatalf("%d launches within the window, at most %d may be", withinWindow, budget.MaxAttempts)
			}
		}
	})
}
