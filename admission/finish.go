package admission

import "milletbarrow/monotime"

// handleFinished ends a run or a reuse and updates the run statistics.
func (b *Backend) handleFinished(now monotime.Micros, event Finished, out []Action) []Action {
	req := b.inFlight.byID[event.ID]
	if req == nil {
		return out
	}
	switch event.Outcome {
	case OK:
		b.health.lastProgressAt = now
	case Unrunnable:
		return b.undoArrival(now, req, out)
	default:
	}
	if req.phase == callInFlight {
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

// undoArrival removes a request that no caller sent and reverses its recent arrival counts: it must count neither as
// load nor as a first attempt.
func (b *Backend) undoArrival(now monotime.Micros, req *request, out []Action) []Action {
	b.arrivals.recent.subtract(now, 1)
	if req.retry {
		b.arrivals.retries.subtract(now, 1)
	}
	if req.tenant < len(b.admittedByTenant) {
		b.admittedByTenant[req.tenant].subtract(now, 1)
	}
	b.load.startedSinceReading--
	return b.remove(req, out)
}

// endRun updates the statistics at the end of a run; a successful run also updates its operation's cost estimate.
func (b *Backend) endRun(now monotime.Micros, req *request, outcome Outcome) {
	b.load.startedSinceReading--
	if req.phase != running {
		b.resume(req)
	}
	coreTime := max(1, b.runs.virtualTime-req.startVirtualTime)
	expected := req.units * req.cost.coreTimePerUnit(now)
	if outcome == OK {
		req.cost.coreTime.add(now, coreTime)
		req.cost.units.add(now, req.units)
	} else {
		expected = min(expected, coreTime) // the run may have been cut short
	}
	b.runs.expectedCoreTime.add(now, expected)
	b.runs.ended.add(now, 1)
}
