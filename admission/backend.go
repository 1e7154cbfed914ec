package admission

import (
	"slices"

	"milletbarrow/monotime"
)

const (
	// maxReadingInterval is the longest time between two readings of the gauges.
	maxReadingInterval = 20 * monotime.Millisecond
	// minReadingInterval bounds the cost of readings where AnswerSlack is short.
	minReadingInterval = monotime.Millisecond
	// readingsPerAnswerSlack leaves time for an answer that a reading brings about.
	readingsPerAnswerSlack = 3

	// readingToken is the token of the only Wake that is ever in force.
	readingToken int64 = 1
	// never is a time that does not come.
	never monotime.Micros = 1 << 60
)

// Backend decides for one backend process. It is for one goroutine at a time.
//
// A request is rejected when the cores are busy and the smoothed run queue is above a threshold that rises with the
// request's priority. Its caller is told not to retry elsewhere while many of the recent arrivals were retries.
type Backend struct {
	config      Config
	randomState uint64

	readingInterval monotime.Micros
	openedAt        monotime.Micros
	nextReadingAt   monotime.Micros
	drainStartedAt  monotime.Micros // never unless draining
	stopAt          monotime.Micros // when the process is stopped; never unless draining

	inFlight         requestTable
	remembered       map[string]*rememberedKey // by request ID
	costs            []runCost                 // by operation
	admittedByTenant []decayingSum             // requests, over recentWindow

	arrivals arrivalStats
	load     load
	runs     runStats
	calls    callStats
	health   healthState
	idle     idleConnectionState

	advertised  float64   // the value sent last
	coreTimeDue []float64 // scratch space of expire: core time of the waiting requests passed, by operation
}

// New returns a backend whose first event is to be Opened. Backends with the same seed, configuration and events decide
// alike.
func New(config Config, seed uint64) *Backend {
	config.Cores = max(config.Cores, 1)
	config.FleetSize = max(config.FleetSize, 1)
	config.Callers = max(config.Callers, 1)
	config.Operations = withKnownValues(config.Operations, config.ValuePerWork)
	readingInterval := min(maxReadingInterval, config.AnswerSlack/readingsPerAnswerSlack)
	return &Backend{
		config:           config,
		randomState:      seed,
		readingInterval:  max(readingInterval, config.BatchInterval, minReadingInterval),
		drainStartedAt:   never,
		stopAt:           never,
		inFlight:         requestTable{byID: map[string]*request{}},
		remembered:       map[string]*rememberedKey{},
		costs:            newRunCosts(len(config.Operations)),
		admittedByTenant: newDecayingSums(len(config.QuotaPerSecond), recentWindow),
		arrivals:         newArrivalStats(),
		runs:             newRunStats(),
		calls:            newCallStats(config.CallQuotaWindow),
		coreTimeDue:      make([]float64, len(config.Operations)),
	}
}

// withKnownValues copies operations. A value that is unknown, or billed for each unit of work, counts as 1.
func withKnownValues(operations []Operation, valuePerWork bool) []Operation {
	operations = slices.Clone(operations)
	for i := range operations {
		if operations[i].Value <= 0 || valuePerWork {
			operations[i].Value = 1
		}
	}
	return operations
}

// Decide takes an event at a time that never goes back, and appends the actions that follow from it to out. An event
// about a request that is not in flight changes nothing.
func (b *Backend) Decide(now monotime.Micros, event Event, out []Action) []Action {
	switch event := event.(type) {
	case Opened:
		return b.open(now, out)
	case Arrived:
		out = b.arrive(now, &event, out)
	case Launched:
		if req := b.inFlight.byID[event.ID]; req != nil && req.phase == waiting {
			b.start(req)
		}
	case Finished:
		out = b.finish(now, event, out)
	case CallerGone:
		if req := b.inFlight.byID[event.ID]; req != nil {
			out = b.abandon(now, req, out)
		}
	case NeedsCall:
		if req := b.inFlight.byID[event.ID]; req != nil && !req.answered {
			out = b.needsCall(now, req, out)
		}
	case CallReturned:
		out = b.callReturned(now, event, out)
	case DrainNotice:
		out = b.drain(now, event, out)
	case Reading:
		if now < b.nextReadingAt {
			return out // of a Wake that an earlier incarnation asked for
		}
		out = b.readGauges(now, event, out)
		out = b.wake(now, out)
	}
	out = b.startCalls(now, out)
	return b.startRuns(now, out)
}

func (b *Backend) open(now monotime.Micros, out []Action) []Action {
	b.openedAt = now
	b.load.readAt = now
	b.health.good = true
	b.health.lastProgressAt = now
	return b.wake(now, append(out, SetHealth{Good: true, FromStore: true}))
}

// wake asks for the next reading.
func (b *Backend) wake(now monotime.Micros, out []Action) []Action {
	b.nextReadingAt = now + b.readingInterval
	return append(out, Wake{At: b.nextReadingAt, Token: readingToken})
}

// drain begins the graceful shutdown. What the stop leaves no time for is answered at once, as the stop may come before
// the next reading.
func (b *Backend) drain(now monotime.Micros, notice DrainNotice, out []Action) []Action {
	b.drainStartedAt = now
	b.stopAt = now + notice.Left
	out = b.checkHealth(now, out)
	return b.expire(now, out)
}

// draining reports whether a drain notice has been received.
func (b *Backend) draining() bool { return b.drainStartedAt != never }
