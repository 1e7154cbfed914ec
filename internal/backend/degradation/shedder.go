package degradation

import (
	"math/rand/v2"
	"slices"

	"milletbarrow/monotime"
)

// shedderStream is the second PCG seed of a Shedder. It makes the random numbers independent of those that other
// packages derive from the same first seed.
const shedderStream = 3

// Shedder decides which requests a level sheds. For each operation it keeps the number of requests shed close to the
// requested fraction by carrying over the deficit, and compares the deficit with a random number, so that no caller
// with a regular pattern is always or never shed. It is not safe for concurrent use.
type Shedder struct {
	rules   [][]compiledRule // by level
	deficit []float64        // by operation: requests due to be shed minus requests shed, above -1 and below 1
	pcg     rand.PCG
}

// compiledRule is a Rule with indices in place of names.
type compiledRule struct {
	operations []bool          // by index; nil: all
	tenants    []bool          // by index; nil: all
	rankBelow  float64         // upper bound of the priority, exclusive; 1: all
	costAbove  monotime.Micros // lower bound of the expected work, inclusive; 0: all
	share      float64         // fraction to shed, above 0 and at most 1
}

// NewShedder returns a shedder for the operations and tenants of a deployment. It returns an *UnknownNameError if the
// policy names any other operation or tenant, as such a rule could never match.
func NewShedder(policy *Policy, operations, tenants []string, seed uint64) (*Shedder, error) {
	shedder := &Shedder{
		deficit: make([]float64, len(operations)),
		pcg:     *rand.NewPCG(seed, shedderStream),
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

// compileRules resolves the names in the rules of a level. An error is an *UnknownNameError.
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

// indexSet returns the set of the indices of names in all, or nil, which stands for the full set, if names is empty.
// unknown is the first name that is not in all, or "".
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

// matches reports whether the rule applies to a request with these properties.
func (r *compiledRule) matches(operation, tenant int, rank float64, cost monotime.Micros) bool {
	return (r.operations == nil || r.operations[operation]) &&
		rank < r.rankBelow &&
		cost >= r.costAbove &&
		(r.tenants == nil || tenant < len(r.tenants) && r.tenants[tenant])
}

// ShedFraction returns the fraction of requests with the given properties that a level sheds; depth is that of
// Controller.Depth. Operation and tenant are indices into the names passed to NewShedder. A tenant index beyond them
// matches no rule that names tenants.
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

// ShouldShed decides whether to shed one request. The parameters are those of ShedFraction.
func (s *Shedder) ShouldShed(level int, depth float64, operation, tenant int, rank float64, cost monotime.Micros) bool {
	if level == 0 {
		return false
	}
	fraction := s.ShedFraction(level, depth, operation, tenant, rank, cost)
	if fraction <= 0 || fraction >= 1 {
		return fraction > 0
	}
	deficit := &s.deficit[operation]
	*deficit += fraction
	if *deficit > s.uniform() {
		*deficit--
		return true
	}
	return false
}

// uniform returns a random number in [0, 1).
func (s *Shedder) uniform() float64 {
	const (
		mantissaBits = 53 // of a float64
		unusedBits   = 64 - mantissaBits
	)
	return float64(s.pcg.Uint64()>>unusedBits) / (1 << mantissaBits)
}
