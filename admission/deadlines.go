package admission

import "milletbarrow/monotime"

const (
	// readingsBeforeStop is the number of reading intervals before the stop by which all requests are answered.
	readingsBeforeStop = 3
	// readingsBetweenStopRequests is the number of reading intervals after which Stop is repeated for the same run.
	readingsBetweenStopRequests = 10
	// maxCostReserveShare limits the share of the remaining time that callMissesObjective reserves for the run itself.
	// Without the limit, long work would be mistaken for a slow call.
	maxCostReserveShare = 0.5
)

// drainDeadline returns the time by which all requests must be answered before the process is stopped.
func (b *Backend) drainDeadline() monotime.Micros {
	return b.stopAt - readingsBeforeStop*b.readingInterval
}

// expire answers requests whose deadline comes before the next reading and those that cannot meet their objective.
func (b *Backend) expire(now monotime.Micros, out []Action) []Action {
	clear(b.coreTimeAhead)
	for _, req := range b.inFlight.takeSnapshot() {
		due := now+b.readingInterval >= min(req.deadline, b.drainDeadline())
		if req.phase == waiting && !due && !b.missesObjective(now, req, b.coreTimeAheadOf(req)) {
			b.coreTimeAhead[req.operation] += b.expectedCost(now, req)
			continue
		}
		switch {
		case req.answered:
			out = b.requestStop(now, req, out)
		case req.phase == waiting:
			out = b.reject(now, req, out, b.callMissesObjective(now, req))
		case due:
			out = b.endRequest(now, req, append(out, Fail{ID: req.id}))
		case req.phase == callPending && now > req.objective:
			out = b.giveUpCall(now, req, out)
		case b.isLateAndStoppable(now, req):
			out = b.endRequest(now, req, append(out, Throttle{ID: req.id, DontRetry: true}))
		}
	}
	return out
}

// coreTimeAheadOf returns the core time, in microseconds, of the waiting requests in coreTimeAhead that run before this
// one. Operations of lower value count in proportion to their value.
func (b *Backend) coreTimeAheadOf(req *request) float64 {
	sum := 0.0
	for i, coreTime := range b.coreTimeAhead {
		sum += coreTime * min(1, b.config.Operations[i].Value/req.op.Value)
	}
	return sum
}

// missesObjective reports whether a request is expected to end after its objective, given the core time of the requests
// that run before it, in microseconds, and the current runs.
func (b *Backend) missesObjective(now monotime.Micros, req *request, coreTimeBefore float64) bool {
	if !b.coresFull() {
		return b.callMissesObjective(now, req)
	}
	cores := float64(b.config.Cores)
	timeToEnd := b.expectedCallTime(now, req.op) + coreTimeBefore/cores
	timeToEnd += b.expectedCost(now, req) * max(1, b.load.runnable()/cores)
	return now+monotime.Micros(timeToEnd) > min(req.objective, b.drainDeadline())
}

// callMissesObjective reports whether the call alone makes a request miss its objective, even with idle cores.
func (b *Backend) callMissesObjective(now monotime.Micros, req *request) bool {
	timeLeft := max(0, float64(req.objective-now))
	reserve := min(b.expectedCost(now, req), timeLeft*maxCostReserveShare)
	return b.expectedCallTime(now, req.op) > timeLeft-reserve
}

// endRequest ends a request that needs no further answer. If it has started, it stays in flight until its run ends.
func (b *Backend) endRequest(now monotime.Micros, req *request, out []Action) []Action {
	if !req.phase.hasStarted() {
		return b.remove(req, out)
	}
	req.answered = true
	return b.requestStop(now, req, out)
}

// requestStop stops a run whose result is no longer needed. Runs that must not run twice are left to finish.
func (b *Backend) requestStop(now monotime.Micros, req *request, out []Action) []Action {
	if !b.isStoppable(req) || now < req.stopRequestedAt+readingsBetweenStopRequests*b.readingInterval {
		return out
	}
	req.stopRequestedAt = now
	return append(out, Stop{ID: req.id})
}

// isStoppable reports whether a request is running, can be stopped and may run again.
func (b *Backend) isStoppable(req *request) bool {
	return req.phase == running && req.op.RetrySafety == Idempotent && b.config.Preemption != NoPreemption
}

// isLateAndStoppable reports whether a run can be stopped and is past its objective, a late answer has no value, and
// the cores are full.
func (b *Backend) isLateAndStoppable(now monotime.Micros, req *request) bool {
	return b.isStoppable(req) && req.op.LateValue == 0 && now > req.objective && b.coresFull()
}
