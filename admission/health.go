package admission

import "milletbarrow/monotime"

const (
	// A backend with full cores counts as stuck if it has made no progress for minStuckDuration, or for
	// stuckRunDurations times the mean run duration if that is longer, and reads requests at less than
	// stuckReadRateShare of its baseline rate.
	minStuckDuration   = 2 * monotime.Second
	stuckRunDurations  = 8
	stuckReadRateShare = 0.5
	// unhealthyDuration is how long a backend stays unhealthy after it was stuck.
	unhealthyDuration = 3 * monotime.Second
	// minEndedRuns avoids division by zero in the mean run duration while hardly any run has ended.
	minEndedRuns = 0.01
)

// healthState is the health status and the measurements that determine it.
type healthState struct {
	healthy        bool
	lastProgressAt monotime.Micros // when a run last succeeded or a request was last read in time
	lastLateReadAt monotime.Micros // when a request was last read late
	unhealthyUntil monotime.Micros
}

// checkHealth fails health checks while the backend drains or was recently stuck. Detection is slow on purpose: each
// backend that leaves the endpoint list shifts its load to the others, until all of them are unhealthy.
func (b *Backend) checkHealth(now monotime.Micros, out []Action) []Action {
	if b.isStuck(now) {
		b.health.unhealthyUntil = now + unhealthyDuration
	}
	healthy := now >= b.health.unhealthyUntil && !b.draining()
	if healthy == b.health.healthy {
		return out
	}
	b.health.healthy = healthy
	return append(out, SetHealth{Good: healthy, FromStore: true})
}

// isStuck reports whether full cores have made no progress for too long while requests are read late and at a low rate.
// An overload during which the backend makes progress or maintains its read rate is not a fault of the backend.
func (b *Backend) isStuck(now monotime.Micros) bool {
	meanRun := b.runs.expectedCoreTime.read(now) / max(b.runs.ended.read(now), minEndedRuns)
	readRate := b.arrivals.recent.read(now) / float64(arrivalWindow)
	baselineReadRate := b.arrivals.baseline.read(now) / float64(baselineWindow)
	stuckDuration := max(minStuckDuration, monotime.Micros(stuckRunDurations*meanRun))
	return b.coresFull() &&
		b.health.lastLateReadAt > b.health.lastProgressAt &&
		readRate < stuckReadRateShare*baselineReadRate &&
		now > b.health.lastProgressAt+stuckDuration
}
