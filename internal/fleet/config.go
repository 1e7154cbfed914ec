package fleet

import (
	"milletbarrow/internal/backoff"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Config holds the machine's own limits and pauses.
type Config struct {
	KillDelay           monotime.Micros // after ExitTimeout until the agent itself kills an instance; also the unit of the pause between kills
	ResendBackoff       backoff.Policy  // of an action that was not taken
	RelaunchBackoff     backoff.Policy  // after an incarnation that ended by itself
	MaxFinishedCommands int             // finished commands that are remembered
	MaxOpenCommands     int             // commands that may be open at once
	JitterSeed          uint64          // seeds the jitter of all pauses
}

// DefaultConfig is the configuration of an agent under bounds b.
func DefaultConfig(b limits.Control, seed uint64) Config {
	return Config{
		KillDelay: monotime.FromDuration(500_000_000), MaxFinishedCommands: b.EndedCommands, MaxOpenCommands: b.OpenCommands, JitterSeed: seed,
		ResendBackoff:   backoff.Policy{Min: b.RetryBackoff, Max: b.RetryBackoffMax},
		RelaunchBackoff: backoff.Policy{Min: 2 * b.RetryBackoff, Max: 10 * b.RetryBackoffMax},
	}
}
