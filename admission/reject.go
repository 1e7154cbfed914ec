package admission

import "milletbarrow/monotime"

const (
	// The share of retries among recent arrivals from which a rejected caller is told not to retry, for the lowest
	// and for the highest priority.
	lowestRetryLimit  = 0.10
	highestRetryLimit = 0.50
	// recognisedRetryShare is the share of unmarked retries that hasUnusualDeadline recognises.
	recognisedRetryShare = 0.5

	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * monotime.Millisecond
	// Retry-After is spread over this range of its mean, so that callers do not come back together.
	retryAfterJitterFrom  = 0.75
	retryAfterJitterRange = 0.5
)

// reject throttles a request that has not run. The caller is told not to retry while many recent arrivals are
// retries, and also if the dependency is what the request would wait for (atDependency): it would wait for it
// elsewhere too, while this backend has capacity for other work.
func (b *Backend) reject(now monotime.Micros, req *request, out []Action, atDependency bool) []Action {
	b.arrivals.throttled.add(now, 1)
	throttle := Throttle{
		ID:         req.id,
		RetryAfter: b.retryAfter(now, req),
		DontRetry:  b.arrivals.retries.read(now) > b.retryLimit(req.priority)*b.arrivals.recent.read(now),
	}
	if atDependency {
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

// retryAfter returns the time in which the excess over the request's threshold is worked off. It is at least as long as
// the request waited to be read, which no gauge shows: what is sent now would wait as long.
func (b *Backend) retryAfter(now monotime.Micros, req *request) monotime.Micros {
	if b.draining() {
		return b.config.MaxRetryAfter
	}
	excess := max(1, b.runQueue()-b.threshold(now, req.priority)) / float64(b.config.Cores)
	usualRun := (b.runs.expected.read(now) + b.expectedCost(now, req)) / (b.runs.ended.read(now) + 1)
	jitter := retryAfterJitterFrom + retryAfterJitterRange*b.random()
	pause := monotime.Micros(excess * usualRun * b.slowdown(now) * jitter)
	return min(max(pause, req.minRetryAfter, minRetryAfter), b.config.MaxRetryAfter)
}
