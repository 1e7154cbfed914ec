package admission

import (
	"math"

	"milletbarrow/monotime"
)

// load is the last reading of the gauges, smoothed values, and changes that are known since.
type load struct {
	readAt                      monotime.Micros
	onCores, coreUse, queue     float64 // queue: smoothed
	admittedSince, startedSince float64 // less ended
}

// runnable is how many tasks run or wait for a core.
func (l *load) runnable() float64 { return l.onCores + l.startedSince }

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
