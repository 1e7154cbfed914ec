package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/shadow"
	"milletbarrow/internal/config"
)

// watched is what settings that are not acted on add to a gate. The gate's lock guards it.
type watched struct {
	sheet   *config.Settings
	watcher *shadow.Evaluator // nil until the gate is open
}

// SetShadow counts from now on where other settings would have decided otherwise; nil ends it. Nothing that they decide
// leaves the gate. What is in hand now is not compared.
func (g *Dispatcher) SetShadow(sheet *config.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched = nil
	if sheet == nil {
		return
	}
	g.watched = &watched{sheet: sheet}
	if g.backend != nil && !g.drained { // a process on its way out watches nothing new
		g.openWatch()
	}
}

// openWatch opens the second instance as the first was opened: one that is still cold is so for both.
func (g *Dispatcher) openWatch() {
	if w := g.watched; w != nil {
		w.watcher = shadow.New(g.terms(w.sheet), g.seed, g.opened)
	}
}

// saw tells the second instance of what the first has just decided.
func (g *Dispatcher) saw(now Micros, ev admission.Event) {
	if g.watched != nil && g.watched.watcher != nil {
		g.watched.watcher.Observe(now, ev, g.acts)
	}
}

// ShadowCounts has the counts of what is watched; ok is false where nothing is.
func (g *Dispatcher) ShadowCounts() (c shadow.Counts, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watched == nil || g.watched.watcher == nil {
		return c, g.watched != nil
	}
	return g.watched.watcher.Counts(), true
}
