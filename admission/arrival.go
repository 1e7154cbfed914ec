package admission

import "milletbarrow/monotime"

// arrive is the way of an invocation from the count of its retry mark to its queue.
func (b *Backend) arrive(now monotime.Micros, a *Arrived, out []Action) []Action {
	op := &b.config.Operations[a.Operation]
	a.Retry = a.Retry || b.config.RetriesUnmarked && b.unusualDeadline(now, a, op)
	b.arrivals.recent.add(now, 1)
	b.arrivals.usual.add(now, 1)
	if a.Retry {
		b.arrivals.retries.add(now, 1)
	}
	if a.QueueTime < op.Objective/2 {
		b.feedback.lastProgress = now
	} else {
		b.feedback.lastLate = now
	}
	inv := b.newInvocation(now, a, op)
	b.inFlight.add(inv)

	// A repeat never runs again. Nothing is admitted after the grace, beyond memory, or if it is to be shed.
	late := inv.arrivedAt > b.drainAt+b.config.DrainGrace || now >= b.answerBy()
	if a.RepeatOf != "" && op.RetrySafety == IdempotencyKeyed {
		if late || inv.deadline <= now {
			return b.abandon(now, inv, append(out, Fail{inv.id}))
		}
		b.setPhase(inv, reusing)
		return append(out, Reuse{a.ID})
	}
	if late || a.ShedFor > 0 || b.memory() > maxWaitingMemory*b.config.MemoryKB {
		return b.reject(now, inv, out, false)
	}

	b.applyQuota(now, inv, a.Quota)
	if b.missesObjective(now, inv, b.workAhead(now, op.Value)-b.expectedCost(now, inv)) {
		return b.reject(now, inv, out, b.callMissesObjective(now, inv))
	}
	if b.busy() && b.runQueue() > b.threshold(now, inv.priority) {
		return b.reject(now, inv, out, false)
	}

	if op.RetrySafety == IdempotencyKeyed {
		if b.memory()+b.config.IdempotencyKeyKB > maxWaitingMemory*b.config.MemoryKB {
			return b.reject(now, inv, out, false)
		}
		b.remembered[inv.id] = &rememberedKey{until: now + op.RepeatWindow}
		out = append(out, Remember{inv.id, op.RepeatWindow})
	}
	if a.Tenant < len(b.admitted) {
		b.admitted[a.Tenant].add(now, 1)
	}
	inv.admitted = true
	b.load.admittedSince++
	return out
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

// busy: the cores are in use, by their gauge, and at least as many runs want one as there are.
func (b *Backend) busy() bool { return b.load.coreUse >= busyCoreUse && b.coresFull() }

// coresFull: at least as many runs are on the cores as there are cores.
func (b *Backend) coresFull() bool { return b.load.runnable() >= float64(b.config.Cores) }

// runQueue is the smoothed run queue with what is known to have come and gone since the last reading.
func (b *Backend) runQueue() float64 { return b.load.queue + b.load.admittedSince }

// threshold rises with priority from little above the cores to below maxRuns. Runs that come together by
// chance double the queue of two cores and hardly move that of many: that alone must not reject.
func (b *Backend) threshold(now monotime.Micros, priority float64) float64 {
	low := min(thresholdLow*float64(b.config.Cores)+burstLow, b.maxRuns(now))
	top := max(low, min(thresholdTop*float64(b.config.Cores)+burstTop, b.maxRuns(now)))
	return low + (top-low)*priority
}

// reject throttles what never ran. Many recent retries forbid another; so does what waits too long for the
// dependency (atDependency), as it would elsewhere, while this backend has capacity for other work.
func (b *Backend) reject(now monotime.Micros, inv *invocation, out []Action, atDependency bool) []Action {
	b.arrivals.throttled.add(now, 1)
	limit := retryLimit + (retryLimitTop-retryLimit)*inv.priority
	if b.config.RetriesUnmarked {
		limit *= unmarkedRetriesSeen
	}
	throttle := Throttle{ID: inv.id, RetryAfter: b.retryAfter(now, inv)}
	throttle.DontRetry = b.arrivals.retries.read(now) > limit*b.arrivals.recent.read(now)
	if atDependency {
		throttle.RetryAfter, throttle.DontRetry = 0, true
	}
	return b.remove(inv, append(out, throttle))
}
