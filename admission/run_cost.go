package admission

import "milletbarrow/monotime"

// runStats compares the core time of runs with what was expected.
type runStats struct {
	clock           float64     // core time that one run among those present has had since the start
	coreTime        decayingSum // of all runs, ended or not
	expected, ended decayingSum // expected core time of the runs that ended, and their number
	unfinished      float64     // core time of those that have not ended, up to the expected
}

// runCost learns the core time of an operation for each unit of expected work, and has its queue.
type runCost struct {
	coreTime, units    decayingSum
	queue              []*invocation // in order of arrival
	queuedUnits        float64
	minUnits, maxUnits float64 // of an invocation, since the queue was last empty
}

func (c *runCost) perUnit(now monotime.Micros) float64 {
	return c.coreTime.read(now) / c.units.read(now)
}

// slowdown is how many times more core time runs take of late than they did, those not ended included.
func (b *Backend) slowdown(now monotime.Micros) float64 {
	prior := slowdownPrior * float64(b.config.Cores)
	expected := b.runs.expected.read(now)
	if b.count(waiting) <= 1 { // no queue: what runs is not late yet
		expected += b.runs.unfinished
	}
	return max(1, (b.runs.coreTime.read(now)+prior)/(expected+prior))
}

// expectedCost is the core time that a run is expected to need here as things are.
func (b *Backend) expectedCost(now monotime.Micros, inv *invocation) float64 {
	return inv.units * inv.cost.perUnit(now) * b.slowdown(now)
}

// workAhead is the core time of the waiting work that goes before a new invocation of this value; 0: all.
func (b *Backend) workAhead(now monotime.Micros, value float64) float64 {
	sum := 0.0
	for n := range b.costs {
		if c := &b.costs[n]; len(c.queue) > 0 {
			sum += c.queuedUnits * c.perUnit(now) * b.slowdown(now) * min(1, b.config.Operations[n].Value/value)
		}
	}
	return sum
}
