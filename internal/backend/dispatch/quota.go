package dispatch

import (
	"fmt"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
)

// quotaState are what fleet-wide budgets add to a gate; nil where there are none. The gate's lock guards them.
type quotaState struct {
	holder         *quota.Holder
	clock          func() quota.Micros // the holder's own
	machineClock   func() int64        // the machine's, for stamps
	budgetOfTenant []int               // by tenant: the budget that it draws from, or -1
	log            *quotalog.Log       // nil where nobody audits
}

// QuotaConfig is what a gate draws from.
type QuotaConfig struct {
	Holder       *quota.Holder
	Tenants      map[string]string   // by tenant: its budget
	Clock        func() quota.Micros // the machine's own, sleep counted; leases are judged by it
	MachineClock func() int64
	Log          *quotalog.Log // for an auditor; may be nil
}

// SetQuotas has the gate draw tenants' work from budgets, from now on. An error names a tenant that this deployment lacks.
func (d *Dispatcher) SetQuotas(s QuotaConfig) error {
	all := &quotaState{holder: s.Holder, clock: s.Clock, machineClock: s.MachineClock, budgetOfTenant: make([]int, len(d.sheet.Tenants)), log: s.Log}
	found := 0
	for i, name := range d.sheet.Tenants {
		all.budgetOfTenant[i] = -1
		if b, ok := s.Tenants[name]; ok {
			all.budgetOfTenant[i] = s.Holder.Index(b)
			found++
		}
	}
	if found < len(s.Tenants) {
		return fmt.Errorf("draw: some tenant of %v is none of this deployment's %v", s.Tenants, d.sheet.Tenants)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quotas = all
	return nil
}

// acquireUnit takes a unit of the tenant's budget for work that comes now. What a level sheds takes none, nor does a repeat.
func (d *Dispatcher) acquireUnit(inv *Invocation, t *Request) admission.QuotaStanding {
	s := d.quotas
	if s == nil || t.shedAdvice > 0 || t.original != "" || inv.Tenant < 0 || inv.Tenant >= len(s.budgetOfTenant) || s.budgetOfTenant[inv.Tenant] < 0 {
		return admission.QuotaUnknown
	}
	if s.holder.TryAcquire(s.clock(), s.budgetOfTenant[inv.Tenant]) {
		t.drawnBudget = s.budgetOfTenant[inv.Tenant]
		return admission.WithinQuota
	}
	return admission.OverQuota
}

// refundUnit lets others of its tenant have the unit that was drawn for work that never ran.
func (d *Dispatcher) refundUnit(t *Request) {
	if t.drawnBudget >= 0 {
		d.quotas.holder.Refund(d.quotas.clock(), t.drawnBudget)
		t.drawnBudget = -1
	}
}

// QuotaRequest makes a question for the ledger; ok is false where there are no budgets.
func (d *Dispatcher) QuotaRequest() (a quota.LeaseRequest, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return a, false
	}
	return d.quotas.holder.NewRequest(d.quotas.clock()), true
}

// ApplyQuotaResponse takes in what the ledger grants.
func (d *Dispatcher) ApplyQuotaResponse(a quota.LeaseResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.quotas
	if s == nil {
		return fmt.Errorf("no budget is drawn from here")
	}
	at := s.machineClock() // before the holder's clock is read: a stamp must not let a lease seem to last longer
	now := s.clock()
	if err := s.holder.Apply(now, a); err != nil {
		return err
	}
	return s.recordHeld(at, now)
}

// recordHeld stamps what is held, if anybody reads that.
func (s *quotaState) recordHeld(at int64, now quota.Micros) error {
	if s.log == nil {
		return nil
	}
	return s.log.RecordHeld(at, now, s.holder.Status(now))
}

// ReleaseQuotas gives all back; it is the last that this process draws.
func (d *Dispatcher) ReleaseQuotas() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.quotas; s != nil {
		s.recordUse(s.clock())
		at := s.machineClock()
		now := s.clock()
		s.holder.Release(now)
		s.recordHeld(at, now)
	}
}

// QuotaStatus are the budgets as they are held; nil where there are none.
func (d *Dispatcher) QuotaStatus() []quota.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas == nil {
		return nil
	}
	return d.quotas.holder.Status(d.quotas.clock())
}

// LogQuotaUse writes down what was drawn since the last time, where somebody audits.
func (d *Dispatcher) LogQuotaUse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quotas != nil {
		d.quotas.recordUse(d.quotas.clock())
	}
}

func (s *quotaState) recordUse(now quota.Micros) {
	if s.log != nil {
		s.log.RecordDrawn(s.machineClock(), s.holder.Status(now))
	}
}
