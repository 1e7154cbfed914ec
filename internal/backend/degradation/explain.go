package degradation

import (
	"fmt"
	"strings"
)

// percent converts a fraction to a percentage.
const percent = 100

// Explain describes the policy in sentences for operators.
func (p *Policy) Explain() string {
	var b strings.Builder
	fmt.Fprintf(&b, "degradation %s: %d levels; ", p.Name, len(p.Levels))
	fmt.Fprintf(&b, "a level changes at most once in %v, except in a collapse; ", p.ChangeInterval.Duration())
	fmt.Fprintf(&b, "recovery ramp %v\n", p.RecoveryRamp.Duration())
	for i, level := range p.Levels {
		fmt.Fprintf(&b, "%d. %s\n", i+1, level.Name)
		fmt.Fprintf(&b, "   entered when %s\n", level.Enter.describe("at or above"))
		fmt.Fprintf(&b, "   left when %s, after %v at least\n",
			level.Exit.describe("below"), level.MinDuration.Duration())
		for _, rule := range level.Shed {
			fmt.Fprintf(&b, "   sheds %s\n", rule.describe())
		}
	}
	return b.String()
}

// describe formats a condition; comparison is how its terms compare signal and value, such as "below".
func (c Condition) describe(comparison string) string {
	parts := make([]string, 0, len(c.Terms))
	for _, term := range c.Terms {
		text := fmt.Sprintf("%s is %s %v", term.Signal.policyName(), comparison, term.Value)
		if term.For > 0 {
			text += fmt.Sprintf(" for %v", term.For.Duration())
		}
		parts = append(parts, text)
	}
	if c.Any {
		return strings.Join(parts, ", or ")
	}
	return strings.Join(parts, ", and ")
}

// describe formats the set of requests that the rule sheds.
func (r Rule) describe() string {
	parts := []string{"all requests"}
	if r.Share < 1 {
		parts[0] = fmt.Sprintf("%.0f%% of requests", percent*r.Share)
	}
	if len(r.Operations) > 0 {
		parts = append(parts, "for operation "+strings.Join(r.Operations, ", "))
	}
	if len(r.Tenants) > 0 {
		parts = append(parts, "from tenant "+strings.Join(r.Tenants, ", "))
	}
	if r.RankBelow < 1 {
		parts = append(parts, fmt.Sprintf("with a priority below %v", r.RankBelow))
	}
	if r.CostAbove > 0 {
		parts = append(parts, fmt.Sprintf("with expected work above %v", r.CostAbove.Duration()))
	}
	return strings.Join(parts, " ")
}
