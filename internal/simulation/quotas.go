package simulation

import (
	"fmt"

	"milletbarrow/admission"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
)

// Shares says where a host's part of the tenants' quotas comes from.
type Shares int

// The ways. Guess is the module's own, by the fleet's size that it was told; the others tell it.
const (
	Guess   Shares = iota
	Divided        // by manage/budget's quota store, unchanged, with leases that hosts hold
	EvenCut        // an even part of the quota by the size that was told, and not more, whoever is there
	Whole          // an oracle's: one count for all hosts, seen at once
)

var sharesNames = []string{"guess", "divided", "even", "whole"}

// SharesNamed finds a way by its name.
func SharesNamed(name string) Shares { return Shares(index(sharesNames, name)) }

// SharesNames lists them.
func SharesNames() []string { return sharesNames }

// Terms of the modelled quota store: a lease as installations have it, and a floor that is a part of an even share.
const (
	shareLease  = 3 * Second
	shareMargin = shareLease / 20
	sharePause  = shareLease / 4
	floorPart   = 0.2
)

// quotaSimulation is what hosts draw from on a day with shares.
type quotaSimulation struct {
	mode    Shares
	ledger  *quota.State
	tracker quota.LeaseTracker
	holders []*backendquota.Holder // by host
	whole   *backendquota.Holder   // the oracle's
	index   []int                  // by tenant: its budget in a holder, or -1
	names   []string
}

func hostName(n int32) string { return fmt.Sprint("n", n) }

// openQuotas begins a day's division.
func (w *world) openQuotas() {
	if w.p.Shares == Guess || len(w.s.Tenants) == 0 {
		return
	}
	sh := &quotaSimulation{mode: w.p.Shares, holders: make([]*backendquota.Holder, len(w.hosts))}
	terms := quota.Config{Version: 1}
	for i, t := range w.s.Tenants {
		sh.index = append(sh.index, -1)
		if t.Quota < 1 {
			continue
		}
		sh.index[i] = len(sh.names)
		b := quota.Limit{
			Name: "t" + fmt.Sprint(i), Kind: quota.Rate, Total: int64(t.Quota), Division: quota.DivideByDemand, Step: 1, Lease: quota.Micros(shareLease),
			ClockMargin: quota.Micros(shareMargin), Tenant: t.Name, Floors: map[string]int64{},
		}
		floor := int64(floorPart * t.Quota / float64(len(w.hosts)))
		for n := range w.hosts {
			b.Floors[hostName(int32(n))] = floor
		}
		sh.names = append(sh.names, b.Name)
		terms.Limits = append(terms.Limits, b)
	}
	w.quotaState = sh
	switch sh.mode {
	case Divided:
		sh.ledger = quota.NewState()
		sh.ledger.Apply(quota.Command{Config: &terms})
		sh.tracker.BecomeLeader(quota.Micros(w.now), sh.ledger, false)
		w.q.push(event{at: w.now + 1, kind: evExpiry})
	case Whole:
		sh.whole = fixedHolder("all", "1", terms.Limits, 1)
	}
}

// fixedHolder draws from a part of each budget, for good.
func fixedHolder(name, life string, all []quota.Limit, parts int64) *backendquota.Holder {
	names := make([]string, 0, len(all))
	for _, b := range all {
		names = append(names, b.Name)
	}
	h := backendquota.New(name, life, names)
	a := backendquota.LeaseResponse{Name: name, Incarnation: life, Number: h.NewRequest(0).Number}
	for _, b := range all {
		a.Grants = append(a.Grants, backendquota.Grant{Budget: b.Name, Epoch: 1, Floor: b.Total / parts})
	}
	if err := h.Apply(0, a); err != nil {
		panic(err) // the terms were checked
	}
	return h
}

// price is what one that succeeds now is worth beside its billed value: less beyond its tenant's quota, counted over all hosts
// at once, whatever the policy knew of it.
func (w *world) price(tenant int) float64 {
	if len(w.s.Tenants) == 0 || w.s.Tenants[tenant].Quota < 1 {
		return 1
	}
	if w.quotas == nil {
		var all []quota.Limit
		for i, t := range w.s.Tenants {
			all = append(all, quota.Limit{Name: fmt.Sprint(i), Total: int64(t.Quota)})
		}
		w.quotas = fixedHolder("all", "price", all, 1)
	}
	if w.quotas.TryAcquire(backendquota.Micros(w.now), tenant) {
		return 1
	}
	return overShare
}

