package simulation

import (
	"fmt"

	"milletbarrow/admission"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// QuotaSource says how a host gets its part of the tenants' quotas.
type QuotaSource int

// The sources. With GuessedQuotas the module divides by the fleet's size that it was configured with; with the others
// a quota holder tells it whether a request is within its tenant's quota.
const (
	GuessedQuotas QuotaSource = iota
	LeasedQuotas              // leases of cluster/quota's state machine, unchanged
	EvenQuotas                // an even part by the configured size of the fleet, whoever is up
	GlobalQuotas              // one count for all hosts, without delay: an oracle's
)

var quotaSourceNames = []string{"guess", "divided", "even", "whole"}

// QuotaSourceNamed finds a source by its word in experiment files; -1 where there is none.
func QuotaSourceNamed(name string) QuotaSource { return QuotaSource(indexOf(quotaSourceNames, name)) }

// QuotaSourceNames returns the words of experiment files, in the order of the constants.
func QuotaSourceNames() []string { return quotaSourceNames }

// Configuration of the simulated quota store: a lease as installations have it, and a floor as a part of an even share.
const (
	leaseDuration = 3 * Second
	leaseMargin   = leaseDuration / 20
	leaseRenewal  = leaseDuration / 4
	floorShare    = 0.2
)

// quotaState is what hosts draw from on a day with a QuotaSource other than GuessedQuotas.
type quotaState struct {
	source     QuotaSource
	store      *quota.State
	tracker    quota.LeaseTracker
	holders    []*backendquota.Holder // by host
	global     *backendquota.Holder   // of GlobalQuotas
	limitIndex []int                  // by tenant: index of its limit in a holder, or -1
	limitNames []string
}

// hostName returns a host's name at the quota store.
func hostName(n int32) string { return fmt.Sprint("n", n) }

// openQuotas sets up the quota store or the holders of the day.
func (w *world) openQuotas() {
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

// fixedHolder returns a holder of a fixed part of each limit, without a lease.
func fixedHolder(name, incarnation string, all []quota.Limit, parts int64) *backendquota.Holder {
	names := make([]string, 0, len(all))
	for _, limit := range all {
		names = append(names, string(limit.Name))
	}
	holder := backendquota.New(name, incarnation, names)
	answer := backendquota.LeaseResponse{Name: name, Incarnation: incarnation, Number: holder.NewRequest(0).Number}
	for _, limit := range all {
		answer.Grants = append(
			answer.Grants,
			backendquota.Grant{Budget: string(limit.Name), Epoch: 1, Floor: limit.Total / parts},
		)
	}
	if err := holder.Apply(0, answer); err != nil {
		panic(err) // the configuration was checked
	}
	return holder
}

// quotaPrice returns the factor by which a success of a tenant counts now: 1 within its quota over all hosts,
// overQuotaValue beyond it, whatever the policy knew of it.
func (w *world) quotaPrice(tenant int) float64 {
	if len(w.scenario.Tenants) == 0 || w.scenario.Tenants[tenant].Quota < 1 {
		return 1
	}
	if w.pricing == nil {
		var all []quota.Limit
		for i, t := range w.scenario.Tenants {
			all = append(all, quota.Limit{Name: quota.LimitName(fmt.Sprint(i)), Total: int64(t.Quota)})
		}
		w.pricing = fixedHolder("all", "price", all, 1)
	}
	if w.pricing.TryAcquire(w.now, tenant) {
		return 1
	}
	return overQuotaValue
}

// startQuotas gives a host's new process its quota holder.
func (w *world) startQuotas(h *host) {
	quotas := w.quotas
	if quotas == nil || quotas.source == GlobalQuotas {
		return
	}
	name, incarnation := hostName(h.number), fmt.Sprint(h.incarnation)
	if quotas.source == EvenQuotas {
		var all []quota.Limit
		for i, t := range w.scenario.Tenants {
			if quotas.limitIndex[i] >= 0 {
				all = append(
					all,
					quota.Limit{Name: quota.LimitName(quotas.limitNames[quotas.limitIndex[i]]), Total: int64(t.Quota)},
				)
			}
		}
		quotas.holders[h.number] = fixedHolder(name, incarnation, all, int64(w.scenario.Hosts.fleetSize()))
		return
	}
	quotas.holders[h.number] = backendquota.New(name, incarnation, quotas.limitNames)
	// Renewals are spread over the interval, as of agents that were started at different times.
	w.queue.push(
		event{
			at:         w.now + 1 + monotime.Micros(h.number)*leaseRenewal/monotime.Micros(len(w.hosts)),
			kind:       evLease,
			subject:    h.number,
			generation: h.incarnation,
		},
	)
}

// fleetSize returns the size of the fleet that hosts are configured with.
func (h *HostConfig) fleetSize() int {
	if h.ReportedFleetSize > 0 {
		return h.ReportedFleetSize
	}
	return h.Count
}

// renewLeases renews a host's leases, where it can reach the quota store. The duration of the call, a thousandth of a
// lease, is left out.
func (w *world) renewLeases(h *host) {
	quotas := w.quotas
	if !w.quotaStoreCut || h.number >= w.partitionedHosts {
		holder, now := quotas.holders[h.number], w.now
		r := quotas.store.Apply(
			quota.Command{
				Renew: &quota.RenewCommand{
					Host:     hostName(h.number),
					Requests: []backendquota.LeaseRequest{holder.NewRequest(now)},
				},
			},
		)
		if len(r.Answers) > 0 && r.Answers[0].Refusal == "" {
			_ = holder.Apply(now, r.Answers[0]) // a rejected answer leaves the leases as they are
		}
	}
	w.queue.push(event{at: w.now + leaseRenewal, kind: evLease, subject: h.number, generation: h.incarnation})
}

// expireLeases lets the quota store expire leases and divide anew.
func (w *world) expireLeases() {
	quotas := w.quotas
	if over, divide := quotas.tracker.Tick(w.now, quotas.store); divide || len(over) > 0 {
		quotas.store.Apply(quota.Command{Expire: over, Rebalance: divide})
	}
	if w.now < w.scenario.Duration {
		w.queue.push(event{at: w.now + leaseRenewal/4, kind: evLeaseExpiry})
	}
}

// releaseQuotas tells the quota store that a process has exited, as the agent of its host would.
func (w *world) releaseQuotas(h *host) {
	if quotas := w.quotas; quotas != nil && quotas.source == LeasedQuotas &&
		(!w.quotaStoreCut || h.number >= w.partitionedHosts) {
		name := hostName(h.number)
		key := quota.NewClientKey(quota.InstanceName(name), fmt.Sprint(h.incarnation))
		quotas.store.Apply(quota.Command{Exited: &quota.ExitCommand{Host: name, ClientKeys: []quota.ClientKey{key}}})
	}
}

// drawQuota takes a unit of the tenant's quota for a request that a host has just read.
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

// refundQuota returns the unit that was drawn for a request that never ran.
func (w *world) refundQuota(h *host, att *attempt) {
	if !att.quotaDrawn {
		return
	}
	att.quotaDrawn = false
	if holder, i := w.holderFor(h, int(w.requests[att.request].tenant)); holder != nil {
		holder.Refund(w.now, i)
	}
}

// holderFor returns what a host draws a tenant's units from and the index of the limit there; nil where there is none.
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
