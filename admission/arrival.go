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
