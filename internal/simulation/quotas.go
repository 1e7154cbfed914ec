package simulation

import (
	"fmt"

	"milletbarrow/admission"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
)

// QuotaSource says where a host's part of the tenants' quotas comes from.
type QuotaSource int

// The ways. Guess is the module's own, by the fleet's size that it was told; the others tell it.
const (
	GuessedQuotas QuotaSource = iota
	LeasedQuotas              // by manage/budget's quota store, unchanged, with leases that hosts hold
	EvenQuotas                // an even part of the quota by the size that was told, and not more, whoever is there
	GlobalQuotas              // an oracle's: one count for all hosts, seen at once
)

var quotaSourceNames = []string{"guess", "divided", "even", "whole"}

// QuotaSourceNamed finds a way by its name.
func QuotaSourceNamed(name string) QuotaSource { return QuotaSource(indexOf(quotaSourceNames, name)) }

// QuotaSourceNames lists them.
func QuotaSourceNames() []string { return quotaSourceNames }

// AdmissionConfig of the modelled quota store: a lease as installations have it, and a floor that is a part of an even share.
const (
	leaseDuration = 3 * Second
	leaseMargin   = leaseDuration / 20
	leaseRenewal  = leaseDuration / 4
	floorShare    = 0.2
)

// quotas is what hosts draw from on a day with shares.
type quotaState struct {
	source     QuotaSource
	store      *quota.State
	tracker    quota.LeaseTracker
	holders    []*backendquota.Holder // by host
	global     *backendquota.Holder   // the oracle's
	limitIndex []int                  // by tenant: its budget in a holder, or -1
	limitNames []string
}

func hostName(n int32) string { return fmt.Sprint("n", n) }

// openQuotas begins a day's division.
func (w *world) openQuotas() {
	if w.policy.QuotaSource == GuessedQuotas || len(w.scenario.Tenants) == 0 {
		return
	}
	sh := &quotaState{source: w.policy.QuotaSource, holders: make([]*backendquota.Holder, len(w.hosts))}
	config := quota.Config{Version: 1}
	for i, t := range w.scenario.Tenants {
		sh.limitIndex = append(sh.limitIndex, -1)
		if t.Quota < 1 {
			continue
		}
		sh.limitIndex[i] = len(sh.limitNames)
		b := quota.Limit{
			Name: "t" + fmt.Sprint(i), Kind: quota.Rate, Total: int64(t.Quota), Division: quota.DivideByDemand, Step: 1, Lease: quota.Micros(leaseDuration),
			ClockMargin: quota.Micros(leaseMargin), Tenant: t.Name, Floors: map[string]int64{},
		}
		floor := int64(floorShare * t.Quota / float64(len(w.hosts)))
		for n := range w.hosts {
			b.Floors[hostName(int32(n))] = floor
		}
		sh.limitNames = append(sh.limitNames, b.Name)
		config.Limits = append(config.Limits, b)
	}
	w.quotas = sh
	switch sh.source {
	case LeasedQuotas:
		sh.store = quota.NewState()
		sh.store.Apply(quota.Command{Config: &config})
		sh.tracker.BecomeLeader(quota.Micros(w.now), sh.store, false)
		w.queue.push(event{at: w.now + 1, kind: evExpiry})
	case GlobalQuotas:
		sh.global = fixedHolder("all", "1", config.Limits, 1)
	}
}

// fixedHolder draws from a part of each budget, for good.
func fixedHolder(name, incarnation string, all []quota.Limit, parts int64) *backendquota.Holder {
	names := make([]string, 0, len(all))
	for _, b := range all {
		names = append(names, b.Name)
	}
	h := backendquota.New(name, incarnation, names)
	a := backendquota.LeaseResponse{Name: name, Incarnation: incarnation, Number: h.NewRequest(0).Number}
	for _, b := range all {
		a.Grants = append(a.Grants, backendquota.Grant{Budget: b.Name, Epoch: 1, Floor: b.Total / parts})
	}
	if err := h.Apply(0, a); err != nil {
		panic(err) // the terms were checked
	}
	return h
}

// quotaPrice is what one that succeeds now is worth beside its billed value: less beyond its tenant's quota, counted over all hosts
// attempt once, whatever the policy knew of it.
func (w *world) quotaPrice(tenant int) float64 {
	if len(w.scenario.Tenants) == 0 || w.scenario.Tenants[tenant].Quota < 1 {
		return 1
	}
	if w.pricing == nil {
		var all []quota.Limit
		for i, t := range w.scenario.Tenants {
			all = append(all, quota.Limit{Name: fmt.Sprint(i), Total: int64(t.Quota)})
		}
		w.pricing = fixedHolder("all", "price", all, 1)
	}
	if w.pricing.TryAcquire(backendquota.Micros(w.now), tenant) {
		return 1
	}
	return overQuotaValue
}

