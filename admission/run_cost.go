package admission

import "milletbarrow/monotime"

// slowdownPriorPerCore is the core time, for each core, by which slowdown leans towards 1 while it has seen few runs.
const slowdownPriorPerCore = 100 * monotime.Millisecond

// runStats compares the core time of runs with what was expected of them. Core times are in microseconds.
type runStats struct {
	clock      float64     // core time that one run among those present has had since the start
	coreTime   decayingSum // of all runs, ended or not, over recentWindow
	expected   decayingSum // expected core time of the runs that ended, over recentWindow
	ended      decayingSum // number of the runs that ended, over recentWindow
	unfinished float64     // core time of the runs that have not ended, each up to the expected
}

func newRunStats() runStats {
	return runStats{
		coreTime: newDecayingSum(recentWindow),
		expected: newDecayingSum(recentWindow),
		ended:    newDecayingSum(recentWindow),
	}
}

// runCost learns what an operation costs, and has the queue of its waiting requests.
type runCost struct {
	coreTime decayingSum // of the runs that succeeded, in microseconds, over learningWindow
	units    decayingSum // of expected work of the same runs

	queue       []*request // waiting, in order of arrival
	queuedUnits float64
	minUnits    float64 // of a request, since the queue was last empty
	maxUnits    float64 // the same
}

func newRunCosts(operations int) []runCost {
	costs := make([]runCost, operations)
	for i := range costs {
		costs[i].coreTime = newDecayingSum(learningWindow)
		costs[i].units = newDecayingSum(learningWindow)
	}
	return costs
}

func (c *runCost) enqueue(req *request) {
	if len(c.queue) == 0 {
		c.minUnits = req.units
		c.maxUnits = req.units
	}
	c.queue = append(c.queue, req)
	c.queuedUnits += req.units
	c.minUnits = min(c.minUnits, req.units)
	c.maxUnits = max(c.maxUnits, req.units)
}

func (c *runCost) dequeue(req *request) {
	c.queue = without(c.queue, req)
	c.queuedUnits -= req.units
	if len(c.queue) == 0 {
		c.queuedUnits = 0 // drops the rounding errors
	}
}

// perUnit returns the learnt core time of a unit of work, in microseconds.
func (c *runCost) perUnit(now monotime.Micros) float64 {
	return c.coreTime.read(now) / c.units.read(now)
}

// slowdown returns how many times more core time recent runs take than expected, at least 1. Runs that have not ended
// count.
func (b *Backend) slowdown(now monotime.Micros) float64 {
	prior := float64(slowdownPriorPerCore) * float64(b.config.Cores)
	expected := b.runs.expected.read(now)
	if b.count(waiting) <= 1 { // without a queue, runs that have not ended are not late yet
		expected += b.runs.unfinished
	}
	return max(1, (b.runs.coreTime.read(now)+prior)/(expected+prior))
}

// expectedCost returns the core time that a run of the request is expected to take at present, in microseconds.
func (b *Backend) expectedCost(now monotime.Micros, req *request) float64 {
	return req.units * req.cost.perUnit(now) * b.slowdown(now)
}

// waitingCoreTime returns the core time, in microseconds, of the waiting requests that run before a new one of this
// value. An operation of lower value counts in proportion; with value 0 all count in full.
func (b *Backend) waitingCoreTime(now monotime.Micros, value float64) float64 {
	sum := 0.0
	for i := range b.costs {
		cost := &b.costs[i]
		if len(cost.queue) == 0 {
			continue
		}
		part := min(1, b.config.Operations[i].Value/value)
		sum += cost.queuedUnits * cost.perUnit(now) * b.slowdown(now) * part
	}
	return sum
}
