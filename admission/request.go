package admission

import "milletbarrow/monotime"

// phase is the state of a request in flight.
type phase int

const (
	waiting   phase = iota // for a start
	running                // on the cores
	atCall                 // off the cores, its call has not been made
	inCall                 // off the cores, the dependency works on its call
	reusing                // its answer is the result of another request
	numPhases              // the number of phases
)

// hasStarted reports whether a request of this phase has started and not ended. It takes its running memory then.
func (p phase) hasStarted() bool { return p != waiting && p != reusing }

// request is a request in flight.
type request struct {
	id        string
	sequence  int // in order of arrival
	operation int // index into Config.Operations
	op        *Operation
	cost      *runCost // of the operation
	tenant    int
	retry     bool

	priority float64 // 0 to 1, lowered beyond the tenant's quota
	memoryKB float64 // while it waits
	units    float64 // of work: the expected work, or 1 where that is unknown

	arrivedAt     monotime.Micros // at the host
	deadline      monotime.Micros // of its caller
	objective     monotime.Micros // end of its latency objective, at most the deadline
	minRetryAfter monotime.Micros

	phase    phase
	admitted bool
	answered bool // no answer is owed any more; it only has to leave the cores

	startedAt       float64         // runStats.clock at the start, plus what the clock advanced during calls
	stopRequestedAt monotime.Micros // latest Stop; 0: none

	callAttempts int             // of the present call
	callNeededAt float64         // runStats.clock when it last left the cores for a call
	nextCallAt   monotime.Micros // end of the backoff before the next attempt
}

const (
	// firstCostShare is the share of the latency objective that an operation's first run is expected to take on a core.
	firstCostShare = 1.0 / 8
)

// newRequest returns a request as it has been read; it is not in flight yet.
func (b *Backend) newRequest(now monotime.Micros, arrived *Arrived, op *Operation) *request {
	arrivedAt := now - arrived.QueueTime
	deadline := now + arrived.TimeLeft
	if arrived.TimeLeft <= 0 {
		deadline = max(now, arrivedAt+op.ClientTimeout)
	}
	units := 1.0
	if arrived.ExpectedWork > 0 {
		units = float64(arrived.ExpectedWork)
	}
	stretch := monotime.Micros(op.ObjectiveStretch * float64(arrived.ExpectedWork))
	req := b.inFlight.allocate()
	*req = request{
		id:            arrived.ID,
		sequence:      req.sequence,
		operation:     arrived.Operation,
		op:            op,
		cost:          &b.costs[arrived.Operation],
		tenant:        arrived.Tenant,
		retry:         arrived.Retry,
		priority:      arrived.Priority,
		memoryKB:      arrived.MemoryKB,
		units:         units,
		arrivedAt:     arrivedAt,
		deadline:      deadline,
		objective:     min(deadline, arrivedAt+op.Objective+stretch),
		minRetryAfter: max(arrived.QueueTime, arrived.ShedFor),
	}
	if req.cost.units.sum == 0 { // nothing learnt yet: an estimate that the first runs outweigh
		req.cost.units.add(now, units)
		req.cost.coreTime.add(now, max(float64(arrived.ExpectedWork), firstCostShare*float64(op.Objective)))
	}
	return req
}
