package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Drain begins a graceful shutdown: the process will be stopped after remaining, and requests that arrive after grace
// are rejected.
//
// The grace period has two ends, because the module counts its configured length from the notice on. The dispatcher's
// end (graceEnd) is earlier if the notice was delayed or a second notice shortens the period; the dispatcher then
// rejects requests that arrive between the two ends. Both ends apply to the time at which a request reached the host,
// not to the time at which it was read, so that a request that is read late cannot fall between them.
func (d *Dispatcher) Drain(remaining, grace monotime.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	now := Now()
	if end := max(1, now+grace); d.graceEnd == 0 || end < d.graceEnd {
		d.graceEnd = end
	}
	d.stopAt = now + remaining
	if d.backend != nil {
		d.notifyModule(now)
	}
}

// notifyModule sends the shutdown notice to the module, whose grace period begins now.
func (d *Dispatcher) notifyModule(now monotime.Micros) {
	d.moduleGraceEnd = now + d.moduleConfig(d.settings).DrainGrace
	_ = d.decide(now, admission.DrainNotice{Left: d.stopAt - now})
}
