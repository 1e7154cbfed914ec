package fleet

import (
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Config holds the machine's own limits and pauses.
type Config struct {
	// KillDelay is the time after an instance's ExitTimeout until the agent itself kills it, and the unit of the
	// pause between two kills.
	KillDelay           monotime.Micros
	ResendBackoff       backoff.Policy // between attempts at an action that was not taken
	RelaunchBackoff     backoff.Policy // after an incarnation that ended by itself
	MaxFinishedCommands int            // finished commands that are remembered; the oldest are forgotten
	MaxOpenCommands     int            // commands that may be open at once; a further one is rejected
	JitterSeed          uint64         // seeds the jitter of all pauses
}

const (
	defaultKillDelay = 500 * time.Millisecond
	// The launch of a process costs its host more than the resend of an action.
	relaunchMinFactor = 2  // of the pauses between resends
	relaunchMaxFactor = 10 // of the longest pause between resends
)

// DefaultConfig returns the configuration of an agent with the given bounds.
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
