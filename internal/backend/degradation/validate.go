package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
)

// minHysteresis is the least distance of an exit from the entry by the same signal, as a fraction of the entry.
const minHysteresis = 0.1

// validate reports levels that cannot work: names used twice, exits without hysteresis, entries out of order.
func (p *Policy) validate(errs *sexpr.Errors) {
	seen := map[string]bool{"full": true}
	for i := range p.Levels {
		level := &p.Levels[i]
		fail := func(problem string, args ...any) {
			errs.Add(level.place, "ladder.level "+level.Name, problem, args...)
		}
		if seen[level.Name] {
			fail("this name stands twice, or is the name of full service")
		}
		seen[level.Name] = true
		level.validateExit(fail)
		level.validateEntry(fail)
		if i > 0 {
			level.validateOrder(&p.Levels[i-1], fail)
		}
	}
}

// validateExit reports an exit that would have the level oscillate.
func (l *Level) validateExit(fail func(string, ...any)) {
	shared := false
	for _, exit := range l.Exit.Terms {
		entry, both := l.Enter.threshold(exit.Signal)
		shared = shared || both
		switch {
		case both && exit.Value >= entry:
			fail("exit: %s below %v lies at or above its entry at %v: it would swing", exit.Signal, exit.Value, entry)
		case both && exit.Value > (1-minHysteresis)*entry:
			fail("exit: %s below %v is within a tenth of its entry at %v: that is no hysteresis", exit.Signal, exit.Value, entry)
		}
	}
	if !shared && len(l.Enter.Terms) > 0 && len(l.Exit.Terms) > 0 {
		fail("exit: speaks of no signal by which the level is entered: it would be left and entered again at once")
	}
}

// validateEntry reports an entry that needs no overload.
func (l *Level) validateEntry(fail func(string, ...any)) {
	needsOverload := slices.ContainsFunc(l.Enter.Terms, func(t Term) bool { return t.Signal != WarmingUp && t.Signal != Draining })
	if !l.Enter.Any && !needsOverload {
		fail("enter: is met by every start or stop")
	}
}

// validateOrder reports an entry that lies below that of the next milder level.
func (l *Level) validateOrder(milder *Level, fail func(string, ...any)) {
	for _, t := range l.Enter.Terms {
		if entry, both := milder.Enter.threshold(t.Signal); both && t.Value < entry {
			fail("enter: %s at %v lies below that of %s at %v: the milder level could not be reached", t.Signal, t.Value, milder.Name, entry)
		}
	}
}
