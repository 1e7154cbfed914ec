package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// minAdvertised is the least traffic weight, and the value while unhealthy.
	minAdvertised = 0.05
	// advertisedChange is the relative change from which a value is sent again.
	advertisedChange = 0.05
	// minQueuePerCore is the run queue per core below which a backend counts as empty.
	minQueuePerCore = 0.1
)

// advertise sends the advertised value when it has changed enough.
func (b *Backend) advertise(now monotime.Micros, out []Action) []Action {
	cores := float64(b.config.Cores)
	queuePerCore := max(b.runQueue()/cores, minQueuePerCore)
	var value float64
	switch b.config.AdvertisedValue {
	case NothingAdvertised:
		return out
	case CallerAllowance:
		allowance := cores * highestThresholdPerCore / float64(b.config.Callers)
		value = allowance * min(1, lowestThresholdPerCore/queuePerCore) / b.slowdown(now)
	case TrafficWeight:
		value = max(minAdvertised, min(1, busyCoreUse/queuePerCore)/b.slowdown(now))
	}
	if now < b.health.unhealthyUntil {
		value = minAdvertised
	}
	if math.Abs(value-b.advertised) <= advertisedChange*max(value, b.advertised) {
		return out
	}
	b.advertised = value
	return append(out, Advertise{Value: value})
}
