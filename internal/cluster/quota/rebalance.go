package quota

import (
	"fmt"

	"milletbarrow/internal/failpoint"
)

// demandHeadroomDivisor adds 1/demandHeadroomDivisor to a demand, as room for growth until the next rebalance.
const demandHeadroomDivisor int64 = 8

// claimant is a backend that takes part in a division, with the allocation of its latest process.
type claimant struct {
	backend    InstanceName
	allocation *Allocation
}

// rebalance recomputes the targets of all rates. Grants follow the targets as clients renew their leases.
func (s *State) rebalance(result *Result) {
	for i := range s.Config.Limits {
		if limit := &s.Config.Limits[i]; limit.Kind == Rate {
			s.rebalanceRate(limit, result)
		}
	}
}

func (s *State) rebalanceRate(limit *Limit, result *Result) {
	claimants, claims := s.claims(limit)
	pool := limit.Total - s.totals[limit.Name].reservedFloors
	if failpoint.Enabled(failpoint.FloorsCountedTwice) {
		pool = limit.Total
	}
	targets := MaxMinFair(pool, limit.Step, claims)
	if limit.Division == DivideByDemand {
		targets = Stabilize(pool, limit.Step, claims, targets)
	}
	var (
		moved, largest int64
		largestName    InstanceName
	)
	for i, claimant := range claimants {
		change := max(targets[i]-claimant.allocation.Target, claimant.allocation.Target-targets[i])
		moved += change
		if change > largest {
			largest = change
			largestName = claimant.backend
		}
		claimant.allocation.Target = targets[i]
	}
	if moved > 0 {
		cause := fmt.Sprintf("%d units moved among %d, most at %s (%d)", moved, len(claimants), largestName, largest)
		result.addEvent(Event{Limit: limit.Name, Kind: eventRebalanced, Cause: cause})
	}
}

// claims returns the claimants of a rate with their claims: the latest process of each backend, unless its lease has
// expired. It sets the targets of all other clients to 0.
func (s *State) claims(limit *Limit) (claimants []claimant, claims []Claim) {
	for _, name := range s.totals[limit.Name].eligible {
		latest := s.latestClient(name)
		for _, key := range s.byName[name] {
			allocation := s.Clients[key].Allocations[limit.Name]
			if allocation == nil {
				continue
			}
			if key != latest || allocation.Idle {
				allocation.Target = 0
				continue
			}
			claimants = append(claimants, claimant{backend: name, allocation: allocation})
			claims = append(claims, newClaim(limit, name, allocation))
		}
	}
	return claimants, claims
}

func newClaim(limit *Limit, name InstanceName, allocation *Allocation) Claim {
	claim := Claim{Demand: unlimitedDemand, Weight: 1, Current: allocation.Target}
	switch limit.Division {
	case DivideByDemand:
		headroom := (allocation.Demand + demandHeadroomDivisor - 1) / demandHeadroomDivisor // 0 if there is no demand
		claim.Demand = allocation.Demand + headroom
	case DivideByCapacity:
		if weight := limit.Weights[name]; weight > 0 {
			claim.Weight = weight
		}
	case DivideEvenly:
	}
	return claim
}
