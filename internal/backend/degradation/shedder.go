package degradation

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Shedder says of single invocations whether a level sheds them. A share is drawn so that the part that is shed
// follows it closely at any time, while chance says which: no caller is hit each time, and none goes free.
type Shedder struct {
	rules      [][]rule  // of each level
	debt       []float64 // for each operation: what it is behind its share, above -1 and below 1
	pcg        rand.PCG
	operations int
}

type rule struct {
	operations, tenants []bool // nil: all
	rankBelow           float64
	costAbove           Micros
	share               float64
}

// NewShedder fits a ladder to a deployment; a name that the deployment does not have is an error, as a rule that can
// never match is a mistake.
func NewShedder(l *Policy, operations, tenants []string, seed uint64) (*Shedder, error) {
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
	for _, v := range l.Levels {
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

// ShedFraction of what is like this invocation that the level sheds; depth is of the level itself, see Mover. Numbers of
// operations and tenants are those of the names given to NewDrawer; a tenant beyond them matches no rule that
// names tenants.
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

// ShouldShed draws for one invocation.
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
