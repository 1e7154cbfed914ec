package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/monotime"
)

// quotaState is the part of a Dispatcher that exists with fleet-wide quotas. Dispatcher.mu guards it.
type quotaState struct {
	holder         *quota.Holder
	clock          func() monotime.Micros
	machineClock   func() monotime.Micros
	budgetOfTenant []int         // index of the holder's budget by index of the tenant, or noBudget
	log            *quotalog.Log // nil: none
}

// QuotaConfig assigns the budgets from which tenants acquire units.
type QuotaConfig struct {
	Holder         *quota.Holder
	BudgetByTenant map[string]string      // names; a tenant without a budget needs no units
	Clock          func() monotime.Micros // the clock of leases, which goes on while the host is suspended
	MachineClock   func() monotime.Micros // the clock of the log
	Log            *quotalog.Log          // for an auditor; nil: none
}

// SetQuotas makes requests acquire units from their tenants' budgets from now on. It returns an *UnknownTenantError
// if the deployment lacks a tenant of cfg.
func (d *Dispatcher) SetQuotas(cfg QuotaConfig) error {
	state := &quotaState{
		holder:         cfg.Holder,
		clock:          cfg.Clock,
		machineClock:   cfg.MachineClock,
		budgetOfTenant: make([]int, len(d.settings.Tenants)),
		log:            cfg.Log,
	}
	found := 0
	for i, tenant := range d.settings.Tenants {
		state.budgetOfTenant[i] = noBudget
		if budget, ok := cfg.BudgetByTenant[tenant]; ok {
			state.budgetOfTenant[i] = cfg.Holder.Index(budget)
			found++
		}
	}
	if found < len(cfg.BudgetByTenant) {
		return &UnknownTenantError{BudgetByTenant: cfg.BudgetByTenant, Known: d.settings.Tenants}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quotas = state
	return nil
}

// acquireUnit acquires a unit of the tenant's budget for a request, unless a degradation level sheds it or it is a
// repeat.
func (d *Dispatcher) acquireUnit(inv *Invocation, req *Request) admission.QuotaStanding {
	state := d.quotas
	if state == nil || req.shedAdvice > 0 || req.original != "" {
		return admission.QuotaUnknown
	}
	if inv.Tenant < 0 || inv.Tenant >= len(state.budgetOfTenant) {
		return admission.QuotaUnknown
	}
	budget := state.budgetOfTenant[inv.Tenant]
	if budget < 0 {
		return admission.QuotaUnknown
	}
	if !state.holder.TryAcquire(state.clock(), budget) {
		return admission.OverQuota
	}
	req.drawnBudget = budget
	return admission.WithinQuota
}

// refundUnit returns the unit of a request that did not run to its tenant's budget.
func (d *Dispatcher) refundUnit(req *Request) {
	if req.drawnBudget >= 0 {
		d.quotas.holder.Refund(d.quotas.clock(), req.drawnBudget)
		req.drawnBudget = noBudget
	}
}

// QuotaRequest returns a request to renew the leases; ok is false without fleet-wide quotas.
func (d *Dispatcher) QuotaRequest() (request quota.LeaseRequest, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return request, false
	}
	return d.quotas.holder.NewRequest(d.quotas.clock()), true
}

// ApplyQuotaResponse applies the grants of a response. If the holder refuses the response, nothing changes; if the
// log fails, the grants are in force all the same.
func (d *Dispatcher) ApplyQuotaResponse(response quota.LeaseResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.quotas
	if state == nil {
		return ErrNoQuotas
	}
	at := state.machineClock() // read before the holder's clock, so that the log shows no lease longer than it is
	now := state.clock()
	if err := state.holder.Apply(now, response); err != nil {
		return err
	}
	return state.recordHeld(at, now)
}

// recordHeld logs the grants in force.
func (state *quotaState) recordHeld(at, now monotime.Micros) error {
	if state.log == nil {
		return nil
	}
	return state.log.RecordHeld(at, now, state.holder.Status(now))
}

// ReleaseQuotas releases all grants: this process acquires no more units.
func (d *Dispatcher) ReleaseQuotas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.quotas; state != nil {
		state.recordUse(state.clock())
		at := state.machineClock()
		now := state.clock()
		state.holder.Release(now)
		_ = state.recordHeld(at, now) // the process exits; the auditor sees that the log ends
	}
}

// QuotaStatus returns the grants in force; nil without fleet-wide quotas.
func (d *Dispatcher) QuotaStatus() []quota.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return nil
	}
	return d.quotas.holder.Status(d.quotas.clock())
}

// LogQuotaUse logs the units acquired since the last call, if there is a log.
func (d *Dispatcher) LogQuotaUse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas != nil {
		d.quotas.recordUse(d.quotas.clock())
	}
}

// recordUse logs the units acquired so far.
func (state *quotaState) recordUse(now monotime.Micros) {
	if state.log != nil {
		// An auditor is not needed to serve: an error of its log is ignored.
		_ = state.log.RecordDrawn(state.machineClock(), state.holder.Status(now))
	}
}
