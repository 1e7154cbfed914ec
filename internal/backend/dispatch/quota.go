package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/monotime"
)

// quotaState is the state of fleet-wide quotas. Dispatcher.mu guards it.
type quotaState struct {
	holder         *quota.Holder
	clock          func() monotime.Micros
	machineClock   func() monotime.Micros
	budgetOfTenant []int         // tenant index to the holder's budget index or noBudget
	log            *quotalog.Log // nil: no log
}

// QuotaConfig configures the budgets from which tenants acquire units.
type QuotaConfig struct {
	Holder         *quota.Holder
	BudgetByTenant map[string]string      // budget name by tenant name; a tenant without a budget needs no units
	Clock          func() monotime.Micros // for leases; it advances while the host is suspended
	MachineClock   func() monotime.Micros // for the records of the log
	Log            *quotalog.Log          // for an auditor; nil: no log
}

// SetQuotas enables fleet-wide quotas: from now on, requests acquire units from their tenants' budgets. It returns an
// *UnknownTenantError if cfg names a tenant that the deployment does not have.
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

// acquireUnit acquires a unit of the tenant's budget for a request. A request that a degradation level sheds and a
// repeat need no unit.
func (d *Dispatcher) acquireUnit(inv *Invocation, req *Request) admission.QuotaStanding {
	state := d.quotas
	if state == nil || req.shedRetryAfter > 0 || req.original != "" {
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
	req.unitBudget = budget
	return admission.WithinQuota
}

// refundUnit returns the unit of a request that did not run to the budget it was acquired from.
func (d *Dispatcher) refundUnit(req *Request) {
	if req.unitBudget >= 0 {
		d.quotas.holder.Refund(d.quotas.clock(), req.unitBudget)
		req.unitBudget = noBudget
	}
}

// QuotaRequest returns a request to renew the leases. ok is false without fleet-wide quotas.
func (d *Dispatcher) QuotaRequest() (request quota.LeaseRequest, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return request, false
	}
	return d.quotas.holder.NewRequest(d.quotas.clock()), true
}

// ApplyQuotaResponse applies the grants of a lease response. If the holder rejects the response, nothing changes. If
// only writing the log fails, the error is returned and the grants are in force nevertheless.
func (d *Dispatcher) ApplyQuotaResponse(response quota.LeaseResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.quotas
	if state == nil {
		return ErrNoQuotas
	}
	at := state.machineClock() // read before the holder's clock, so that the log never overstates a lease
	now := state.clock()
	if err := state.holder.Apply(now, response); err != nil {
		return err
	}
	return state.recordGrants(at, now)
}

// recordGrants writes the grants in force to the quota log.
func (state *quotaState) recordGrants(at, now monotime.Micros) error {
	if state.log == nil {
		return nil
	}
	return state.log.RecordGrants(at, now, state.holder.Status(now))
}

// ReleaseQuotas releases all grants. This process acquires no more units.
func (d *Dispatcher) ReleaseQuotas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.quotas; state != nil {
		state.recordUse(state.clock())
		at := state.machineClock()
		now := state.clock()
		state.holder.Release(now)
		_ = state.recordGrants(at, now) // the process is exiting; the auditor sees that the log ends
	}
}

// QuotaStatus returns the grants in force, or nil without fleet-wide quotas.
func (d *Dispatcher) QuotaStatus() []quota.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return nil
	}
	return d.quotas.holder.Status(d.quotas.clock())
}

// LogQuotaUse writes the units acquired since the last call to the quota log, if there is one.
func (d *Dispatcher) LogQuotaUse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas != nil {
		d.quotas.recordUse(d.quotas.clock())
	}
}

// recordUse writes the units acquired since the last record to the quota log.
func (state *quotaState) recordUse(now monotime.Micros) {
	if state.log != nil {
		// The log is only for the auditor: an error must not affect service, so it is ignored.
		_ = state.log.RecordUse(state.machineClock(), state.holder.Status(now))
	}
}
