package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Drain begins a graceful shutdown: the process is stopped after left, and requests that arrive after grace do not run.
// The module counts the deployment's grace from the notice on. If the notice came late, or a second one brings the end
// forward, the dispatcher itself throttles what arrives after that; otherwise the module has ended its grace before. Both
// go by when a request reached the machine, not by when it was read: one that is read late would fall between the two.
func (d *Dispatcher) Drain(left, grace monotime.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	now := Now()
	if end := max(1, now+grace); d.graceEnd == 0 || end < d.graceEnd {
		d.graceEnd = end
	}
	d.stopAt = now + left
	if d.backend != nil {
		d.notifyModule(now)
	}
}

// notifyModule passes the notice to the module, which counts its grace from now on.
func (d *Dispatcher) notifyModule(now monotime.Micros) {
	d.moduleGraceEnd = now + d.moduleConfig(d.settings).DrainGrace
	_ = d.decide(now, admission.DrainNotice{Left: d.stopAt - now})
}
