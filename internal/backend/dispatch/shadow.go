package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/shadow"
	"milletbarrow/internal/config"
	"milletbarrow/monotime"
)

// shadowState is what a shadow configuration adds to a dispatcher, guarded by its lock.
type shadowState struct {
	settings  *config.Settings
	evaluator *shadow.Evaluator // nil until Open
}

// SetShadow counts from now on where another configuration would have decided otherwise; nil ends it. No action of the
// shadow's is carried out. Requests that are in flight now are not compared.
func (d *Dispatcher) SetShadow(settings *config.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shadow = nil
	if settings == nil {
		return
	}
	d.shadow = &shadowState{settings: settings}
	if d.backend != nil && !d.draining { // a process that shuts down evaluates nothing new
		d.startShadow()
	}
}

// startShadow opens the shadow module as the first was opened: an executor that warms up does so for both.
func (d *Dispatcher) startShadow() {
	if state := d.shadow; state != nil {
		state.evaluator = shadow.New(d.moduleConfig(state.settings), d.seed, d.openedAt)
	}
}

// observeShadow passes an event and the actions decided on it to the shadow.
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
