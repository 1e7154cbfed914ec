package simulation

import (
	"fmt"
	"math"
)

// Check returns the first reason why a scenario can't be simulated, as a *ScenarioError, or nil.
func (s *Scenario) Check() error {
	for _, check := range []func() error{s.checkHosts, s.checkEnvironment, s.checkOperations, s.checkRecorded, s.checkFaults} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkHosts checks the duration, the numbers of hosts and nodes, and the configuration of the hosts.
func (s *Scenario) checkHosts() error {
	h, n := &s.Hosts, &s.Nodes
	switch {
	case s.Duration <= 0 || s.Duration > 24*3600*Second:
		return s.invalid("for", "%d us, wanted more than 0 and at most a day", s.Duration)
	case h.Count < 1 || h.Count > MaxHosts:
		return s.invalid("hosts.count", "%d, wanted 1 to %d", h.Count, MaxHosts)
	case n.Count < 1 || n.Count > MaxNodes:
		return s.invalid("nodes.count", "%d, wanted 1 to %d", n.Count, MaxNodes)
	case h.Cores < 1 || h.SpeedSpread < 0 || h.SpeedSpread >= 1 || h.CollapseMultiple < 1:
		return s.invalid("hosts", "cores %d, spread %g, crowd %g", h.Cores, h.SpeedSpread, h.CollapseMultiple)
	case h.DrainGrace >= h.ExitTimeout:
		return s.invalid("hosts.grace", "%d us, wanted less than stop, %d us", h.DrainGrace, h.ExitTimeout)
	case h.MemoryKB < h.RequestKB*h.RunFactor:
		return s.invalid("hosts.memory", "%g KB is too little for one run of %g KB", h.MemoryKB, h.RequestKB*h.RunFactor)
	}
	return nil
}

// checkEnvironment checks the number of operations, the edge nodes, the load and the dependency.
func (s *Scenario) checkEnvironment() error {
	switch {
	case len(s.Operations) == 0 || len(s.Operations) > MaxNames || len(s.Tenants) > MaxNames:
		return s.invalid(
			"operation",
			"%d operations and %d tenants, wanted 1 to %d operations and at most %d tenants",
			len(s.Operations),
			len(s.Tenants),
			MaxNames,
			MaxNames,
		)
	case s.Nodes.RefreshInterval <= 0 || s.Hosts.WarmUp < 0 || s.Nodes.NetworkDelay < 0:
		return s.invalid("nodes.refresh", "refresh must be above 0, and cold-for and net must not be negative")
	case s.Load.Level < 0 || s.Load.Level > 100 || math.IsNaN(s.Load.Level):
		return s.invalid("load.at", "%g of capacity", s.Load.Level)
	case (s.Load.Shape == Wave || s.Load.Shape == Bursty) && s.Load.Period <= 0:
		return s.invalid("load.period", "wanted above 0 for waves and bursts")
	case s.Dependency.Slots < 1 || s.Dependency.Work < 0:
		return s.invalid("below", "%d slots of %d us", s.Dependency.Slots, s.Dependency.Work)
	}
	return nil
}

// invalid returns a *ScenarioError for a field.
func (s *Scenario) invalid(field, format string, args ...any) error {
	return &ScenarioError{Scenario: s.Name, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// checkOperations checks the operations' work, times and shares.
func (s *Scenario) checkOperations() error {
	total := 0.0
	for _, op := range s.Operations {
		total += op.Share
		if op.Work <= 0 || op.Objective <= 0 || op.Timeout < op.Objective || op.Share < 0 {
			return s.invalid(
				"operation "+op.Name,
				"work %d us, objective %d us, timeout %d us, share %g: work above 0, the objective within the timeout",
				op.Work,
				op.Objective,
				op.Timeout,
				op.Share,
			)
		}
	}
	if total <= 0 {
		return s.invalid("operation", "no operation has a share")
	}
	return nil
}

// checkRecorded checks the requests of a recorded load and their order.
func (s *Scenario) checkRecorded() error {
	for i, r := range s.Load.Recorded {
		if r.Operation >= len(s.Operations) || r.Operation < 0 || r.Work <= 0 ||
			i > 0 && r.At < s.Load.Recorded[i-1].At {
			return s.invalid(
				"load.recorded",
				"line %d: operation %d, work %d us, at %d us",
				i+1,
				r.Operation,
				r.Work,
				r.At,
			)
		}
	}
	return nil
}

// checkFaults checks the faults' times, shares, factors and tenants.
func (s *Scenario) checkFaults() error {
	for _, fault := range s.Faults {
		if fault.At < 0 || fault.At > s.Duration || fault.Share < 0 || fault.Share > 1 || fault.Factor < 0 {
			return s.invalid(
				"fault "+fault.Kind.String(),
				"at %d us, share %g, factor %g",
				fault.At,
				fault.Share,
				fault.Factor,
			)
		}
		if fault.Kind == TenantBurst && (fault.Tenant < 0 || fault.Tenant >= len(s.Tenants)) {
			return s.invalid("fault "+fault.Kind.String(), "tenant %d of %d", fault.Tenant, len(s.Tenants))
		}
	}
	return nil
}

// Limits of a scenario. MaxNames applies to operations and to tenants.
const (
	MaxHosts = 20_000
	MaxNodes = 20_000
	MaxNames = 64
)
