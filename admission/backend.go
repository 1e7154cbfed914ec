package admission

import (
	"slices"

	"milletbarrow/monotime"
)

const (
	// maxReadingInterval is the longest interval between two gauge readings.
	maxReadingInterval = 20 * monotime.Millisecond
	// minReadingInterval limits the cost of readings where AnswerSlack is short.
	minReadingInterval = monotime.Millisecond
	// readingsPerAnswerSlack is the number of reading intervals in AnswerSlack, so that an answer that results from a
	// reading is sent within the slack.
	readingsPerAnswerSlack = 3

	// readingToken is the token of every Wake; at most one is pending.
	readingToken int64 = 1
	// never is later than any time that occurs.
	never monotime.Micros = 1 << 60
)

// Backend makes the decisions of one backend process. It is not safe for concurrent use.
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
	stopAt          monotime.Micros // when the process will be stopped; never unless draining

	inFlight         requestTable
	idempotencyKeys  map[string]*idempotencyKey // by request ID
	costs            []runCost                  // by operation
	admittedByTenant []decayingSum              // requests, over recentWindow

	arrivals arrivalStats
	load     loadStats
	runs     runStats
	calls    callStats
	health   healthState
	idle     idleConnectionState

	lastAdvertised float64   // the last value sent
	coreTimeAhead  []float64 // used within expire: core time of the waiting requests checked so far, by operation
}

// New returns a backend whose first event must be Opened. Backends with the same seed, configuration and events make
// the same decisions.
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
		idempotencyKeys:  map[string]*idempotencyKey{},
		costs:            newRunCosts(len(config.Operations)),
		admittedByTenant: newDecayingSums(len(config.QuotaPerSecond), recentWindow),
		arrivals:         newArrivalStats(),
		runs:             newRunStats(),
		calls:            newCallStats(config.CallQuotaWindow),
		coreTimeAhead:    make([]float64, len(config.Operations)),
	}
}

// withKnownValues copies operations. An unknown value, or one that is billed for each unit of work, counts as 1.
func withKnownValues(operations []Operation, valuePerWork bool) []Operation {
	operations = slices.Clone(operations)
	for i := range operations {
		if operations[i].Value <= 0 || valuePerWork {
			operations[i].Value = 1
		}
	}
	return operations
}

// Decide handles an event and appends the resulting actions to out. Times must not decrease from one event to the next.
// An event about a request that is not in flight has no effect.
func (b *Backend) Decide(now monotime.Micros, event Event, out []Action) []Action {
	switch event := event.(type) {
	case Opened:
		return b.handleOpened(now, out)
	case Arrived:
		out = b.handleArrived(now, &event, out)
	case Launched:
		if req := b.inFlight.byID[event.ID]; req != nil && req.phase == waiting {
			b.start(req)
		}
	case Finished:
		out = b.handleFinished(now, event, out)
	case CallerGone:
		if req := b.inFlight.byID[event.ID]; req != nil {
			out = b.endRequest(now, req, out)
		}
	case NeedsCall:
		if req := b.inFlight.byID[event.ID]; req != nil && !req.answered {
			out = b.handleNeedsCall(now, req, out)
		}
	case CallReturned:
		out = b.handleCallReturned(now, event, out)
	case DrainNotice:
		out = b.handleDrainNotice(now, event, out)
	case Reading:
		if now < b.nextReadingAt {
			return out // from a Wake of an earlier incarnation
		}
		out = b.handleReading(now, event, out)
		out = b.scheduleReading(now, out)
	}
	out = b.startCalls(now, out)
	return b.startRuns(now, out)
}

// handleOpened starts the backend as healthy and requests the first reading.
func (b *Backend) handleOpened(now monotime.Micros, out []Action) []Action {
	b.openedAt = now
	b.load.readAt = now
	b.health.healthy = true
	b.health.lastProgressAt = now
	return b.scheduleReading(now, append(out, SetHealth{Good: true, FromStore: true}))
}

// scheduleReading requests the next reading.
func (b *Backend) scheduleReading(now monotime.Micros, out []Action) []Action {
	b.nextReadingAt = now + b.readingInterval
	return append(out, Wake{At: b.nextReadingAt, Token: readingToken})
}

// handleDrainNotice starts the graceful shutdown. Requests that cannot end before the stop are answered at once, since
// the stop may come before the next reading.
func (b *Backend) handleDrainNotice(now monotime.Micros, notice DrainNotice, out []Action) []Action {
	b.drainStartedAt = now
	b.stopAt = now + notice.Left
	out = b.checkHealth(now, out)
	return b.expire(now, out)
}

// draining reports whether a drain notice has been received.
func (b *Backend) draining() bool { return b.drainStartedAt != never }
