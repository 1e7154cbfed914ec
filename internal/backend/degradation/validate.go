package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
)

// minHysteresis is the least distance between the exit and entry thresholds of a signal, as a fraction of the entry
// threshold.
const minHysteresis = 0.1

// failFunc reports an invalid setting of a level.
type failFunc func(format string, args ...any)

// validate reports levels with duplicate or reserved names, too little hysteresis, entry conditions that do not require
// overload, or entry thresholds out of order.
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

// validateExit reports an exit condition that would make the level oscillate.
func (l *Level) validateExit(fail failFunc) {
	sharesSignal := false
	for _, exit := range l.Exit.Terms {
		entry, inEntry := l.Enter.threshold(exit.Signal)
		if !inEntry {
			continue
		}
		sharesSignal = true
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
	if !sharesSignal && len(l.Enter.Terms) > 0 && len(l.Exit.Terms) > 0 {
		fail("exit: compares no signal of the entry: the level would be left and entered again at once")
	}
}

// validateEntry reports an entry condition that is met without overload, during each start or shutdown.
func (l *Level) validateEntry(fail failFunc) {
	needsOverload := slices.ContainsFunc(l.Enter.Terms, func(term Term) bool {
		return term.Signal != WarmingUp && term.Signal != Draining
	})
	if !l.Enter.Any && !needsOverload {
		fail("enter: compares no signal other than %s and %s: every start and stop would meet it",
			WarmingUp.policyName(), Draining.policyName())
	}
}

// validateOrder reports an entry threshold below that of the next milder level, which would make that level
// unreachable.
func (l *Level) validateOrder(milder *Level, fail failFunc) {
	for _, term := range l.Enter.Terms {
		if entry, inMilder := milder.Enter.threshold(term.Signal); inMilder && term.Value < entry {
			fail("enter: %s at %v is below the entry of the milder level %s, wanted at least %v",
				term.Signal.policyName(), term.Value, milder.Name, entry)
		}
	}
}
