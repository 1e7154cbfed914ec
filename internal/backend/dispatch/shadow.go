package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/shadow"
	"milletbarrow/internal/config"
	"milletbarrow/monotime"
)

// shadowState is the part of a Dispatcher that exists with a shadow configuration. Dispatcher.mu guards it.
type shadowState struct {
	settings  *config.Settings
	evaluator *shadow.Evaluator // nil until Open
}

// SetShadow starts to count the decisions that another configuration would have made differently; nil ends that. No
// action of the shadow is carried out. Requests that are in flight now are not compared.
func (d *Dispatcher) SetShadow(settings *config.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shadow = nil
	if settings == nil {
		return
	}
	d.shadow = &shadowState{settings: settings}
	if d.backend != nil && !d.draining { // a process that shuts down starts no evaluation
		d.startShadow()
	}
}

// startShadow opens the shadow module, if one is configured, with the opening time and warm-up of the primary.
func (d *Dispatcher) startShadow() {
	if state := d.shadow; state != nil {
		state.evaluator = shadow.New(d.moduleConfig(state.settings), d.seed, d.openedAt)
	}
}

// observeShadow passes an event, with the actions that the module decided on, to the shadow.
func (d *Dispatcher) observeShadow(now monotime.Micros, event admission.Event) {
	if d.shadow != nil && d.shadow.evaluator != nil {
		d.shadow.evaluator.Observe(now, event, d.actions)
	}
}

// ShadowCounts returns the differences counted; ok is false without a shadow configuration.
func (d *Dispatcher) ShadowCounts() (counts shadow.Counts, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shadow == nil || d.shadow.evaluator == nil {
		return counts, d.shadow != nil
	}
	return d.shadow.evaluator.Counts(), true
}