// startQuotas gives a host's new process its side.
func (w *world) startQuotas(h *host) {
	sh := w.quotas
	if sh == nil || sh.source == GlobalQuotas {
		return
	}
	name, incarnation := hostName(h.number), fmt.Sprint(h.incarnation)
	if sh.source == EvenQuotas {
		var all []quota.Limit
		for i, t := range w.scenario.Tenants {
			if sh.limitIndex[i] >= 0 {
				all = append(all, quota.Limit{Name: sh.limitNames[sh.limitIndex[i]], Total: int64(t.Quota)})
			}
		}
		sh.holders[h.number] = fixedHolder(name, incarnation, all, int64(w.scenario.Hosts.fleetSize()))
		return
	}
	sh.holders[h.number] = backendquota.New(name, incarnation, sh.limitNames)
	// Hosts ask spread over the pause, as agents that were started at their own times do.
	w.queue.push(event{at: w.now + 1 + Micros(h.number)*leaseRenewal/Micros(len(w.hosts)), kind: evLease, subject: h.number, gen: h.incarnation})
}

// fleetSize is the fleet's size as hosts were told it.
func (h *HostConfig) fleetSize() int {
	if h.ReportedFleetSize > 0 {
		return h.ReportedFleetSize
	}
	return h.Count
}

// renewLeases renews what a host holds, where the quota store can be reached from it. A call takes a thousandth of a lease, which
// is left out.
func (w *world) renewLeases(h *host) {
	sh := w.quotas
	if !w.quotaStoreCut || h.number >= w.partitionedHosts {
		holder, now := sh.holders[h.number], backendquota.Micros(w.now)
		r := sh.store.Apply(quota.Command{Renew: &quota.RenewCommand{Host: hostName(h.number), Requests: []backendquota.LeaseRequest{holder.NewRequest(now)}}})
		if len(r.Answers) > 0 && r.Answers[0].Refusal == "" {
			_ = holder.Apply(now, r.Answers[0]) // a refused answer leaves the shares as they are
		}
	}
	w.queue.push(event{at: w.now + leaseRenewal, kind: evLease, subject: h.number, gen: h.incarnation})
}

// expireLeases has the quota store's clerk look for what is over.
func (w *world) expireLeases() {
	sh := w.quotas
	if over, divide := sh.tracker.Tick(quota.Micros(w.now), sh.store); divide || len(over) > 0 {
		sh.store.Apply(quota.Command{Expire: over, Rebalance: divide})
	}
	if w.now < w.scenario.Duration {
		w.queue.push(event{at: w.now + leaseRenewal/4, kind: evExpiry})
	}
}

// releaseQuotas tells the quota store that a process has ended, as the agent of its host would.
func (w *world) releaseQuotas(h *host) {
	if sh := w.quotas; sh != nil && sh.source == LeasedQuotas && (!w.quotaStoreCut || h.number >= w.partitionedHosts) {
		name := hostName(h.number)
		sh.store.Apply(quota.Command{Exited: &quota.ExitCommand{Host: name, ClientKeys: []string{quota.ClientKey(name, fmt.Sprint(h.incarnation))}}})
	}
}

// drawQuota takes a unit for what a host has just read.
func (w *world) drawQuota(h *host, tenant int) admission.QuotaStanding {
	holder, i := w.holderFor(h, tenant)
	if holder == nil {
		return admission.QuotaUnknown
	}
	if holder.TryAcquire(backendquota.Micros(w.now), i) {
		w.result.WithinQuota++
		return admission.WithinQuota
	}
	w.result.OverQuota++
	return admission.OverQuota
}

// refundQuota lets others have the unit that was drawn for what never ran.
func (w *world) refundQuota(h *host, att *attempt) {
	if !att.quotaDrawn {
		return
	}
	att.quotaDrawn = false
	if holder, i := w.holderFor(h, int(w.requests[att.request].tenant)); holder != nil {
		holder.Refund(backendquota.Micros(w.now), i)
	}
}

// holderFor is what a host draws a tenant's units from, and the budget there; nil where nothing tells it.
func (w *world) holderFor(h *host, tenant int) (*backendquota.Holder, int) {
	sh := w.quotas
	if sh == nil || sh.limitIndex[tenant] < 0 {
		return nil, 0
	}
	if sh.global != nil {
		return sh.global, sh.limitIndex[tenant]
	}
	return sh.holders[h.number], sh.limitIndex[tenant]
}
