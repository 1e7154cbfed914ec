package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/shadow"
	"milletbarrow/internal/config"
	"milletbarrow/monotime"
)

// shadowState is the state of the evaluation of a shadow configuration. Dispatcher.mu guards it.
type shadowState struct {
	settings  *config.Settings
	evaluator *shadow.Evaluator // nil until Open
}

// SetShadow starts counting the decisions that another configuration would have made differently; nil ends the count.
// No action of the shadow is carried out. Requests that are already in flight are not compared.
func (d *Dispatcher) SetShadow(settings *config.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shadow = nil
	if settings == nil {
		return
	}
	d.shadow = &shadowState{settings: settings}
	if d.backend != nil && !d.draining { // no evaluation is started during a shutdown
		d.startShadow()
	}
}

// startShadow opens the shadow module, if one is configured, with the opening time and the warm-up of the primary
// module.
func (d *Dispatcher) startShadow() {
	if state := d.shadow; state != nil {
		state.evaluator = shadow.New(d.moduleConfig(state.settings), d.seed, d.openedAt)
	}
}

// observeShadow sends an event and the primary module's actions to the shadow module for comparison.
func (d *Dispatcher) observeShadow(now monotime.Micros, event admission.Event) {
	if d.shadow != nil && d.shadow.evaluator != nil {
		d.shadow.evaluator.Observe(now, event, d.actions)
	}
}

// ShadowCounts returns the differences counted so far. ok is false without a shadow configuration.
func (d *Dispatcher) ShadowCounts() (counts shadow.Counts, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shadow == nil || d.shadow.evaluator == nil {
		return counts, d.shadow != nil
	}
	return d.shadow.evaluator.Counts(), true
}
