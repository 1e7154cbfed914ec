package quota

import (
	"fmt"

	"milletbarrow/internal/failpoint"
)

// claimant is a client's allocation that a division counts on.
type claimant struct {
	backend    InstanceName
	allocation *Allocation
}

// rebalance computes the targets of all rates. Grants follow as holders renew their leases.
func (s *State) rebalance(r *Result) {
	for i := range s.Config.Limits {
		if l := &s.Config.Limits[i]; l.Kind == Rate {
			s.rebalanceRate(l, r)
		}
	}
}

func (s *State) rebalanceRate(l *Limit, r *Result) {
	claimants, claims := s.claims(l)
	pool := l.Total - s.totals[l.Name].reservedFloors
	if failpoint.Enabled(failpoint.FloorsCountedTwice) {
		pool = l.Total
	}
	targets := MaxMinFair(pool, l.Step, claims)
	if l.Division == DivideByDemand {
		targets = Stabilize(pool, l.Step, claims, targets)
	}
	moved, largest, largestName := int64(0), int64(0), InstanceName("")
	for i, c := range claimants {
		by := max(targets[i]-c.allocation.Target, c.allocation.Target-targets[i])
		if moved += by; by > largest {
			largest, largestName = by, c.backend
		}
		c.allocation.Target = targets[i]
	}
	if moved > 0 {
		cause := fmt.Sprintf("%d units moved among %d, most at %s (%d)", moved, len(claimants), largestName, largest)
		r.Events = append(r.Events, Event{Limit: l.Name, Kind: "division", Cause: cause})
	}
}

// claims lists what takes part in the division of a rate: of each backend the latest process, while its lease goes on. The
// targets of all others become zero.
func (s *State) claims(l *Limit) (claimants []claimant, claims []Claim) {
	for _, name := range s.totals[l.Name].eligible {
		latest := s.latestClient(name)
		for _, key := range s.byName[name] {
			a := s.Clients[key].Allocations[l.Name]
			if a == nil {
				continue
			}
			if key != latest || a.Idle {
				a.Target = 0
				continue
			}
			claimants = append(claimants, claimant{name, a})
			claims = append(claims, claimOf(l, name, a))
		}
	}
	return claimants, claims
}

func claimOf(l *Limit, name InstanceName, a *Allocation) Claim {
	c := Claim{Demand: -1, Weight: 1, Current: a.Target}
	switch l.Division {
	case DivideByDemand:
		c.Demand = a.Demand + (a.Demand+7)/8 // an eighth to grow into; no demand stays none
	case DivideByCapacity:
		if w := l.Weights[name]; w > 0 {
			c.Weight = w
		}
	}
	return c
}
