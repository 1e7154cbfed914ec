package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Drain begins a graceful shutdown: the process is stopped after left, and requests that arrive after grace do not run.
//
// There are two ends of the grace period, because the module counts the deployment's full one from the notice on. The
// dispatcher's (graceEnd) is earlier if the notice came late or a second one brings the end forward; it then rejects
// what arrives between the two. Both compare the time at which a request reached the host, not at which it was read, so
// that a request that is read late cannot fall between them.
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

// notifyModule passes the shutdown notice to the module, whose grace period begins now.
func (d *Dispatcher) notifyModule(now monotime.Micros) {
	d.moduleGraceEnd = now + d.moduleConfig(d.settings).DrainGrace
	_ = d.decide(now, admission.DrainNotice{Left: d.stopAt - now})
}
