package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// withinQuotaFloor divides priorities: requests within their tenant's quota are above it, those beyond it below.
	withinQuotaFloor = 0.3
	// quotaBurstDeviations is the number of standard deviations by which arrivals may exceed a tenant's even part by
	// chance.
	quotaBurstDeviations = 1.5
)

// applyQuota raises the priority of a request within its tenant's quota above that of every request beyond its own.
func (b *Backend) applyQuota(now monotime.Micros, req *request, standing QuotaStanding) {
	if req.tenant >= len(b.admittedByTenant) || !(b.config.QuotaPerSecond[req.tenant] > 0) {
		return
	}
	overQuota := b.exceedsEvenPart(now, req.tenant)
	if standing != QuotaUnknown {
		overQuota = standing == OverQuota
	}
	if overQuota {
		req.priority *= withinQuotaFloor * b.config.OverQuotaValue
	} else {
		req.priority = withinQuotaFloor + (1-withinQuotaFloor)*req.priority
	}
}

// exceedsEvenPart reports whether the next request of a tenant exceeds an even part of its quota among the backends.
// Where this backend gets more than an even part of all traffic, each tenant's part grows with it.
func (b *Backend) exceedsEvenPart(now monotime.Micros, tenant int) bool {
	quota := b.config.QuotaPerSecond[tenant]
	totalAdmitted := 0.0
	totalQuota := 0.0
	for i := range b.admittedByTenant {
		totalAdmitted += b.admittedByTenant[i].read(now)
		totalQuota += b.config.QuotaPerSecond[i]
	}
	evenPart := quota / float64(b.config.FleetSize) * float64(recentWindow) / float64(monotime.Second)
	evenPart += quotaBurstDeviations * math.Sqrt(evenPart) // arrivals vary more, in proportion, the fewer they are
	partOfAdmitted := totalAdmitted * quota / totalQuota
	return b.admittedByTenant[tenant].read(now) >= max(evenPart, partOfAdmitted)
}
