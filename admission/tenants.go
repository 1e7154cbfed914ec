package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// withinQuotaMinPriority is the lowest priority of requests within their tenant's quota; requests beyond it
	// rank below.
	withinQuotaMinPriority = 0.3
	// quotaBurstDeviations is the number of standard deviations by which arrivals may exceed a tenant's fair share
	// through random variation.
	quotaBurstDeviations = 1.5
)

// applyQuota adjusts the priority so that requests within their tenant's quota rank above all requests beyond theirs.
// Requests of tenants without a quota keep their priority.
func (b *Backend) applyQuota(now monotime.Micros, req *request, standing QuotaStanding) {
	if req.tenant >= len(b.admittedByTenant) || !(b.config.QuotaPerSecond[req.tenant] > 0) {
		return
	}
	overQuota := b.exceedsFairShare(now, req.tenant)
	if standing != QuotaUnknown {
		overQuota = standing == OverQuota
	}
	if overQuota {
		req.priority *= withinQuotaMinPriority * b.config.OverQuotaValue
	} else {
		req.priority = withinQuotaMinPriority + (1-withinQuotaMinPriority)*req.priority
	}
}

// exceedsFairShare reports whether the next request of a tenant exceeds this backend's equal share of the tenant's
// quota. If this backend receives more than an equal share of all traffic, the share of each tenant grows with it.
func (b *Backend) exceedsFairShare(now monotime.Micros, tenant int) bool {
	quota := b.config.QuotaPerSecond[tenant]
	totalAdmitted := 0.0
	totalQuota := 0.0
	for i := range b.admittedByTenant {
		totalAdmitted += b.admittedByTenant[i].read(now)
		totalQuota += b.config.QuotaPerSecond[i]
	}
	fairShare := quota / float64(b.config.FleetSize) * float64(recentWindow) / float64(monotime.Second)
	fairShare += quotaBurstDeviations * math.Sqrt(fairShare) // the fewer arrivals, the larger their relative variation
	shareOfAdmitted := totalAdmitted * quota / totalQuota
	return b.admittedByTenant[tenant].read(now) >= max(fairShare, shareOfAdmitted)
}
