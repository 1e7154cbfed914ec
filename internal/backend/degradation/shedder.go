package degradation

import (
	"math/rand/v2"
	"slices"

	"milletbarrow/monotime"
)

// shedderStream is the second seed of a Shedder's random numbers, which keeps them apart from those of other parts with
// the same seed.
const shedderStream = 3

// Shedder decides which requests a level sheds. The number of requests shed follows the fraction closely at any time,
// while chance decides which: no caller is shed each time, and none is always spared. It is not safe for concurrent
// use.
type Shedder struct {
	rules [][]compiledRule // by level
	debt  []float64        // by operation: requests fewer than its fraction that were shed, above -1 and below 1
	pcg   rand.PCG
}

// compiledRule is a Rule with names replaced by indices.
type compiledRule struct {
	operations []bool          // by index; nil: all
	tenants    []bool          // by index; nil: all
	rankBelow  float64         // 1: all ranks
	costAbove  monotime.Micros // expected work; 0: any
	share      float64         // fraction to shed, above 0, at most 1
}

// NewShedder returns a shedder for the operations and tenants of a deployment. A name in the policy that is none of
// them is an *UnknownNameError, as its rule could never match.
func NewShedder(policy *Policy, operations, tenants []string, seed uint64) (*Shedder, error) {
	shedder := &Shedder{
		debt: make([]float64, len(operations)),
		pcg:  *rand.NewPCG(seed, shedderStream),
	}
	for _, level := range policy.Levels {
		rules, err := compileRules(level, operations, tenants)
		if err != nil {
			return nil, err
		}
		shedder.rules = append(shedder.rules, rules)
	}
	return shedder, nil
}

// compileRules compiles the rules of a level. An error is an *UnknownNameError.
func compileRules(level Level, operations, tenants []string) ([]compiledRule, error) {
	rules := make([]compiledRule, 0, len(level.Shed))
	for _, rule := range level.Shed {
		matchedOperations, unknown := indexSet(rule.Operations, operations)
		if unknown != "" {
			return nil, &UnknownNameError{Level: level.Name, Kind: "operation", Name: unknown}
		}
		matchedTenants, unknown := indexSet(rule.Tenants, tenants)
		if unknown != "" {
			return nil, &UnknownNameError{Level: level.Name, Kind: "tenant", Name: unknown}
		}
		rules = append(rules, compiledRule{
			operations: matchedOperations,
			tenants:    matchedTenants,
			rankBelow:  rule.RankBelow,
			costAbove:  rule.CostAbove,
			share:      rule.Share,
		})
	}
	return rules, nil
}

// indexSet marks the indices of names in all; nil stands for all of them if there are no names. unknown is the first
// name that is not in all.
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

// matches reports whether the rule sheds requests of this kind.
func (r *compiledRule) matches(operation, tenant int, rank float64, cost monotime.Micros) bool {
	return (r.operations == nil || r.operations[operation]) &&
		rank < r.rankBelow &&
		cost >= r.costAbove &&
		(r.tenants == nil || tenant < len(r.tenants) && r.tenants[tenant])
}

// ShedFraction returns the fraction of requests of one kind that a level sheds; depth is that of the level, see
// Controller.Depth. Operations and tenants are indices of the names given to NewShedder; a tenant beyond them matches
// no rule that names tenants.
func (s *Shedder) ShedFraction(level int, depth float64, operation, tenant int, rank float64, cost monotime.Micros,

) float64 {
	fraction := 0.0
	for n := range min(level, len(s.rules)) {
		ruleDepth := 1.0
		if n == level-1 {
			ruleDepth = depth
		}
		for i := range s.rules[n] {
			rule := &s.rules[n][i]
			if rule.matches(operation, tenant, rank, cost) {
				fraction = max(fraction, ruleDepth*rule.share)
			}
		}
	}
	return fraction
}

// ShouldShed decides whether to shed one request. Its parameters are those of ShedFraction.
func (s *Shedder) ShouldShed(level int, depth float64, operation, tenant int, rank float64, cost monotime.Micros) bool {
	if level == 0 {
		return false
	}
	fraction := s.ShedFraction(level, depth, operation, tenant, rank, cost)
	if fraction <= 0 || fraction >= 1 {
		return fraction > 0
	}
	debt := &s.debt[operation]
	*debt += fraction
	if *debt > s.uniform() {
		*debt--
		return true
	}
	return false
}

// uniform draws a number from 0 to 1, without 1.
func (s *Shedder) uniform() float64 {
	const (
		mantissaBits = 53 // of a float64
		surplusBits  = 64 - mantissaBits
	)
	return float64(s.pcg.Uint64()>>surplusBits) / (1 << mantissaBits)
}
