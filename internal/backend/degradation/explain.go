package degradation

import (
	"fmt"
	"strings"
	"time"

	"milletbarrow/monotime"
)

// Explain describes in words what the policy does.
func (p *Policy) Explain() string {
	var b strings.Builder
	span := func(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
	fmt.Fprintf(&b, "ladder %s: %d levels; at most one change of a level in %v, a collapse excepted; a level is left over %v\n",
		p.Name, len(p.Levels), span(p.ChangeInterval), span(p.RecoveryRamp))
	for i, level := range p.Levels {
		fmt.Fprintf(&b, "%d. %s\n   entered when %s\n   left when %s, after %v at least\n", i+1, level.Name,
			level.Enter.describe("at or above"), level.Exit.describe("below"), span(level.MinDuration))
		for _, r := range level.Shed {
			fmt.Fprintf(&b, "   sheds %s\n", r.describe())
		}
	}
	return b.String()
}

func (c Condition) describe(how string) string {
	parts := make([]string, 0, len(c.Terms))
	for _, t := range c.Terms {
		text := fmt.Sprintf("%s is %s %v", t.Signal, how, t.Value)
		if t.For > 0 {
			text += fmt.Sprintf(" for %v", time.Duration(t.For)*time.Microsecond)
		}
		parts = append(parts, text)
	}
	if c.Any {
		return strings.Join(parts, ", or ")
	}
	return strings.Join(parts, ", and ")
}

func (r Rule) describe() string {
	parts := []string{"everything"}
	if r.Share < 1 {
		parts[0] = fmt.Sprintf("%.0f%% of everything", 100*r.Share)
	}
	if len(r.Operations) > 0 {
		parts = append(parts, "of "+strings.Join(r.Operations, ", "))
	}
	if len(r.Tenants) > 0 {
		parts = append(parts, "from "+strings.Join(r.Tenants, ", "))
	}
	if r.RankBelow < 1 {
		parts = append(parts, fmt.Sprintf("of a rank below %v", r.RankBelow))
	}
	if r.CostAbove > 0 {
		parts = append(parts, fmt.Sprintf("with more than %v of work to expect", time.Duration(r.CostAbove)*time.Microsecond))
	}
	return strings.Join(parts, " ")
}
