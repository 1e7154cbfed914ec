package admission

import "milletbarrow/monotime"

const (
	// The share of retries among recent arrivals above which a rejected caller is told not to retry, for the lowest
	// and for the highest priority.
	lowestRetryLimit  = 0.10
	highestRetryLimit = 0.50
	// recognisedRetryShare is the share of unmarked retries that hasUnusualDeadline recognises.
	recognisedRetryShare = 0.5

	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * monotime.Millisecond
	// Retry-After is multiplied by a random factor from this range, so that callers do not retry at the same time.
	retryAfterJitterFrom  = 0.75
	retryAfterJitterRange = 0.5
)

// reject throttles a request that has not run. The caller is told not to retry while many recent arrivals are
// retries. The same applies, without Retry-After, if the request would miss its objective because of the dependency: a
// retry elsewhere would wait for the dependency too, while this backend has capacity for other work.
func (b *Backend) reject(now monotime.Micros, req *request, out []Action, slowDependency bool) []Action {
	b.arrivals.throttled.add(now, 1)
	throttle := Throttle{
		ID:         req.id,
		RetryAfter: b.retryAfter(now, req),
		DontRetry:  b.arrivals.retries.read(now) > b.retryLimit(req.priority)*b.arrivals.recent.read(now),
	}
	if slowDependency {
		throttle.RetryAfter = 0
		throttle.DontRetry = true
	}
	return b.remove(req, append(out, throttle))
}

// retryLimit returns the share of retries above which callers of this priority are told not to retry.
func (b *Backend) retryLimit(priority float64) float64 {
	limit := lowestRetryLimit + (highestRetryLimit-lowestRetryLimit)*priority
	if b.config.RetriesUnmarked {
		limit *= recognisedRetryShare
	}
	return limit
}

// retryAfter returns the expected time until the run queue has fallen to the request's threshold. It is at least the
// time the request waited to be read, which no gauge shows: a request sent now would wait as long.
func (b *Backend) retryAfter(now monotime.Micros, req *request) monotime.Micros {
	if b.draining() {
		return b.config.MaxRetryAfter
	}
	excess := max(1, b.runQueue()-b.threshold(now, req.priority)) / float64(b.config.Cores)
	meanRun := (b.runs.expectedCoreTime.read(now) + b.expectedCost(now, req)) / (b.runs.ended.read(now) + 1)
	jitter := retryAfterJitterFrom + retryAfterJitterRange*b.random()
	wait := monotime.Micros(excess * meanRun * b.slowdown(now) * jitter)
	return min(max(wait, req.minRetryAfter, minRetryAfter), b.config.MaxRetryAfter)
}
