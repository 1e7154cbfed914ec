package admission

import "milletbarrow/monotime"

// reject throttles what never ran. Many recent retries forbid another; so does what waits too long for the
// dependency (atDependency), as it would elsewhere, while this backend has capacity for other work.
func (b *Backend) reject(now monotime.Micros, inv *invocation, out []Action, atDependency bool) []Action {
	b.arrivals.throttled.add(now, 1)
	limit := retryLimit + (retryLimitTop-retryLimit)*inv.priority
	if b.config.RetriesUnmarked {
		limit *= unmarkedRetriesSeen
	}
	throttle := Throttle{ID: inv.id, RetryAfter: b.retryAfter(now, inv)}
	throttle.DontRetry = b.arrivals.retries.read(now) > limit*b.arrivals.recent.read(now)
	if atDependency {
		throttle.RetryAfter, throttle.DontRetry = 0, true
	}
	return b.remove(inv, append(out, throttle))
}

// retryAfter is the time in which the excess over this priority's threshold drains, or as long as the
// invocation waited to be read, which gauges do not show: what is sent now would wait as long.
func (b *Backend) retryAfter(now monotime.Micros, inv *invocation) monotime.Micros {
	if b.drainAt != never {
		return b.config.MaxRetryAfter
	}
	excess := max(1, b.runQueue()-b.threshold(now, inv.priority)) / float64(b.config.Cores)
	usual := (b.runs.expected.read(now) + b.expectedCost(now, inv)) / (b.runs.ended.read(now) + 1)
	pause := excess * usual * b.slowdown(now) * (0.75 + 0.5*b.random())
	return min(max(monotime.Micros(pause), inv.minRetryAfter, minRetryAfter), b.config.MaxRetryAfter)
}
