package degradation

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	costAbove           Micros
	share               float64
}

// NewShedder returns a shedder for the operations and tenants of a deployment. A name in the policy that is none of them is
// an error, since its rule could never match.
func NewShedder(policy *Policy, operations, tenants []string, seed uint64) (*Shedder, error) {
	d := &Shedder{debt: make([]float64, len(operations)), pcg: *rand.NewPCG(seed, 3), operations: len(operations)}
	mark := func(what string, names, all []string) ([]bool, error) {
		if len(names) == 0 {
			return nil, nil
		}
		set := make([]bool, len(all))
		for _, n := range names {
			i := slices.Index(all, n)
			if i < 0 {
				return nil, fmt.Errorf("%s %q: the deployment has none of this name", what, n)
			}
			set[i] = true
		}
		return set, nil
	}
	for _, v := range policy.Levels {
		var rules []rule
		for _, r := range v.Shed {
			ops, err := mark("operation", r.Operations, operations)
			if err != nil {
				return nil, fmt.Errorf("level %s: %w", v.Name, err)
			}
			ten, err := mark("tenant", r.Tenants, tenants)
			if err != nil {
				return nil, fmt.Errorf("level %s: %w", v.Name, err)
			}
			rules = append(rules, rule{ops, ten, r.RankBelow, r.CostAbove, r.Share})
		}
		d.rules = append(d.rules, rules)
	}
	return d, nil
}

// ShedFraction is the fraction of requests like this one that a level sheds; depth is that of the level, see
// Controller.Depth. Operations and tenants are indices of the names given to NewShedder; a tenant beyond them matches no
// rule that names tenants.
func (d *Shedder) ShedFraction(level int, depth float64, operation, tenant int, rank float64, cost Micros) float64 {
	share := 0.0
	for n := range min(level, len(d.rules)) {
		part := 1.0
		if n == level-1 {
			part = depth
		}
		for i := range d.rules[n] {
			r := &d.rules[n][i]
			if (r.operations == nil || r.operations[operation]) && rank < r.rankBelow && cost >= r.costAbove &&
				(r.tenants == nil || tenant < len(r.tenants) && r.tenants[tenant]) {
				share = max(share, part*r.share)
			}
		}
	}
	return share
}

// ShouldShed decides on one request.
func (d *Shedder) ShouldShed(level int, depth float64, operation, tenant int, rank float64, cost Micros) bool {
	if level == 0 {
		return false
	}
	share := d.ShedFraction(level, depth, operation, tenant, rank, cost)
	if share <= 0 || share >= 1 {
		return share > 0
	}
	owed := &d.debt[operation]
	*owed += share
	if *owed > float64(d.pcg.Uint64()>>11)/(1<<53) {
		*owed--
		return true
	}
	return false
}
