package admission

import (
	"math"

	"milletbarrow/monotime"
)

// decayingSum is a sum that decays exponentially with a time constant.
type decayingSum struct {
	sum, window float64         // window: the time constant
	at          monotime.Micros // of the sum
}

func over(window monotime.Micros) decayingSum { return decayingSum{window: float64(window)} }

func (d *decayingSum) read(now monotime.Micros) float64 {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / d.window)
		d.at = now
	}
	return d.sum
}

func (d *decayingSum) add(now monotime.Micros, x float64) { d.sum = d.read(now) + x }

func (d *decayingSum) subtract(now monotime.Micros, x float64) { d.sum = max(0, d.read(now)-x) }

// arrivals counts what has been read.
type arrivals struct {
	recent, retries, throttled decayingSum      // over retryWindow
	usual                      decayingSum      // over learningTime
	timesLeft                  [6]deadlineGroup // the most frequent ones, where retries are not marked
}

// deadlineGroup is a time left until the deadline, as a part of the client timeout, and how many have had it.
type deadlineGroup struct {
	part  float64
	count decayingSum
}

// load is the last reading of the gauges, smoothed values, and changes that are known since.
type load struct {
	readAt                      monotime.Micros
	onCores, coreUse, queue     float64 // queue: smoothed
	admittedSince, startedSince float64 // less ended
}

// runnable is how many tasks run or wait for a core.
func (l *load) runnable() float64 { return l.onCores + l.startedSince }

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

// unusualDeadline stands in for the retry mark where callers set none: each first attempt has the same time
// left until its deadline, and a retry what remains of it.
func (b *Backend) unusualDeadline(now monotime.Micros, a *Arrived, op *Operation) bool {
	groups := &b.arrivals.timesLeft
	part, group := float64(a.QueueTime+a.TimeLeft)/float64(op.ClientTimeout), &groups[0]
	for n := range groups {
		g := &groups[n]
		g.count.read(now)
		if math.Abs(g.part-part) < math.Abs(group.part-part) {
			group = g
		}
	}
	if math.Abs(group.part-part) >= sameDeadline {
		for n := range groups {
			if g := &groups[n]; g.count.sum < group.count.sum {
				group = g
			}
		}
		*group = deadlineGroup{part, over(learningTime)}
	}
	group.count.add(now, 1)
	return a.TimeLeft > 0 && group.count.sum < usualDeadline*b.arrivals.usual.read(now)
}

// reading takes the gauges, and what was used since the last ones, and decides what only time brings about.
func (b *Backend) reading(now monotime.Micros, r Reading, out []Action) []Action {
	l, span := &b.load, float64(now-b.load.readAt)
	perRun := span / max(1, (l.onCores+r.OnCores)/2/float64(b.config.Cores))
	b.runs.clock += perRun
	b.runs.coreTime.add(now, perRun*b.count(running))
	b.runs.unfinished = 0
	for _, inv := range b.inFlight.all {
		if inv.phase == running {
			b.runs.unfinished += min(b.runs.clock-inv.startedAt, inv.units*inv.cost.perUnit(now))
		}
	}
	b.calls.meanInFlight.add(now, (b.count(inCall)+float64(len(b.calls.lingering)))*span)
	b.calls.spent.add(now, b.count(inCall)*span)
	l.readAt, l.coreUse, l.onCores = now, r.CoreUse, r.OnCores
	if r.CoreUse < 0 {
		l.coreUse = 1 // unknown: the run queue alone says whether they are busy
	}
	if r.OnCores < 0 {
		l.onCores = b.count(running)
	}
	l.queue += l.admittedSince // known at once; the rest of the difference is smoothed
	l.queue += (l.onCores + b.count(waiting) - l.queue) * (1 - math.Exp(-span/queueSmoothing))
	l.admittedSince, l.startedSince = 0, 0
	for id, key := range b.remembered {
		if key.until <= now {
			delete(b.remembered, id)
		}
	}
	return b.closeIdle(now, b.advertise(now, b.checkHealth(now, b.expire(now, out))))
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
