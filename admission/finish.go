package admission

import "milletbarrow/monotime"

// finish ends a run or a reuse, and learns from what the run took.
func (b *Backend) finish(now monotime.Micros, event Finished, out []Action) []Action {
	req := b.inFlight.byID[event.ID]
	if req == nil {
		return out
	}
	switch event.Outcome {
	case OK:
		b.health.lastProgressAt = now
	case Unrunnable:
		return b.discount(now, req, out)
	default:
	}
	if req.phase == inCall {
		b.calls.linger(now + b.config.AbandonedCallLinger)
	}
	if req.phase.hasStarted() {
		b.endRun(now, req, event.Outcome)
	}
	if event.Outcome == Canceled && !req.answered {
		out = append(out, Fail{ID: req.id})
	}
	return b.remove(req, out)
}

// discount removes a request as if it had never been read: what no caller sent counts neither as load nor as a first
// attempt.
func (b *Backend) discount(now monotime.Micros, req *request, out []Action) []Action {
	b.arrivals.recent.subtract(now, 1)
	if req.retry {
		b.arrivals.retries.subtract(now, 1)
	}
	if req.tenant < len(b.admittedByTenant) {
		b.admittedByTenant[req.tenant].subtract(now, 1)
	}
	b.load.startedSince--
	return b.remove(req, out)
}

// endRun takes a run off the cores, and learns what its operation costs if it succeeded.
func (b *Backend) endRun(now monotime.Micros, req *request, outcome Outcome) {
	b.load.startedSince--
	if req.phase != running {
		b.resume(req)
	}
	spent := max(1, b.runs.clock-req.startedAt)
	expected := req.units * req.cost.perUnit(now)
	if outcome == OK {
		req.cost.coreTime.add(now, spent)
		req.cost.units.add(now, req.units)
	} else {
		expected = min(expected, spent) // it may have been cut short
	}
	b.runs.expected.add(now, expected)
	b.runs.ended.add(now, 1)
}
