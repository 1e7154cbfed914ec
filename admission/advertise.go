package admission

import (
	"math"

	"milletbarrow/monotime"
)

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
