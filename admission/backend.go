package admission

import (
	"slices"

	"milletbarrow/monotime"
)

// Backend decides for one instance, and is for one goroutine at a time. An arrival is rejected when the
// smoothed run queue is above a threshold that rises with priority and the cores are busy; it hears "don't
// retry" while many recent arrivals were retries. Four rules hold whatever comes: one answer in time; no
// effect twice; the drain's grace and stop; bounded use of memory, cores and the dependency.
type Backend struct {
	config           Config
	rng              uint64          // state of the random number generator
	tick             monotime.Micros // between two readings
	openedAt, nextAt monotime.Micros // of the first event, and of the next reading
	drainAt, stopAt  monotime.Micros // of the drain notice, and of the stop that it announces; never without one
	inFlight         inFlight
	remembered       map[string]*rememberedKey // by invocation ID
	costs            []runCost                 // by operation
	workBefore       []float64                 // core time by operation, scratch space of expire
	admitted         []decayingSum             // recent admissions by tenant
	arrivals         arrivals
	load             load
	runs             runStats
	calls            callStats
	feedback         feedback
}

// New makes an instance; its first event is Opened.
func New(config Config, seed uint64) *Backend {
	b := &Backend{
		config: config, rng: seed, drainAt: never, stopAt: never,
		inFlight: inFlight{byID: map[string]*invocation{}}, remembered: map[string]*rememberedKey{},
		costs: make([]runCost, len(config.Operations)), workBefore: make([]float64, len(config.Operations)),
		admitted: make([]decayingSum, len(config.QuotaPerSecond)),
		arrivals: arrivals{recent: over(retryWindow), retries: over(retryWindow), throttled: over(retryWindow),
			usual: over(learningTime)},
		runs: runStats{coreTime: over(recentTime), expected: over(recentTime), ended: over(recentTime)},
		calls: callStats{
			first: over(callRetryWindow), retried: over(callRetryWindow),
			took: over(callLearningTime), ended: over(callLearningTime),
			spent: over(recentTime), succeeded: over(recentTime),
			meanInFlight: over(max(config.CallQuotaWindow/5, 1)),
		},
	}
	c := &b.config
	c.Cores, c.FleetSize, c.Callers = max(c.Cores, 1), max(c.FleetSize, 1), max(c.Callers, 1)
	b.tick = max(min(maxTick, c.AnswerSlack/3), c.BatchInterval, 1000)
	c.Operations = slices.Clone(c.Operations)
	for n := range b.costs {
		if op := &c.Operations[n]; op.Value <= 0 || c.ValuePerWork {
			op.Value = 1 // unknown, or the same for each unit of work
		}
		b.costs[n] = runCost{coreTime: over(learningTime), units: over(learningTime)}
	}
	for n := range b.admitted {
		b.admitted[n] = over(recentTime)
	}
	return b
}

// Decide takes an event and appends the actions that follow from it to out.
func (b *Backend) Decide(now monotime.Micros, ev Event, out []Action) []Action {
	switch e := ev.(type) {
	case Opened:
		b.openedAt, b.load.readAt, b.nextAt = now, now, now+b.tick
		b.feedback.lastProgress, b.feedback.healthy = now, true
		return append(out, SetHealth{Good: true, FromStore: true}, Wake{At: b.nextAt, Token: timerToken})
	case Arrived:
		out = b.arrive(now, &e, out)
	case Launched:
		if inv := b.inFlight.byID[e.ID]; inv != nil && inv.phase == waiting {
			b.start(inv)
		}
	case Finished:
		out = b.finished(now, e, out)
	case CallerGone:
		if inv := b.inFlight.byID[e.ID]; inv != nil {
			out = b.abandon(now, inv, out)
		}
	case NeedsCall:
		if inv := b.inFlight.byID[e.ID]; inv != nil && !inv.answered {
			out = b.needsCall(now, inv, out)
		}
	case CallReturned:
		out = b.callReturned(now, e, out)
	case DrainNotice:
		b.drainAt, b.stopAt = now, now+e.Left
		out = b.expire(now, b.checkHealth(now, out)) // the stop may come before the next reading
	case Reading:
		if now < b.nextAt {
			return out // a timer of an earlier incarnation
		}
		b.nextAt = now + b.tick
		out = append(b.reading(now, e, out), Wake{At: b.nextAt, Token: timerToken})
	}
	return b.startRuns(now, b.startCalls(now, out))
}
