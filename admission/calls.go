package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// maxCallAttempts limits the attempts of one call.
	maxCallAttempts = 3
	// callRetryBudget limits the ratio of retries to first attempts.
	callRetryBudget = 0.10
	// slowCallRatio is the ratio of recent to baseline call duration above which the call limit is reduced.
	slowCallRatio = 2.0
	// maxWaitingCallsPerCore limits the requests per core that wait to make their call.
	maxWaitingCallsPerCore = 2.0
	// callQuotaUse is the share of callLimit up to which the mean number of calls in flight may rise.
	callQuotaUse = 0.9
	// The timeout of a call is its baseline duration times callTimeoutRatio, plus the latency objective divided by
	// callTimeoutObjectiveDivisor.
	callTimeoutRatio            = 8
	callTimeoutObjectiveDivisor = 8
	// minCallTimeout is the shortest timeout of a call.
	minCallTimeout = monotime.Millisecond
)

// callLimit returns the limit on the mean number of calls in flight: the call quota, reduced as calls slow down. It
// responds in the same way whether the dependency is overloaded, hangs or is unreachable.
func (b *Backend) callLimit(now monotime.Micros) float64 {
	return b.config.CallQuota * min(1, slowCallRatio*b.calls.baselineDuration(now)/b.calls.recentDuration(now))
}

// concurrentCallLimit returns callLimit as a whole number of calls, at least 1.
func (b *Backend) concurrentCallLimit(now monotime.Micros) float64 {
	return max(1, math.Floor(b.callLimit(now)))
}

// expectedCallTime returns the expected duration of the call of a new request of the operation, including the wait
// behind earlier requests, in microseconds. A call that may be skipped counts as 0.
func (b *Backend) expectedCallTime(now monotime.Micros, op *Operation) float64 {
	if !op.MakesCalls || op.ValueWithoutCall > 0 {
		return 0
	}
	return b.calls.recentDuration(now) * (1 + b.count(callPending)/b.concurrentCallLimit(now))
}

// handleNeedsCall pauses a run until its call has returned.
func (b *Backend) handleNeedsCall(now monotime.Micros, req *request, out []Action) []Action {
	b.setPhase(req, callPending)
	req.nextCallAt = now
	req.pauseVirtualTime = b.runs.virtualTime
	b.load.startedSinceReading--
	if b.count(callPending) > maxWaitingCallsPerCore*float64(b.config.Cores) {
		out = b.giveUpCall(now, req, out)
	}
	return out
}

// startCalls makes pending calls in order of arrival, within this backend's call quota.
func (b *Backend) startCalls(now monotime.Micros, out []Action) []Action {
	b.calls.dropLingering(now)
	if b.inFlight.counts[callPending] == 0 {
		return out
	}
	limit := b.callLimit(now)
	calls := b.count(callInFlight) + float64(len(b.calls.lingering))
	for _, req := range b.inFlight.all {
		if req.phase != callPending || req.answered || req.nextCallAt > now {
			continue
		}
		if b.config.SharedDependency && b.callQuotaExhausted(now, calls, limit) {
			break
		}
		out = append(out, b.startCall(now, req))
		calls++
	}
	return out
}

// callQuotaExhausted reports whether the calls in flight, now or on average, have reached the limit.
func (b *Backend) callQuotaExhausted(now monotime.Micros, calls, limit float64) bool {
	inFlightTime := &b.calls.inFlightTime
	return calls >= max(1, math.Floor(limit)) ||
		inFlightTime.read(now) > callQuotaUse*limit*inFlightTime.timeConstant
}

// startCall makes the next attempt of a request's call.
func (b *Backend) startCall(now monotime.Micros, req *request) Action {
	b.calls.recordAttempt(now, req.callAttempts > 0)
	req.callAttempts++
	b.setPhase(req, callInFlight)
	timeout := min(req.deadline, b.drainDeadline()) - now
	if b.calls.succeeded.read(now) > 0 {
		baseline := monotime.Micros(callTimeoutRatio * b.calls.baselineDuration(now))
		timeout = min(timeout, baseline+req.op.Objective/callTimeoutObjectiveDivisor)
	}
	return Call{ID: req.id, Timeout: max(timeout, minCallTimeout)}
}

// handleCallReturned resumes a run after its call, or schedules a retry of the call, or gives the call up.
func (b *Backend) handleCallReturned(now monotime.Micros, event CallReturned, out []Action) []Action {
	req := b.inFlight.byID[event.ID]
	if req == nil || req.phase != callInFlight {
		return out
	}
	if event.Outcome == OK {
		b.calls.recordSuccess(now, event.Took)
		b.resume(req)
		return out
	}
	if event.Outcome == TimedOut {
		b.calls.linger(now + b.config.AbandonedCallLinger)
	}
	b.setPhase(req, callPending)
	if req.answered {
		return out
	}
	if b.mayRetryCall(now, req) {
		req.nextCallAt = now + b.readingInterval<<req.callAttempts
		return out
	}
	return b.giveUpCall(now, req, out)
}

// mayRetryCall reports whether a failed call is safe to repeat and within both the attempt limit and the retry budget.
func (b *Backend) mayRetryCall(now monotime.Micros, req *request) bool {
	return req.op.RetrySafety == Idempotent && req.callAttempts < maxCallAttempts &&
		b.calls.retries.read(now)+1 <= callRetryBudget*b.calls.firstAttempts.read(now)
}

// resume continues a run after a call. The duration of the call does not count as core time.
func (b *Backend) resume(req *request) {
	b.setPhase(req, running)
	b.load.startedSinceReading++
	req.callAttempts = 0
	req.startVirtualTime += b.runs.virtualTime - req.pauseVirtualTime
}

// giveUpCall skips a call if that is allowed. Otherwise it ends the request: with a throttle if a retry is safe, else
// with an error.
func (b *Backend) giveUpCall(now monotime.Micros, req *request, out []Action) []Action {
	switch {
	case req.op.ValueWithoutCall > 0:
		b.resume(req)
		return append(out, SkipCall{ID: req.id})
	case req.op.RetrySafety == Idempotent:
		return b.endRequest(now, req, append(out, Throttle{ID: req.id, DontRetry: true}))
	default:
		return b.endRequest(now, req, append(out, Fail{ID: req.id}))
	}
}
