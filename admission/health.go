package admission

import "milletbarrow/monotime"

// checkHealth: a backend whose full cores have for long ended no run, and read little, and that late, is not
// healthy. It acts late on purpose: an overload that makes progress is no fault, nor is one that has it read
// more. Each backend that leaves the endpoint list sends its load to the next, until all are unhealthy.
func (b *Backend) checkHealth(now monotime.Micros, out []Action) []Action {
	f := &b.feedback
	usualRun := b.runs.expected.read(now) / max(b.runs.ended.read(now), 0.01)
	reads, usual := b.arrivals.recent.read(now)/retryWindow, b.arrivals.usual.read(now)/learningTime
	if b.coresFull() && f.lastLate > f.lastProgress && reads < stuckReads*usual &&
		now > f.lastProgress+max(stuckAfter, monotime.Micros(stuckAfterRuns*usualRun)) {
		f.unhealthyUntil = now + unhealthyFor
	}
	if good := now >= f.unhealthyUntil && b.drainAt == never; good != f.healthy {
		f.healthy = good
		out = append(out, SetHealth{Good: good, FromStore: true})
	}
	return out
}
