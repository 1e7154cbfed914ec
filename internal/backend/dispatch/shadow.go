package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/shadow"
	"milletbarrow/internal/config"
)

// shadowState is what settings that are not acted on add to a gate. The gate's lock guards it.
type shadowState struct {
	sheet     *config.Settings
	evaluator *shadow.Evaluator // nil until the gate is open
}

// SetShadow counts from now on where other settings would have decided otherwise; nil ends it. Nothing that they decide
// leaves the gate. What is in hand now is not compared.
func (d *Dispatcher) SetShadow(sheet *config.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shadow = nil
	if sheet == nil {
		return
	}
	d.shadow = &shadowState{sheet: sheet}
	if d.backend != nil && !d.draining { // a process on its way out watches nothing new
		d.startShadow()
	}
}

// startShadow opens the second instance as the first was opened: one that is still cold is so for both.
func (d *Dispatcher) startShadow() {
	if w := d.shadow; w != nil {
		w.evaluator = shadow.New(d.moduleTerms(w.sheet), d.seed, d.openedAt)
	}
}

// observeShadow tells the second instance of what the first has just decided.
func (d *Dispatcher) observeShadow(now Micros, ev admission.Event) {
	if d.shadow != nil && d.shadow.evaluator != nil {
		d.shadow.evaluator.Observe(now, ev, d.actions)
	}
}

// ShadowCounts has the counts of what is watched; ok is false where nothing is.
func (d *Dispatcher) ShadowCounts() (c shadow.Counts, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shadow == nil || d.shadow.evaluator == nil {
		return c, d.shadow != nil
	}
	return d.shadow.evaluator.Counts(), true
}
