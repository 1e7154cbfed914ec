package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
)

// minHysteresis is the least distance of an exit from the entry by the same signal, as a fraction of the entry.
const minHysteresis = 0.1

// failFunc reports a fault of a level.
type failFunc func(format string, args ...any)

// validate reports levels that cannot work: duplicate names, exits without hysteresis, entries out of order.
func (p *Policy) validate(errs *sexpr.Errors) {
	seen := map[string]bool{}
	for i := range p.Levels {
		level := &p.Levels[i]
		fail := func(format string, args ...any) {
			errs.Add(level.place, "degradation.level "+level.Name, format, args...)
		}
		switch {
		case level.Name == fullService:
			fail("name %q is reserved for full service", fullService)
		case seen[level.Name]:
			fail("duplicate level name %q", level.Name)
		}
		seen[level.Name] = true
		level.validateExit(fail)
		level.validateEntry(fail)
		if i > 0 {
			level.validateOrder(&p.Levels[i-1], fail)
		}
	}
}

// validateExit reports an exit that makes the level oscillate.
func (l *Level) validateExit(fail failFunc) {
	shared := false
	for _, exit := range l.Exit.Terms {
		entry, both := l.Enter.threshold(exit.Signal)
		if !both {
			continue
		}
		shared = true
		maxExit := (1 - minHysteresis) * entry
		switch {
		case exit.Value >= entry:
			fail("exit: %s below %v is not below the entry at %v: the level would oscillate",
				exit.Signal.policyName(), exit.Value, entry)
		case exit.Value > maxExit:
			fail("exit: %s below %v is too close to the entry at %v, wanted at most %.4g",
				exit.Signal.policyName(), exit.Value, entry, maxExit)
		}
	}
	if !shared && len(l.Enter.Terms) > 0 && len(l.Exit.Terms) > 0 {
		fail("exit: compares no signal of the entry: the level would be left and entered again at once")
	}
}

// validateEntry reports an entry that needs no overload.
func (l *Level) validateEntry(fail failFunc) {
	needsOverload := slices.ContainsFunc(l.Enter.Terms, func(term Term) bool {
		return term.Signal != WarmingUp && term.Signal != Draining
	})
	if !l.Enter.Any && !needsOverload {
		fail("enter: compares no signal other than %s and %s: every start and stop would meet it",
			WarmingUp.policyName(), Draining.policyName())
	}
}

// validateOrder reports an entry below that of the next milder level, which could then not be reached.
func (l *Level) validateOrder(milder *Level, fail failFunc) {
	for _, term := range l.Enter.Terms {
		if entry, both := milder.Enter.threshold(term.Signal); both && term.Value < entry {
			fail("enter: %s at %v is below the entry of the milder level %s, wanted at least %v",
				term.Signal.policyName(), term.Value, milder.Name, entry)
		}
	}
}
