package fleet

import (
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Config holds the machine's limits and delays.
type Config struct {
	// KillDelay is the time from an instance's ExitTimeout until the agent itself kills the instance, and the unit of
	// the pause between two kills.
	KillDelay           monotime.Micros
	ResendBackoff       backoff.Policy // between attempts at an action that was not acknowledged
	RelaunchBackoff     backoff.Policy // after an incarnation that ended by itself
	MaxFinishedCommands int            // finished commands that are kept; the oldest are forgotten
	MaxOpenCommands     int            // commands that may be open at once; further ones are rejected
	JitterSeed          uint64         // seeds the jitter of all pauses
}

const (
	defaultKillDelay = 500 * time.Millisecond
	// Launching a process costs its host more than resending an action, so its pauses are longer.
	relaunchMinFactor = 2  // multiple of the shortest pause between resends
	relaunchMaxFactor = 10 // multiple of the longest pause between resends
)

// DefaultConfig returns the default configuration for an agent with the given bounds.
func DefaultConfig(bounds limits.Control, seed uint64) Config {
	return Config{
		KillDelay:     monotime.FromDuration(defaultKillDelay),
		ResendBackoff: backoff.Policy{Min: bounds.RetryBackoff, Max: bounds.RetryBackoffMax},
		RelaunchBackoff: backoff.Policy{
			Min: relaunchMinFactor * bounds.RetryBackoff,
			Max: relaunchMaxFactor * bounds.RetryBackoffMax,
		},
		MaxFinishedCommands: bounds.EndedCommands,
		MaxOpenCommands:     bounds.OpenCommands,
		JitterSeed:          seed,
	}
}
