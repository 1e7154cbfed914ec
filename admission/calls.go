package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// maxCallAttempts is the number of attempts of one call, at most.
	maxCallAttempts = 3
	// callRetryBudget is the ratio of retried calls to first calls, at most.
	callRetryBudget = 0.10
	// slowCallRatio is the ratio of a call's recent to its usual duration from which fewer calls are made.
	slowCallRatio = 2.0
	// maxWaitingCallsPerCore is the number of requests per core that may wait to make their call.
	maxWaitingCallsPerCore = 2.0
	// callQuotaUse is the share of the quota of mean calls in flight that is used.
	callQuotaUse = 0.9
	// A call times out after this many of its usual durations plus this part of the latency objective.
	callTimeoutRatio            = 8
	callTimeoutObjectiveDivisor = 8
	// minCallTimeout is the shortest timeout of a call.
	minCallTimeout = monotime.Millisecond
)

// maxCalls returns the part of the call quota that is used: the slower calls are, the less. A dependency that is
// overloaded, hangs or is unreachable shows here alike.
func (b *Backend) maxCalls(now monotime.Micros) float64 {
	return b.config.CallQuota * min(1, slowCallRatio*b.calls.usual(now)/b.calls.recent(now))
}

// maxCallsAtOnce returns maxCalls as a number of calls, at least 1.
func (b *Backend) maxCallsAtOnce(now monotime.Micros) float64 {
	return max(1, math.Floor(b.maxCalls(now)))
}

// expectedCallTime returns how long a new request of the operation would be at its call, in microseconds, with the
// requests that wait before it. A call that may be skipped takes no time.
func (b *Backend) expectedCallTime(now monotime.Micros, op *Operation) float64 {
	if !op.MakesCalls || op.ValueWithoutCall > 0 {
		return 0
	}
	return b.calls.recent(now) * (1 + b.count(atCall)/b.maxCallsAtOnce(now))
}

// needsCall takes a run off the cores until its call has returned.
func (b *Backend) needsCall(now monotime.Micros, req *request, out []Action) []Action {
	b.setPhase(req, atCall)
	req.nextCallAt = now
	req.callNeededAt = b.runs.clock
	b.load.startedSince--
	if b.count(atCall) > maxWaitingCallsPerCore*float64(b.config.Cores) {
		out = b.giveUpCall(now, req, out)
	}
	return out
}

// startCalls makes the calls that runs wait for, in order of arrival, within this backend's call quota.
func (b *Backend) startCalls(now monotime.Micros, out []Action) []Action {
	b.calls.dropLingering(now)
	if b.inFlight.counts[atCall] == 0 {
		return out
	}
	limit := b.maxCalls(now)
	calls := b.count(inCall) + float64(len(b.calls.lingering))
	for _, req := range b.inFlight.all {
		if req.phase != atCall || req.answered || req.nextCallAt > now {
			continue
		}
		if b.config.SharedDependency && b.callQuotaIsUsed(now, calls, limit) {
			break
		}
		out = append(out, b.startCall(now, req))
		calls++
	}
	return out
}

// callQuotaIsUsed reports whether another call would exceed the limit, at once or in the mean.
func (b *Backend) callQuotaIsUsed(now monotime.Micros, calls, limit float64) bool {
	inFlightTime := &b.calls.inFlightTime
	return calls >= max(1, math.Floor(limit)) ||
		inFlightTime.read(now) > callQuotaUse*limit*inFlightTime.timeConstant
}

// startCall makes the next attempt of a request's call.
func (b *Backend) startCall(now monotime.Micros, req *request) Action {
	b.calls.countAttempt(now, req.callAttempts > 0)
	req.callAttempts++
	b.setPhase(req, inCall)
	timeout := min(req.deadline, b.answerBy()) - now
	if b.calls.succeeded.read(now) > 0 {
		usual := monotime.Micros(callTimeoutRatio * b.calls.usual(now))
		timeout = min(timeout, usual+req.op.Objective/callTimeoutObjectiveDivisor)
	}
	return Call{ID: req.id, Timeout: max(timeout, minCallTimeout)}
}

// callReturned resumes a run after its call, retries the call, or gives it up.
func (b *Backend) callReturned(now monotime.Micros, event CallReturned, out []Action) []Action {
	req := b.inFlight.byID[event.ID]
	if req == nil || req.phase != inCall {
		return out
	}
	if event.Outcome == OK {
		b.calls.succeed(now, event.Took)
		b.resume(req)
		return out
	}
	if event.Outcome == TimedOut {
		b.calls.linger(now + b.config.AbandonedCallLinger)
	}
	b.setPhase(req, atCall)
	if req.answered {
		return out
	}
	if b.mayRetryCall(now, req) {
		req.nextCallAt = now + b.readingInterval<<req.callAttempts
		return out
	}
	return b.giveUpCall(now, req, out)
}

// mayRetryCall reports whether a call that failed is safe to repeat, and within its attempts and the retry budget.
func (b *Backend) mayRetryCall(now monotime.Micros, req *request) bool {
	return req.op.RetrySafety == Idempotent && req.callAttempts < maxCallAttempts &&
		b.calls.retried.read(now)+1 <= callRetryBudget*b.calls.first.read(now)
}

// resume puts a run back on the cores. Its time off them does not count as core time.
func (b *Backend) resume(req *request) {
	b.setPhase(req, running)
	b.load.startedSince++
	req.callAttempts = 0
	req.startedAt += b.runs.clock - req.callNeededAt
}

// giveUpCall skips a call where that is allowed. Otherwise it ends the request: with a throttle where a retry is
// safe, else with an error.
func (b *Backend) giveUpCall(now monotime.Micros, req *request, out []Action) []Action {
	switch {
	case req.op.ValueWithoutCall > 0:
		b.resume(req)
		return append(out, SkipCall{ID: req.id})
	case req.op.RetrySafety == Idempotent:
		return b.abandon(now, req, append(out, Throttle{ID: req.id, DontRetry: true}))
	default:
		return b.abandon(now, req, append(out, Fail{ID: req.id}))
	}
}
