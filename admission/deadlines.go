package admission

import "milletbarrow/monotime"

const (
	// readingsBeforeStop is the number of reading intervals before the stop by which everything is answered.
	readingsBeforeStop = 3
	// readingsBetweenStops is the number of reading intervals between two requests to stop the same run.
	readingsBetweenStops = 10
	// maxCostReserve is the share of the time left that is set aside for the work itself when a call is judged, so that
	// long work does not pass for a slow call.
	maxCostReserve = 0.5
)

// answerBy returns when everything must be answered before the process is stopped.
func (b *Backend) answerBy() monotime.Micros { return b.stopAt - readingsBeforeStop*b.readingInterval }

// expire answers requests whose deadline comes before the next reading, and those that can't meet their objective.
func (b *Backend) expire(now monotime.Micros, out []Action) []Action {
	clear(b.coreTimeDue)
	for _, req := range b.inFlight.takeSnapshot() {
		due := now+b.readingInterval >= min(req.deadline, b.answerBy())
		if req.phase == waiting && !due && !b.missesObjective(now, req, b.coreTimeBefore(req)) {
			b.coreTimeDue[req.operation] += b.expectedCost(now, req)
			continue
		}
		switch {
		case req.answered:
			out = b.stop(now, req, out)
		case req.phase == waiting:
			out = b.reject(now, req, out, b.callMissesObjective(now, req))
		case due:
			out = b.abandon(now, req, append(out, Fail{ID: req.id}))
		case req.phase == atCall && now > req.objective:
			out = b.giveUpCall(now, req, out)
		case b.isLateAndStoppable(now, req):
			out = b.abandon(now, req, append(out, Throttle{ID: req.id, DontRetry: true}))
		}
	}
	return out
}

// coreTimeBefore returns the core time, in microseconds, of the waiting requests of coreTimeDue that run before this
// one. An operation of lower value counts in proportion.
func (b *Backend) coreTimeBefore(req *request) float64 {
	sum := 0.0
	for i, coreTime := range b.coreTimeDue {
		sum += coreTime * min(1, b.config.Operations[i].Value/req.op.Value)
	}
	return sum
}

// missesObjective reports whether a request ends after its objective, with workBefore microseconds of core time
// before it and the present runs beside it.
func (b *Backend) missesObjective(now monotime.Micros, req *request, workBefore float64) bool {
	if !b.coresFull() {
		return b.callMissesObjective(now, req)
	}
	cores := float64(b.config.Cores)
	timeToEnd := b.expectedCallTime(now, req.op) + workBefore/cores
	timeToEnd += b.expectedCost(now, req) * max(1, b.load.runnable()/cores)
	return now+monotime.Micros(timeToEnd) > min(req.objective, b.answerBy())
}

// callMissesObjective reports whether the call alone keeps a request beyond its objective, however free the cores are.
func (b *Backend) callMissesObjective(now monotime.Micros, req *request) bool {
	timeLeft := max(0, float64(req.objective-now))
	reserve := min(b.expectedCost(now, req), timeLeft*maxCostReserve)
	return b.expectedCallTime(now, req.op) > timeLeft-reserve
}

// abandon ends a request that needs no answer any more. One that has started stays in flight until its run has ended.
func (b *Backend) abandon(now monotime.Micros, req *request, out []Action) []Action {
	if !req.phase.hasStarted() {
		return b.remove(req, out)
	}
	req.answered = true
	return b.stop(now, req, out)
}

// stop takes a run that nobody waits for off the cores. One that must not run twice is left to end.
func (b *Backend) stop(now monotime.Micros, req *request, out []Action) []Action {
	if !b.isStoppable(req) || now < req.stopRequestedAt+readingsBetweenStops*b.readingInterval {
		return out
	}
	req.stopRequestedAt = now
	return append(out, Stop{ID: req.id})
}

// isStoppable reports whether a request runs, can be taken off the cores and may run again.
func (b *Backend) isStoppable(req *request) bool {
	return req.phase == running && req.op.RetrySafety == Idempotent && b.config.Preemption != NoPreemption
}

// isLateAndStoppable reports whether a run is past its objective, a late answer has no value, and others need its core.
func (b *Backend) isLateAndStoppable(now monotime.Micros, req *request) bool {
	return b.isStoppable(req) && req.op.LateValue == 0 && now > req.objective && b.coresFull()
}
