package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// minAdvertisedValue is the lowest traffic weight, and the value of either kind while unhealthy.
	minAdvertisedValue = 0.05
	// minAdvertisedChange is the relative change above which a new value is sent.
	minAdvertisedChange = 0.05
	// minQueuePerCore is the run queue per core below which a backend counts as idle.
	minQueuePerCore = 0.1
)

// advertise sends the advertised value when it has changed by more than minAdvertisedChange.
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
		value = max(minAdvertisedValue, min(1, busyCoreUse/queuePerCore)/b.slowdown(now))
	}
	if now < b.health.unhealthyUntil {
		value = minAdvertisedValue
	}
	if math.Abs(value-b.lastAdvertised) <= minAdvertisedChange*max(value, b.lastAdvertised) {
		return out
	}
	b.lastAdvertised = value
	return append(out, Advertise{Value: value})
}
