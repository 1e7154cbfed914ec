package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/monotime"
)

// quotaState is what fleet-wide budgets add to a dispatcher, guarded by its lock.
type quotaState struct {
	holder         *quota.Holder
	clock          func() monotime.Micros
	machineClock   func() monotime.Micros
	budgetOfTenant []int // index of the holder's budget, or noBudget
	log            *quotalog.Log
}

// QuotaConfig names the budgets that tenants acquire units from.
type QuotaConfig struct {
	Holder       *quota.Holder
	Tenants      map[string]string      // budget by tenant
	Clock        func() monotime.Micros // of leases; includes time that the machine is suspended
	MachineClock func() monotime.Micros // of the log
	Log          *quotalog.Log          // for an auditor; may be nil
}

// SetQuotas has requests acquire units from their tenants' budgets from now on. A tenant that this deployment
// does not have is an *UnknownTenantError.
func (d *Dispatcher) SetQuotas(cfg QuotaConfig) error {
	state := &quotaState{
		holder: cfg.Holder, clock: cfg.Clock, machineClock: cfg.MachineClock,
		budgetOfTenant: make([]int, len(d.settings.Tenants)), log: cfg.Log,
	}
	found := 0
	for i, tenant := range d.settings.Tenants {
		state.budgetOfTenant[i] = noBudget
		if budget, ok := cfg.Tenants[tenant]; ok {
			state.budgetOfTenant[i] = cfg.Holder.Index(budget)
			found++
		}
	}
	if found < len(cfg.Tenants) {
		return &UnknownTenantError{Configured: cfg.Tenants, Known: d.settings.Tenants}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quotas = state
	return nil
}

// acquireUnit takes a unit of the tenant's budget for a request. One that a level sheds takes none, nor does a repeat.
func (d *Dispatcher) acquireUnit(inv *Invocation, req *Request) admission.QuotaStanding {
	state := d.quotas
	if state == nil || req.shedAdvice > 0 || req.original != "" || inv.Tenant < 0 || inv.Tenant >= len(state.budgetOfTenant) {
		return admission.QuotaUnknown
	}
	budget := state.budgetOfTenant[inv.Tenant]
	switch {
	case budget < 0:
		return admission.QuotaUnknown
	case !state.holder.TryAcquire(state.clock(), budget):
		return admission.OverQuota
	}
	req.drawnBudget = budget
	return admission.WithinQuota
}

// refundUnit returns the unit of a request that never ran to its tenant's budget.
func (d *Dispatcher) refundUnit(req *Request) {
	if req.drawnBudget >= 0 {
		d.quotas.holder.Refund(d.quotas.clock(), req.drawnBudget)
		req.drawnBudget = noBudget
	}
}

// QuotaRequest returns a request to renew the leases; ok is false without budgets.
func (d *Dispatcher) QuotaRequest() (request quota.LeaseRequest, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return request, false
	}
	return d.quotas.holder.NewRequest(d.quotas.clock()), true
}

// ApplyQuotaResponse applies the grants of a response. An error means that nothing was changed, or that the log failed.
func (d *Dispatcher) ApplyQuotaResponse(response quota.LeaseResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.quotas
	if state == nil {
		return ErrNoQuotas
	}
	at := state.machineClock() // read before the holder's clock: the log must not show a lease that lasts longer
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

// ReleaseQuotas gives up all grants: this process acquires no unit any more.
func (d *Dispatcher) ReleaseQuotas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.quotas; state != nil {
		state.recordUse(state.clock())
		at := state.machineClock()
		now := state.clock()
		state.holder.Release(now)
		_ = state.recordHeld(at, now) // the process ends; the auditor sees that the log stops
	}
}

// QuotaStatus returns the grants in force; nil without budgets.
func (d *Dispatcher) QuotaStatus() []quota.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return nil
	}
	return d.quotas.holder.Status(d.quotas.clock())
}

// LogQuotaUse logs the units acquired since the last time, if there is a log.
func (d *Dispatcher) LogQuotaUse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas != nil {
		d.quotas.recordUse(d.quotas.clock())
	}
}

func (state *quotaState) recordUse(now monotime.Micros) {
	if state.log != nil {
		_ = state.log.RecordDrawn(state.machineClock(), state.holder.Status(now)) // serving goes on without an auditor
	}
}
