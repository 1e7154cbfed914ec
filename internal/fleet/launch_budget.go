package fleet

import (
	"slices"

	"milletbarrow/monotime"
)

// LaunchBudget allows a number of attempts within a sliding window. It keeps an instance that fails at once from being
// launched for ever, and a crowd of such instances from taking the host from the others.
type LaunchBudget struct {
	MaxAttempts int               `json:"Most"`
	Window      monotime.Micros   `json:"Within"`
	Attempts    []monotime.Micros `json:"Spent"` // when; at most Most of them
}

// Take uses one attempt up, if there is one left.
func (b *LaunchBudget) Take(now monotime.Micros) bool {
	b.Attempts = slices.DeleteFunc(b.Attempts, func(at monotime.Micros) bool { return now-at >= b.Window })
	if len(b.Attempts) >= b.MaxAttempts {
		return false
	}
	b.Attempts = append(b.Attempts, now)
	return true
}
