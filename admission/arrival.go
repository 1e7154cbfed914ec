package admission

import "milletbarrow/monotime"

const (
	// maxWaitingMemory is the share of the memory from which nothing more is admitted.
	maxWaitingMemory = 0.90
	// timelyReadDivisor: a request counts as read in time within its latency objective divided by this.
	timelyReadDivisor = 2
)

// arrive counts a request that has been read, and admits or answers it.
func (b *Backend) arrive(now monotime.Micros, arrived *Arrived, out []Action) []Action {
	op := &b.config.Operations[arrived.Operation]
	arrived.Retry = arrived.Retry || b.config.RetriesUnmarked && b.hasUnusualDeadline(now, arrived, op)
	b.countArrival(now, arrived, op)
	req := b.newRequest(now, arrived, op)
	b.inFlight.add(req)

	late := req.arrivedAt > b.drainStartedAt+b.config.DrainGrace || now >= b.answerBy()
	if arrived.RepeatOf != "" && op.RetrySafety == IdempotencyKeyed { // a repeat never runs again
		if late || req.deadline <= now {
			return b.abandon(now, req, append(out, Fail{ID: req.id}))
		}
		b.setPhase(req, reusing)
		return append(out, Reuse{ID: req.id})
	}
	if late || arrived.ShedFor > 0 || b.memory() > maxWaitingMemory*b.config.MemoryKB {
		return b.reject(now, req, out, false)
	}

	b.applyQuota(now, req, arrived.Quota)
	if b.missesObjective(now, req, b.waitingCoreTime(now, op.Value)-b.expectedCost(now, req)) {
		return b.reject(now, req, out, b.callMissesObjective(now, req))
	}
	if b.busy() && b.runQueue() > b.threshold(now, req.priority) {
		return b.reject(now, req, out, false)
	}
	if op.RetrySafety == IdempotencyKeyed {
		if b.memory()+b.config.IdempotencyKeyKB > maxWaitingMemory*b.config.MemoryKB {
			return b.reject(now, req, out, false)
		}
		out = b.remember(now, req, out)
	}
	b.admit(now, req)
	return out
}

// countArrival counts a request among the arrivals and for the backend's health.
func (b *Backend) countArrival(now monotime.Micros, arrived *Arrived, op *Operation) {
	b.arrivals.recent.add(now, 1)
	b.arrivals.usual.add(now, 1)
	if arrived.Retry {
		b.arrivals.retries.add(now, 1)
	}
	if arrived.QueueTime < op.Objective/timelyReadDivisor {
		b.health.lastProgressAt = now
	} else {
		b.health.lastLateReadAt = now
	}
}

// admit leaves a request in its operation's queue.
func (b *Backend) admit(now monotime.Micros, req *request) {
	if req.tenant < len(b.admittedByTenant) {
		b.admittedByTenant[req.tenant].add(now, 1)
	}
	req.admitted = true
	b.load.admittedSince++
}
