package admission

import "milletbarrow/monotime"

// phase is the execution state of a request in flight.
type phase int

const (
	waiting       phase = iota // to be started
	running                    // on the cores
	callPending                // paused until its dependency call can be made
	callInFlight               // paused while its dependency call is in flight
	reusingResult              // to be answered with the result of another request
	numPhases                  // the number of phases
)

// hasStarted reports whether a request in this phase has started and not ended, so that it takes its running memory.
func (p phase) hasStarted() bool { return p != waiting && p != reusingResult }

// request is a request in flight.
type request struct {
	id        string
	sequence  int // position in order of arrival
	operation int // index into Config.Operations
	op        *Operation
	cost      *runCost // shared by the operation's requests
	tenant    int
	retry     bool

	priority float64 // 0 to 1, adjusted by the tenant's quota
	memoryKB float64 // while it waits
	units    float64 // units of work: the expected work, or 1 if unknown

	arrivedAt     monotime.Micros // when it reached the host
	deadline      monotime.Micros // the caller's
	objective     monotime.Micros // end of the latency objective, no later than the deadline
	minRetryAfter monotime.Micros

	phase    phase
	admitted bool
	answered bool // no answer is needed any more; in flight until its run ends

	startVirtualTime float64         // runStats.virtualTime at the start, plus its advance during calls
	stopRequestedAt  monotime.Micros // when Stop was last sent; 0: never

	callAttempts     int             // attempts of the current call
	pauseVirtualTime float64         // runStats.virtualTime when it last paused for a call
	nextCallAt       monotime.Micros // end of the backoff before the next attempt
}

// priorCostShare is the expected core time of an operation's first run, as a share of its latency objective.
const priorCostShare = 1.0 / 8

// newRequest returns the request of an arrival. It is not in the request table yet.
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
	if req.cost.units.sum == 0 { // no estimate yet: a prior that the first runs outweigh
		req.cost.units.add(now, units)
		req.cost.coreTime.add(now, max(float64(arrived.ExpectedWork), priorCostShare*float64(op.Objective)))
	}
	return req
}
