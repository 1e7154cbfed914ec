package admission

import "milletbarrow/monotime"

// answerBy is when everything must be answered before the process is stopped.
func (b *Backend) answerBy() monotime.Micros { return b.stopAt - 3*b.tick }

// expire answers what can wait no longer, and what can no longer meet its objective.
func (b *Backend) expire(now monotime.Micros, out []Action) []Action {
	clear(b.workBefore)
	b.inFlight.scratch = append(b.inFlight.scratch[:0], b.inFlight.all...)
	for _, inv := range b.inFlight.scratch {
		due := now+b.tick >= min(inv.deadline, b.answerBy())
		if inv.phase == waiting && !due {
			before := 0.0
			for n := range b.workBefore {
				before += b.workBefore[n] * min(1, b.config.Operations[n].Value/inv.op.Value)
			}
			if !b.missesObjective(now, inv, before) {
				b.workBefore[inv.operation] += b.expectedCost(now, inv)
				continue
			}
		}
		switch {
		case inv.answered:
			out = b.stop(now, inv, out)
		case inv.phase == waiting:
			out = b.reject(now, inv, out, b.callMissesObjective(now, inv))
		case due:
			out = b.abandon(now, inv, append(out, Fail{inv.id}))
		case inv.phase == atCall && now > inv.objective:
			out = b.giveUpCall(now, inv, out)
		case b.lateAndStoppable(now, inv):
			out = b.abandon(now, inv, append(out, Throttle{ID: inv.id, DontRetry: true}))
		}
	}
	return out
}

// missesObjective: with the work before it and what runs beside it, it ends after its objective.
func (b *Backend) missesObjective(now monotime.Micros, inv *invocation, workBefore float64) bool {
	if !b.coresFull() {
		return b.callMissesObjective(now, inv)
	}
	cores := float64(b.config.Cores)
	ends := b.expectedCallTime(now, inv.op) + workBefore/cores
	ends += b.expectedCost(now, inv) * max(1, b.load.runnable()/cores)
	return now+monotime.Micros(ends) > min(inv.objective, b.answerBy())
}

// callMissesObjective: the call would keep it beyond its objective, however free the cores are. Long work
// must not pass for a slow call, so at most half of the time left is set aside for it.
func (b *Backend) callMissesObjective(now monotime.Micros, inv *invocation) bool {
	left := max(0, float64(inv.objective-now))
	return b.expectedCallTime(now, inv.op) > left-min(b.expectedCost(now, inv), left/2)
}

// abandon ends what needs no answer any more; what is on the cores stays in flight until it has left them.
func (b *Backend) abandon(now monotime.Micros, inv *invocation, out []Action) []Action {
	if !inv.phase.onCores() {
		return b.remove(inv, out)
	}
	inv.answered = true
	return b.stop(now, inv, out)
}

// stop takes a run that nobody waits for off the cores. What must not run twice is left to finish.
func (b *Backend) stop(now monotime.Micros, inv *invocation, out []Action) []Action {
	if b.config.Preemption == NoPreemption || inv.phase != running || inv.op.RetrySafety != Idempotent ||
		now < inv.stoppedAt+stopInterval*b.tick {
		return out
	}
	inv.stoppedAt = now
	return append(out, Stop{inv.id})
}

// lateAndStoppable: it runs past its objective, a late answer has no value, and its cores can be freed.
func (b *Backend) lateAndStoppable(now monotime.Micros, inv *invocation) bool {
	return inv.phase == running && inv.op.RetrySafety == Idempotent && inv.op.LateValue == 0 &&
		b.config.Preemption != NoPreemption && now > inv.objective && b.coresFull()
}
