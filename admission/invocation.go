package admission

import "milletbarrow/monotime"

// phase is where an invocation in flight stands.
type phase int

const (
	waiting phase = iota // for a start
	running              // on the cores
	atCall               // off the cores, its call has not been made
	inCall               // off the cores, the dependency works on its call
	reusing              // its answer is the result of another invocation
	numPhases
)

// onCores: it has its running memory; waiting and reusing invocations have not.
func (p phase) onCores() bool { return p != waiting && p != reusing }

type invocation struct {
	id                       string
	seq                      int // in order of arrival
	op                       *Operation
	cost                     *runCost
	operation, tenant        int
	priority, memoryKB       float64         // after the tenant's quota, and while it waits
	units                    float64         // of expected work: Arrived.ExpectedWork, or 1
	arrivedAt, deadline      monotime.Micros // at the host, and its caller's
	objective, minRetryAfter monotime.Micros // objective: end of the latency objective
	phase                    phase
	retry, admitted          bool
	answered                 bool            // no answer is owed; it only has to leave the cores
	callAttempts             int             // of the present call
	startedAt, callAt        float64         // runStats.clock at the start, less the time at calls, and at the last call
	nextCallAt, stoppedAt    monotime.Micros // after the backoff; the last request to stop
}

func (b *Backend) newInvocation(now monotime.Micros, a *Arrived, op *Operation) *invocation {
	inv, f := &invocation{}, &b.inFlight
	if n := len(f.free); n > 0 {
		inv, f.free = f.free[n-1], f.free[:n-1]
	}
	f.lastSeq++
	*inv = invocation{
		id: a.ID, seq: f.lastSeq, operation: a.Operation, tenant: a.Tenant, op: op, cost: &b.costs[a.Operation],
		priority: a.Priority, memoryKB: a.MemoryKB, units: 1, retry: a.Retry,
		minRetryAfter: max(a.QueueTime, a.ShedFor), arrivedAt: now - a.QueueTime, deadline: now + a.TimeLeft,
	}
	if a.TimeLeft <= 0 {
		inv.deadline = max(now, inv.arrivedAt+op.ClientTimeout)
	}
	if a.ExpectedWork > 0 {
		inv.units = float64(a.ExpectedWork)
	}
	inv.objective = inv.arrivedAt + op.Objective + monotime.Micros(op.ObjectiveStretch*float64(a.ExpectedWork))
	inv.objective = min(inv.deadline, inv.objective)
	if inv.cost.units.sum == 0 { // a first guess, soon outweighed
		inv.cost.units.add(now, inv.units)
		inv.cost.coreTime.add(now, max(float64(a.ExpectedWork), float64(op.Objective)/8))
	}
	return inv
}
