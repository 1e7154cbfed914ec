package fleet

import (
	"slices"

	"milletbarrow/monotime"
)

// LaunchBudget allows a number of launches within a sliding window. It keeps an instance that fails at once from being
// launched indefinitely, and many such instances from starving the other instances of the host.
type LaunchBudget struct {
	MaxAttempts int               `json:"Most"`   // launches allowed within Window; may be 0
	Window      monotime.Micros   `json:"Within"` // length of the sliding window
	Attempts    []monotime.Micros `json:"Spent"`  // times of the launches within Window, at most MaxAttempts
}

// Take uses one launch of the budget and reports whether one was left.
func (b *LaunchBudget) Take(now monotime.Micros) bool {
	b.Attempts = slices.DeleteFunc(b.Attempts, func(at monotime.Micros) bool { return now-at >= b.Window })
	if len(b.Attempts) >= b.MaxAttempts {
		return false
	}
	b.Attempts = append(b.Attempts, now)
	return true
}
