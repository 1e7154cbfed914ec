package simulation

import (
	"fmt"

	"milletbarrow/admission"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// QuotaSource is the way in which hosts get their shares of the tenants' quotas.
type QuotaSource int

// The quota sources. With GuessedQuotas the policy divides the quotas by the configured size of the fleet. With the
// others a quota holder decides whether a request is within its tenant's quota.
const (
	GuessedQuotas QuotaSource = iota
	LeasedQuotas              // leases from the state machine of cluster/quota, unchanged
	EvenQuotas                // an even share by the configured size of the fleet, however many hosts are up
	GlobalQuotas              // one counter for all hosts, without delay, as for an oracle
)

var quotaSourceNames = []string{"guess", "divided", "even", "whole"}

// QuotaSourceNamed returns the source with a word of experiment files, or -1 if there is none.
func QuotaSourceNamed(name string) QuotaSource { return QuotaSource(indexOf(quotaSourceNames, name)) }

// QuotaSourceNames returns the words of the sources in experiment files, in the order of the constants.
func QuotaSourceNames() []string { return quotaSourceNames }

// Configuration of the simulated quota store: leases as in installations, and a floor as a fraction of an even share.
const (
	leaseDuration = 3 * Second
	leaseMargin   = leaseDuration / 20
	leaseRenewal  = leaseDuration / 4
	floorShare    = 0.2
)

// quotaState holds the quotas that hosts draw from, with a QuotaSource other than GuessedQuotas.
type quotaState struct {
	source     QuotaSource
	store      *quota.State
	tracker    quota.LeaseTracker
	holders    []*backendquota.Holder // by host
	global     *backendquota.Holder   // shared by all hosts, with GlobalQuotas
	limitIndex []int                  // by tenant: index of its limit in a holder; -1: no limit
	limitNames []string
}

// hostName returns the name of a host in the quota store.
func hostName(n int32) string { return fmt.Sprint("n", n) }

// initQuotas sets up the quota store or the shared holder.
func (w *world) initQuotas() {
	if w.policy.QuotaSource == GuessedQuotas || len(w.scenario.Tenants) == 0 {
		return
	}
	quotas := &quotaState{source: w.policy.QuotaSource, holders: make([]*backendquota.Holder, len(w.hosts))}
	config := quota.Config{Version: 1}
	for i, t := range w.scenario.Tenants {
		quotas.limitIndex = append(quotas.limitIndex, -1)
		if t.Quota < 1 {
			continue
		}
		quotas.limitIndex[i] = len(quotas.limitNames)
		limit := quota.Limit{
			Name:        quota.LimitName("t" + fmt.Sprint(i)),
			Kind:        quota.Rate,
			Total:       int64(t.Quota),
			Division:    quota.DivideByDemand,
			Step:        1,
			Lease:       leaseDuration,
			ClockMargin: leaseMargin,
			Tenant:      t.Name,
			Floors:      map[quota.InstanceName]int64{},
		}
		floor := int64(floorShare * t.Quota / float64(len(w.hosts)))
		for n := range w.hosts {
			limit.Floors[quota.InstanceName(hostName(int32(n)))] = floor
		}
		quotas.limitNames = append(quotas.limitNames, string(limit.Name))
		config.Limits = append(config.Limits, limit)
	}
	w.quotas = quotas
	switch quotas.source {
	case LeasedQuotas:
		quotas.store = quota.NewState()
		quotas.store.Apply(quota.Command{Config: &config})
		quotas.tracker.BecomeLeader(w.now, quotas.store, false)
		w.queue.push(event{at: w.now + 1, kind: evLeaseExpiry})
	case GlobalQuotas:
		quotas.global = fixedHolder("all", "1", config.Limits, 1)
	}
}

// fixedHolder returns a holder of a fixed share of each limit, one of the given number of parts, without a lease.
func fixedHolder(name, incarnation string, limits []quota.Limit, parts int64) *backendquota.Holder {
	names := make([]string, 0, len(limits))
	for _, limit := range limits {
		names = append(names, string(limit.Name))
	}
	holder := backendquota.New(name, incarnation, names)
	answer := backendquota.LeaseResponse{Name: name, Incarnation: incarnation, Number: holder.NewRequest(0).Number}
	for _, limit := range limits {
		answer.Grants = append(
			answer.Grants,
			backendquota.Grant{Budget: string(limit.Name), Epoch: 1, Floor: limit.Total / parts},
		)
	}
	if err := holder.Apply(0, answer); err != nil {
		panic(err) // can't happen: the configuration was checked
	}
	return holder
}

// quotaValueFactor returns the factor for the value of a tenant's success: 1 within its quota over all hosts, otherwise
// overQuotaValue. It does not depend on the policy's count.
func (w *world) quotaValueFactor(tenant int) float64 {
	if len(w.scenario.Tenants) == 0 || w.scenario.Tenants[tenant].Quota < 1 {
		return 1
	}
	if w.pricingHolder == nil {
		var limits []quota.Limit
		for i, t := range w.scenario.Tenants {
			limits = append(limits, quota.Limit{Name: quota.LimitName(fmt.Sprint(i)), Total: int64(t.Quota)})
		}
		w.pricingHolder = fixedHolder("all", "price", limits, 1)
	}
	if w.pricingHolder.TryAcquire(w.now, tenant) {
		return 1
	}
	return overQuotaValue
}

// startQuotas sets up the quota holder of a host's new process.
func (w *world) startQuotas(h *host) {
	quotas := w.quotas
	if quotas == nil || quotas.source == GlobalQuotas {
		return
	}
	name, incarnation := hostName(h.number), fmt.Sprint(h.incarnation)
	if quotas.source == EvenQuotas {
		var limits []quota.Limit
		for i, t := range w.scenario.Tenants {
			if quotas.limitIndex[i] >= 0 {
				limits = append(
					limits,
					quota.Limit{Name: quota.LimitName(quotas.limitNames[quotas.limitIndex[i]]), Total: int64(t.Quota)},
				)
			}
		}
		quotas.holders[h.number] = fixedHolder(name, incarnation, limits, int64(w.scenario.Hosts.fleetSize()))
		return
	}
	quotas.holders[h.number] = backendquota.New(name, incarnation, quotas.limitNames)
	// Renewals are spread over the interval, as if the agents were started at different times.
	w.queue.push(
		event{
			at:         w.now + 1 + monotime.Micros(h.number)*leaseRenewal/monotime.Micros(len(w.hosts)),
			kind:       evLease,
			subject:    h.number,
			generation: h.incarnation,
		},
	)
}

// fleetSize returns the fleet size that the hosts are configured with.
func (h *HostConfig) fleetSize() int {
	if h.ReportedFleetSize > 0 {
		return h.ReportedFleetSize
	}
	return h.Count
}

// renewLeases renews a host's leases if the host can reach the quota store. The duration of the call, about a
// thousandth of a lease, is ignored.
func (w *world) renewLeases(h *host) {
	quotas := w.quotas
	if !w.quotaStorePartitioned || h.number >= w.partitionedHosts {
		holder, now := quotas.holders[h.number], w.now
		response := quotas.store.Apply(
			quota.Command{
				Renew: &quota.RenewCommand{
					Host:     hostName(h.number),
					Requests: []backendquota.LeaseRequest{holder.NewRequest(now)},
				},
			},
		)
		if len(response.Answers) > 0 && response.Answers[0].Refusal == "" {
			_ = holder.Apply(now, response.Answers[0]) // a rejected answer leaves the leases unchanged
		}
	}
	w.queue.push(event{at: w.now + leaseRenewal, kind: evLease, subject: h.number, generation: h.incarnation})
}

// expireLeases expires leases in the quota store and divides the quotas again.
func (w *world) expireLeases() {
	quotas := w.quotas
	if expired, divide := quotas.tracker.Tick(w.now, quotas.store); divide || len(expired) > 0 {
		quotas.store.Apply(quota.Command{Expire: expired, Rebalance: divide})
	}
	if w.now < w.scenario.Duration {
		w.queue.push(event{at: w.now + leaseRenewal/4, kind: evLeaseExpiry})
	}
}

// releaseQuotas reports the exit of a process to the quota store, as the agent of its host does.
func (w *world) releaseQuotas(h *host) {
	if quotas := w.quotas; quotas != nil && quotas.source == LeasedQuotas &&
		(!w.quotaStorePartitioned || h.number >= w.partitionedHosts) {
		name := hostName(h.number)
		key := quota.NewClientKey(quota.InstanceName(name), fmt.Sprint(h.incarnation))
		quotas.store.Apply(quota.Command{Exited: &quota.ExitCommand{Host: name, ClientKeys: []quota.ClientKey{key}}})
	}
}

// drawQuota draws a unit of the tenant's quota for a request that a host has read.
func (w *world) drawQuota(h *host, tenant int) admission.QuotaStanding {
	holder, i := w.holderFor(h, tenant)
	if holder == nil {
		return admission.QuotaUnknown
	}
	if holder.TryAcquire(w.now, i) {
		w.result.WithinQuota++
		return admission.WithinQuota
	}
	w.result.OverQuota++
	return admission.OverQuota
}

// refundQuota returns the quota unit that was drawn for a request that never ran.
func (w *world) refundQuota(h *host, att *attempt) {
	if !att.quotaDrawn {
		return
	}
	att.quotaDrawn = false
	if holder, i := w.holderFor(h, int(w.requests[att.request].tenant)); holder != nil {
		holder.Refund(w.now, i)
	}
}

// holderFor returns the holder from which a host draws a tenant's quota and the index of the limit in it. The holder is
// nil if there is none.
func (w *world) holderFor(h *host, tenant int) (*backendquota.Holder, int) {
	quotas := w.quotas
	if quotas == nil || quotas.limitIndex[tenant] < 0 {
		return nil, 0
	}
	if quotas.global != nil {
		return quotas.global, quotas.limitIndex[tenant]
	}
	return quotas.holders[h.number], quotas.limitIndex[tenant]
}
