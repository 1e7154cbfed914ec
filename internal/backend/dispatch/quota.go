package dispatch

import (
	"fmt"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
)

// shares are what fleet-wide budgets add to a gate; nil where there are none. The gate's lock guards them.
type shares struct {
	holder  *quota.Holder
	clock   func() quota.Micros // the holder's own
	machine func() int64        // the machine's, for stamps
	tenants []int               // by tenant: the budget that it draws from, or -1
	stamps  *quotalog.Log       // nil where nobody audits
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
func (g *Dispatcher) SetQuotas(s QuotaConfig) error {
	all := &shares{holder: s.Holder, clock: s.Clock, machine: s.MachineClock, tenants: make([]int, len(g.sheet.Tenants)), stamps: s.Log}
	found := 0
	for i, name := range g.sheet.Tenants {
		all.tenants[i] = -1
		if b, ok := s.Tenants[name]; ok {
			all.tenants[i] = s.Holder.Index(b)
			found++
		}
	}
	if found < len(s.Tenants) {
		return fmt.Errorf("draw: some tenant of %v is none of this deployment's %v", s.Tenants, g.sheet.Tenants)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares = all
	return nil
}

// draw takes a unit of the tenant's budget for work that comes now. What a level sheds takes none, nor does a repeat.
func (g *Dispatcher) draw(inv *Invocation, t *Request) admission.QuotaStanding {
	s := g.shares
	if s == nil || t.shed > 0 || t.earlier != "" || inv.Tenant < 0 || inv.Tenant >= len(s.tenants) || s.tenants[inv.Tenant] < 0 {
		return admission.QuotaUnknown
	}
	if s.holder.TryAcquire(s.clock(), s.tenants[inv.Tenant]) {
		t.drew = s.tenants[inv.Tenant]
		return admission.WithinQuota
	}
	return admission.OverQuota
}

// giveBack lets others of its tenant have the unit that was drawn for work that never ran.
func (g *Dispatcher) giveBack(t *Request) {
	if t.drew >= 0 {
		g.shares.holder.Refund(g.shares.clock(), t.drew)
		t.drew = -1
	}
}

// QuotaRequest makes a question for the ledger; ok is false where there are no budgets.
func (g *Dispatcher) QuotaRequest() (a quota.LeaseRequest, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shares == nil {
		return a, false
	}
	return g.shares.holder.NewRequest(g.shares.clock()), true
}

// ApplyQuotaResponse takes in what the ledger grants.
func (g *Dispatcher) ApplyQuotaResponse(a quota.LeaseResponse) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.shares
	if s == nil {
		return fmt.Errorf("no budget is drawn from here")
	}
	at := s.machine() // before the holder's clock is read: a stamp must not let a lease seem to last longer
	now := s.clock()
	if err := s.holder.Apply(now, a); err != nil {
		return err
	}
	return s.have(at, now)
}

// have stamps what is held, if anybody reads that.
func (s *shares) have(at int64, now quota.Micros) error {
	if s.stamps == nil {
		return nil
	}
	return s.stamps.RecordHeld(at, now, s.holder.Status(now))
}

// ReleaseQuotas gives all back; it is the last that this process draws.
func (g *Dispatcher) ReleaseQuotas() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.shares; s != nil {
		s.stampDrawn(s.clock())
		at := s.machine()
		now := s.clock()
		s.holder.Release(now)
		s.have(at, now)
	}
}

// QuotaStatus are the budgets as they are held; nil where there are none.
func (g *Dispatcher) QuotaStatus() []quota.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shares == nil {
		return nil
	}
	return g.shares.holder.Status(g.shares.clock())
}

// LogQuotaUse writes down what was drawn since the last time, where somebody audits.
func (g *Dispatcher) LogQuotaUse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shares != nil {
		g.shares.stampDrawn(g.shares.clock())
	}
}

func (s *shares) stampDrawn(now quota.Micros) {
	if s.stamps != nil {
		s.stamps.RecordDrawn(s.machine(), s.holder.Status(now))
	}
}
