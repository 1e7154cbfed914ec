package admission

import "milletbarrow/monotime"

const (
	// maxAdmitMemoryShare is the share of the memory above which no request is admitted.
	maxAdmitMemoryShare = 0.90
	// timelyReadDivisor defines a timely read: the request was queued for less than its latency objective divided by
	// this.
	timelyReadDivisor = 2
)

// handleArrived records a request that has been read, and admits or answers it.
func (b *Backend) handleArrived(now monotime.Micros, arrived *Arrived, out []Action) []Action {
	op := &b.config.Operations[arrived.Operation]
	arrived.Retry = arrived.Retry || b.config.RetriesUnmarked && b.hasUnusualDeadline(now, arrived, op)
	b.recordArrival(now, arrived, op)
	req := b.newRequest(now, arrived, op)
	b.inFlight.add(req)

	pastDrain := req.arrivedAt > b.drainStartedAt+b.config.DrainGrace || now >= b.drainDeadline()
	if arrived.RepeatOf != "" && op.RetrySafety == IdempotencyKeyed { // a repeated request is never run
		if pastDrain || req.deadline <= now {
			return b.endRequest(now, req, append(out, Fail{ID: req.id}))
		}
		b.setPhase(req, reusingResult)
		return append(out, Reuse{ID: req.id})
	}
	if pastDrain || arrived.ShedFor > 0 || b.memoryKB() > maxAdmitMemoryShare*b.config.MemoryKB {
		return b.reject(now, req, out, false)
	}

	b.applyQuota(now, req, arrived.Quota)
	if b.missesObjective(now, req, b.queuedCoreTime(now, op.Value)-b.expectedCost(now, req)) {
		return b.reject(now, req, out, b.callMissesObjective(now, req))
	}
	if b.busy() && b.runQueue() > b.threshold(now, req.priority) {
		return b.reject(now, req, out, false)
	}
	if op.RetrySafety == IdempotencyKeyed {
		if b.memoryKB()+b.config.IdempotencyKeyKB > maxAdmitMemoryShare*b.config.MemoryKB {
			return b.reject(now, req, out, false)
		}
		out = b.rememberKey(now, req, out)
	}
	b.admit(now, req)
	return out
}

// recordArrival updates the arrival statistics and the health state.
func (b *Backend) recordArrival(now monotime.Micros, arrived *Arrived, op *Operation) {
	b.arrivals.recent.add(now, 1)
	b.arrivals.baseline.add(now, 1)
	if arrived.Retry {
		b.arrivals.retries.add(now, 1)
	}
	if arrived.QueueTime < op.Objective/timelyReadDivisor {
		b.health.lastProgressAt = now
	} else {
		b.health.lastLateReadAt = now
	}
}

// admit counts a request that stays in its operation's queue.
func (b *Backend) admit(now monotime.Micros, req *request) {
	if req.tenant < len(b.admittedByTenant) {
		b.admittedByTenant[req.tenant].add(now, 1)
	}
	req.admitted = true
	b.load.admittedSinceReading++
}
