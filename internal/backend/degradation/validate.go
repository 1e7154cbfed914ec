package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
)

// validate reports levels that cannot work: names used twice, exits without hysteresis, entries out of order.
func (p *Policy) validate(errs *sexpr.Errors) {
	seen := map[string]bool{"full": true}
	for i, v := range p.Levels {
		fail := func(what string, args ...any) { errs.Add(v.place, "ladder.level "+v.Name, what, args...) }
		if seen[v.Name] {
			fail("this name stands twice, or is the name of full service")
		}
		seen[v.Name] = true
		shared := false
		for _, out := range v.Exit.Terms {
			in, both := v.Enter.threshold(out.Signal)
			shared = shared || both
			switch {
			case both && out.Value >= in:
				fail("exit: %s below %v lies at or above its entry at %v: it would swing", out.Signal, out.Value, in)
			case both && out.Value > 0.9*in:
				fail("exit: %s below %v is within a tenth of its entry at %v: that is no hysteresis", out.Signal, out.Value, in)
			}
		}
		if !shared && len(v.Enter.Terms) > 0 && len(v.Exit.Terms) > 0 {
			fail("exit: speaks of no signal by which the level is entered: it would be left and entered again at once")
		}
		if !v.Enter.Any && !slices.ContainsFunc(v.Enter.Terms, func(t Term) bool { return t.Signal != WarmingUp && t.Signal != Draining }) {
			fail("enter: is met by every start or stop")
		}
		if i == 0 {
			continue
		}
		milder := p.Levels[i-1]
		for _, t := range v.Enter.Terms {
			if m, both := milder.Enter.threshold(t.Signal); both && t.Value < m {
				fail("enter: %s at %v lies below that of %s at %v: the milder level could not be reached", t.Signal, t.Value, milder.Name, m)
			}
		}
	}
}
