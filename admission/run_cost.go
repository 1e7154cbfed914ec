package admission

import "milletbarrow/monotime"

// slowdownPriorPerCore is the prior core time per core that keeps slowdown close to 1 while there are few runs.
const slowdownPriorPerCore = 100 * monotime.Millisecond

// runStats compares the core time of runs with what was expected of them. Core times are in microseconds.
type runStats struct {
	virtualTime        float64     // core time that one continuous run would have received since the start
	coreTime           decayingSum // of all runs, ended or not, over recentWindow
	expectedCoreTime   decayingSum // expected core time of the runs that ended, over recentWindow
	ended              decayingSum // number of runs that ended, over recentWindow
	unfinishedCoreTime float64     // core time of the runs that have not ended, each limited to the expected
}

func newRunStats() runStats {
	return runStats{
		coreTime:         newDecayingSum(recentWindow),
		expectedCoreTime: newDecayingSum(recentWindow),
		ended:            newDecayingSum(recentWindow),
	}
}

// runCost estimates the cost of an operation's runs and holds the queue of its waiting requests.
type runCost struct {
	coreTime decayingSum // of successful runs, in microseconds, over baselineWindow
	units    decayingSum // units of work of the same runs

	queue       []*request // waiting, in order of arrival
	queuedUnits float64
	minUnits    float64 // smallest request since the queue was last empty
	maxUnits    float64 // largest request since the queue was last empty
}

func newRunCosts(operations int) []runCost {
	costs := make([]runCost, operations)
	for i := range costs {
		costs[i].coreTime = newDecayingSum(baselineWindow)
		costs[i].units = newDecayingSum(baselineWindow)
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
	c.queue = removeFromOrdered(c.queue, req)
	c.queuedUnits -= req.units
	if len(c.queue) == 0 {
		c.queuedUnits = 0 // resets accumulated rounding errors
	}
}

// coreTimePerUnit returns the estimated core time of a unit of work, in microseconds.
func (c *runCost) coreTimePerUnit(now monotime.Micros) float64 {
	return c.coreTime.read(now) / c.units.read(now)
}

// slowdown returns the ratio of actual to expected core time of recent runs, at least 1. Runs that have not ended are
// included.
func (b *Backend) slowdown(now monotime.Micros) float64 {
	prior := float64(slowdownPriorPerCore) * float64(b.config.Cores)
	expected := b.runs.expectedCoreTime.read(now)
	if b.count(waiting) <= 1 { // without a queue, runs within their expected cost are no sign of a slowdown
		expected += b.runs.unfinishedCoreTime
	}
	return max(1, (b.runs.coreTime.read(now)+prior)/(expected+prior))
}

// expectedCost returns the expected core time of a run of the request at the current slowdown, in microseconds.
func (b *Backend) expectedCost(now monotime.Micros, req *request) float64 {
	return req.units * req.cost.coreTimePerUnit(now) * b.slowdown(now)
}

// queuedCoreTime returns the expected core time, in microseconds, of the waiting requests that run before a new one of
// the given value. Operations of lower value count in proportion to their value; with value 0 all count in full.
func (b *Backend) queuedCoreTime(now monotime.Micros, value float64) float64 {
	sum := 0.0
	for i := range b.costs {
		cost := &b.costs[i]
		if len(cost.queue) == 0 {
			continue
		}
		part := min(1, b.config.Operations[i].Value/value)
		sum += cost.queuedUnits * cost.coreTimePerUnit(now) * b.slowdown(now) * part
	}
	return sum
}
