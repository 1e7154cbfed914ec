package admission

import (
	"math"

	"milletbarrow/monotime"
)

// applyQuota lowers the priority of an invocation beyond its tenant's quota. Unless a lease tells, that is
// one beyond an even part; where a backend gets more than an even part of all traffic, the parts grow.
func (b *Backend) applyQuota(now monotime.Micros, inv *invocation, standing QuotaStanding) {
	if inv.tenant >= len(b.admitted) || !(b.config.QuotaPerSecond[inv.tenant] > 0) {
		return
	}
	total, quotas, quota := 0.0, 0.0, b.config.QuotaPerSecond[inv.tenant]
	for n := range b.admitted {
		total, quotas = total+b.admitted[n].read(now), quotas+b.config.QuotaPerSecond[n]
	}
	even := quota / float64(b.config.FleetSize) * recentTime / 1e6
	even += quotaSlack * math.Sqrt(even) // of one invocation a second two may come, of ten hardly twenty
	beyond := b.admitted[inv.tenant].read(now) >= max(even, total*quota/quotas)
	if standing != QuotaUnknown {
		beyond = standing == OverQuota
	}
	if beyond {
		inv.priority *= withinQuotaFloor * b.config.OverQuotaValue
	} else {
		inv.priority = withinQuotaFloor + (1-withinQuotaFloor)*inv.priority
	}
}
