package admission

import (
	"math"

	"milletbarrow/monotime"
)

// feedback is what callers last heard, and since when health and connections are as they are.
type feedback struct {
	healthy, closingIdle           bool            // closingIdle: idle connections are closed early
	lastProgress, lastLate         monotime.Micros // last arrival read in time or run that succeeded; last late arrival
	unhealthyUntil, saturatedUntil monotime.Micros
	advertised                     float64
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

// checkHealth: a backend whose full cores have for long ended no run, and read little, and that late, is not
// healthy. It acts late on purpose: an overload that makes progress is no fault, nor is one that has it read
// more. Each backend that leaves the endpoint list sends its load to the next, until all are unhealthy.
func (b *Backend) checkHealth(now monotime.Micros, out []Action) []Action {
	f := &b.feedback
	usualRun := b.runs.expected.read(now) / max(b.runs.ended.read(now), 0.01)
	reads, usual := b.arrivals.recent.read(now)/retryWindow, b.arrivals.usual.read(now)/learningTime
	if b.coresFull() && f.lastLate > f.lastProgress && reads < stuckReads*usual &&
		now > f.lastProgress+max(stuckAfter, monotime.Micros(stuckAfterRuns*usualRun)) {
		f.unhealthyUntil = now + unhealthyFor
	}
	if good := now >= f.unhealthyUntil && b.drainAt == never; good != f.healthy {
		f.healthy = good
		out = append(out, SetHealth{Good: good, FromStore: true})
	}
	return out
}

// advertise sends the advertised value, in the meaning that callers give to it, when it has changed enough.
func (b *Backend) advertise(now monotime.Micros, out []Action) []Action {
	value, cores := 1.0, float64(b.config.Cores)
	queue := max(b.runQueue()/cores, 0.1)
	switch b.config.AdvertisedValue {
	case NothingAdvertised:
		return out
	case CallerAllowance:
		value = cores * thresholdTop / float64(b.config.Callers) * min(1, thresholdLow/queue) / b.slowdown(now)
	case TrafficWeight:
		value = max(minValue, min(1, busyCoreUse/queue)/b.slowdown(now))
	}
	if now < b.feedback.unhealthyUntil {
		value = minValue
	}
	if math.Abs(value-b.feedback.advertised) <= 0.05*max(value, b.feedback.advertised) {
		return out
	}
	b.feedback.advertised = value
	return append(out, Advertise{value})
}

// closeIdle: where many callers come back only after long, an idle connection costs more than opening it anew
// and takes capacity from others. While nearly all that is read is throttled, new connections bring hardly
// anything; a full table keeps them out at no cost (from a hung backend too; it costs once overload ends).
func (b *Backend) closeIdle(now monotime.Micros, out []Action) []Action {
	f, config, age := &b.feedback, &b.config, float64(now-b.openedAt)
	rate := max(1, b.arrivals.recent.read(now)) / (retryWindow * (1 - math.Exp(-age/retryWindow)))
	interval, limit := float64(config.Callers)/rate, sparseInterval
	if f.closingIdle { // hysteresis
		limit /= 2
	}
	if b.arrivals.throttled.read(now) > saturatedShare*max(b.arrivals.recent.read(now), saturatedReads) {
		f.saturatedUntil = now + saturatedFor
	}
	closing := interval > limit && now >= f.saturatedUntil
	if age < rateKnownAfter || config.IdleTimeout <= minIdleTimeout ||
		config.Callers <= fewCallers*config.Cores || f.closingIdle == closing {
		return out
	}
	if f.closingIdle = closing; closing {
		return append(out, CloseIdle{minIdleTimeout})
	}
	return append(out, CloseIdle{config.IdleTimeout})
}
