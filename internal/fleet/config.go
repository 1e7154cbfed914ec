package fleet

import "milletbarrow/internal/limits"

// Terms are the machine's own times and pauses.
type Config struct {
	KillDelay           Micros  // beyond an instance's stop before the agent itself kills it; also between two such kills
	ResendBackoff       Backoff // of a step that was not taken
	RelaunchBackoff     Backoff // after a life that ended by itself
	MaxFinishedCommands int     // ended ones that are kept
	MaxOpenCommands     int     // that may be open
	JitterSeed          uint64  // of the jitter
}

// DefaultTerms are the terms of an agent.
func DefaultConfig(b limits.Control, seed uint64) Config {
	return Config{
		KillDelay: micros(500_000_000), MaxFinishedCommands: b.Commands, MaxOpenCommands: b.Open, JitterSeed: seed,
		ResendBackoff:   Backoff{micros(b.Again), micros(b.AgainMax)},
		RelaunchBackoff: Backoff{micros(2 * b.Again), micros(10 * b.AgainMax)},
	}
}
