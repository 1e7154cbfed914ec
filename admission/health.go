package admission

import "milletbarrow/monotime"

const (
	// A backend whose cores are full is stuck after minStuckTime, or stuckRuns usual runs if that is longer, without
	// progress,
	minStuckTime = 2 * monotime.Second
	stuckRuns    = 8
	// if it also reads requests at less than stuckReadRate of its usual rate.
	stuckReadRate = 0.5
	// unhealthyTime is how long a backend that was stuck stays unhealthy.
	unhealthyTime = 3 * monotime.Second
	// minEndedRuns bounds the mean duration of a run while hardly any has ended.
	minEndedRuns = 0.01
)

// healthState is how health checks are answered, and what that rests on.
type healthState struct {
	good           bool
	lastProgressAt monotime.Micros // when a run last succeeded or a request was last read in time
	lastLateReadAt monotime.Micros // when a request was last read late
	unhealthyUntil monotime.Micros
}

// checkHealth fails health checks while the backend drains or was stuck of late. Being slow to find it stuck is meant:
// each backend that leaves the endpoint list sends its load to the others, until all are unhealthy.
func (b *Backend) checkHealth(now monotime.Micros, out []Action) []Action {
	if b.isStuck(now) {
		b.health.unhealthyUntil = now + unhealthyTime
	}
	good := now >= b.health.unhealthyUntil && !b.draining()
	if good == b.health.good {
		return out
	}
	b.health.good = good
	return append(out, SetHealth{Good: good, FromStore: true})
}

// isStuck reports whether full cores have made no progress for long, while requests are read late and few of them. An
// overload that makes progress, or has the backend read more than usual, is not a fault of this backend.
func (b *Backend) isStuck(now monotime.Micros) bool {
	usualRun := b.runs.expected.read(now) / max(b.runs.ended.read(now), minEndedRuns)
	readRate := b.arrivals.recent.read(now) / float64(retryWindow)
	usualReadRate := b.arrivals.usual.read(now) / float64(learningWindow)
	stuckTime := max(minStuckTime, monotime.Micros(stuckRuns*usualRun))
	return b.coresFull() &&
		b.health.lastLateReadAt > b.health.lastProgressAt &&
		readRate < stuckReadRate*usualReadRate &&
		now > b.health.lastProgressAt+stuckTime
}