// beginQuotas gives a host's new process its side.
func (w *world) beginQuotas(h *host) {
	sh := w.quotaState
	if sh == nil || sh.mode == Whole {
		return
	}
	name, life := hostName(h.number), fmt.Sprint(h.incarnation)
	if sh.mode == EvenCut {
		var all []quota.Limit
		for i, t := range w.s.Tenants {
			if sh.index[i] >= 0 {
				all = append(all, quota.Limit{Name: sh.names[sh.index[i]], Total: int64(t.Quota)})
			}
		}
		sh.holders[h.number] = fixedHolder(name, life, all, int64(w.s.Hosts.told()))
		return
	}
	sh.holders[h.number] = backendquota.New(name, life, sh.names)
	// Hosts ask spread over the pause, as agents that were started at their own times do.
	w.q.push(event{at: w.now + 1 + Micros(h.number)*sharePause/Micros(len(w.hosts)), kind: evLease, a: h.number, gen: h.incarnation})
}

// told is the fleet's size as hosts were told it.
func (h *HostTerms) told() int {
	if h.Told > 0 {
		return h.Told
	}
	return h.Count
}

// renewLeases renews what a host holds, where the quota store can be reached from it. A call takes a thousandth of a lease, which
// is left out.
func (w *world) renewLeases(h *host) {
	sh := w.quotaState
	if !w.ledgerCut || h.number >= w.cutHosts {
		holder, now := sh.holders[h.number], backendquota.Micros(w.now)
		r := sh.ledger.Apply(quota.Command{Renew: &quota.RenewCommand{Host: hostName(h.number), Requests: []backendquota.LeaseRequest{holder.NewRequest(now)}}})
		if len(r.Answers) > 0 && r.Answers[0].Refusal == "" {
			_ = holder.Apply(now, r.Answers[0]) // a refused answer leaves the shares as they are
		}
	}
	w.q.push(event{at: w.now + sharePause, kind: evLease, a: h.number, gen: h.incarnation})
}

// expireLeases has the quota store's clerk look for what is over.
func (w *world) expireLeases() {
	sh := w.quotaState
	if over, divide := sh.tracker.Tick(quota.Micros(w.now), sh.ledger); divide || len(over) > 0 {
		sh.ledger.Apply(quota.Command{Expire: over, Rebalance: divide})
	}
	if w.now < w.s.For {
		w.q.push(event{at: w.now + sharePause/4, kind: evExpiry})
	}
}

// releaseQuotas tells the quota store that a process has ended, as the agent of its host would.
func (w *world) releaseQuotas(h *host) {
	if sh := w.quotaState; sh != nil && sh.mode == Divided && (!w.ledgerCut || h.number >= w.cutHosts) {
		name := hostName(h.number)
		sh.ledger.Apply(quota.Command{Exited: &quota.ExitCommand{Host: name, ClientKeys: []string{quota.ClientKey(name, fmt.Sprint(h.incarnation))}}})
	}
}

// drawQuota takes a unit for what a host has just read.
func (w *world) drawQuota(h *host, tenant int) admission.QuotaStanding {
	holder, i := w.holderFor(h, tenant)
	if holder == nil {
		return admission.QuotaUnknown
	}
	if holder.TryAcquire(backendquota.Micros(w.now), i) {
		w.res.Within++
		return admission.WithinQuota
	}
	w.res.Beyond++
	return admission.OverQuota
}

// refundQuota lets others have the unit that was drawn for what never ran.
func (w *world) refundQuota(h *host, t *attempt) {
	if !t.drew {
		return
	}
	t.drew = false
	if holder, i := w.holderFor(h, int(w.requests[t.request].tenant)); holder != nil {
		holder.Refund(backendquota.Micros(w.now), i)
	}
}

// holderFor is what a host draws a tenant's units from, and the budget there; nil where nothing tells it.
func (w *world) holderFor(h *host, tenant int) (*backendquota.Holder, int) {
	sh := w.quotaState
	if sh == nil || sh.index[tenant] < 0 {
		return nil, 0
	}
	if sh.whole != nil {
		return sh.whole, sh.index[tenant]
	}
	return sh.holders[h.number], sh.index[tenant]
}
