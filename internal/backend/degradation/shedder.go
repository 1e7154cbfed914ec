package degradation

import (
	"math/rand/v2"
	"slices"

	"milletbarrow/monotime"
)

// Shedder decides which requests a level sheds. The number shed follows the fraction closely at any time, while chance
// decides which: no caller is shed each time, and none is always spared. Not safe for concurrent use.
type Shedder struct {
	rules      [][]rule  // by level
	debt       []float64 // by operation: how many requests fewer than its fraction were shed, above -1 and below 1
	pcg        rand.PCG
	operations int
}

type rule struct {
	operations, tenants []bool // nil: all
	rankBelow           float64
	costAbove           monotime.Micros
	share               float64
}

// NewShedder returns a shedder for the operations and tenants of a deployment. A name in the policy that is none of them is
// an *UnknownNameError, since its rule could never match.
func NewShedder(policy *Policy, operations, tenants []string, seed uint64) (*Shedder, error) {
	shedder := &Shedder{debt: make([]float64, len(operations)), pcg: *rand.NewPCG(seed, 3), operations: len(operations)}
	for _, level := range policy.Levels {
		var rules []rule
		for _, r := range level.Shed {
			matchedOperations, unknown := indexSet(r.Operations, operations)
			if unknown != "" {
				return nil, &UnknownNameError{Level: level.Name, Kind: "operation", Name: unknown}
			}
			matchedTenants, unknown := indexSet(r.Tenants, tenants)
			if unknown != "" {
				return nil, &UnknownNameError{Level: level.Name, Kind: "tenant", Name: unknown}
			}
			rules = append(rules, rule{matchedOperations, matchedTenants, r.RankBelow, r.CostAbove, r.Share})
		}
		shedder.rules = append(shedder.rules, rules)
	}
	return shedder, nil
}

// indexSet marks the indices of names in all; nil stands for all of them if there are no names. unknown is the first name
// that is not in all.
func indexSet(names, all []string) (set []bool, unknown string) {
	if len(names) == 0 {
		return nil, ""
	}
	set = make([]bool, len(all))
	for _, name := range names {
		i := slices.Index(all, name)
		if i < 0 {
			return nil, name
		}
		set[i] = true
	}
	return set, ""
}

// ShedFraction is the fraction of requests like this one that a level sheds; depth is that of the level, see
// Controller.Depth. Operations and tenants are indices of the names given to NewShedder; a tenant beyond them matches no
// rule that names tenants.
func (s *Shedder) ShedFraction(level int, depth float64, operation, tenant int, rank float64, cost monotime.Micros) float64 {
	share := 0.0
	for n := range min(level, len(s.rules)) {
		part := 1.0
		if n == level-1 {
			part = depth
		}
		for i := range s.rules[n] {
			r := &s.rules[n][i]
			if (r.operations == nil || r.operations[operation]) && rank < r.rankBelow && cost >= r.costAbove &&
				(r.tenants == nil || tenant < len(r.tenants) && r.tenants[tenant]) {
				share = max(share, part*r.share)
			}
		}
	}
	return share
}

// ShouldShed decides on one request.
func (s *Shedder) ShouldShed(level int, depth float64, operation, tenant int, rank float64, cost monotime.Micros) bool {
	if level == 0 {
		return false
	}
	share := s.ShedFraction(level, depth, operation, tenant, rank, cost)
	if share <= 0 || share >= 1 {
		return share > 0
	}
	owed := &s.debt[operation]
	*owed += share
	if *owed > float64(s.pcg.Uint64()>>11)/(1<<53) {
		*owed--
		return true
	}
	return false
}
