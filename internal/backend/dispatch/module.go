package dispatch

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// decide sends an event to the module and carries out the actions that the module returns. A panic in the module is
// logged and returned as a *PanicError. Requests in flight stay in flight and are answered when they are overdue.
func (d *Dispatcher) decide(now monotime.Micros, event admission.Event) (err error) {
	if d.backend == nil {
		return nil
	}
	defer func() {
		if r := recover(); r != nil {
			d.counts.Panics++
			err = &PanicError{Value: r}
			slog.Error("internal_error", "in", fmt.Sprintf("%T", event), "text", err, "stack", string(debug.Stack()))
		}
	}()
	d.actions = d.backend.Decide(now, event, d.actions[:0])
	for _, action := range d.actions {
		d.perform(action)
	}
	d.observeShadow(now, event)
	d.answerRepeats()
	return nil
}

// perform carries out one action of the module.
func (d *Dispatcher) perform(action admission.Action) {
	switch a := action.(type) {
	case admission.Start:
		d.start(a.ID)
	case admission.Throttle:
		if req := d.inFlight[a.ID]; req != nil {
			d.respond(req, Response{Verdict: Throttled, RetryAfter: a.RetryAfter, DontRetry: a.DontRetry})
		}
	case admission.Fail:
		if req := d.inFlight[a.ID]; req != nil {
			d.respond(req, Response{Verdict: Errored})
		}
	case admission.Remember:
		d.addToCache(a)
	case admission.Forget:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(a.ID)...)
	case admission.Reuse:
		d.awaitOriginal(a.ID)
	case admission.SetHealth:
		d.setHealth(a.Good)
	case admission.CloseIdle:
		d.idleTimeout = a.After
		slog.Info("connection idle timeout set", "after_us", a.After)
	case admission.Wake:
		d.nextTick, d.timerToken = a.At, a.Token
	case admission.Log:
		slog.Info("message from the admission module", "text", a.Text)
	default: // unreachable: the configuration rejects deployments that need other actions
		slog.Error("internal_error", "in", fmt.Sprintf("%T", action),
			"text", "the dispatcher does not support this action")
	}
}

// setHealth sets whether health checks succeed, and logs a change.
func (d *Dispatcher) setHealth(good bool) {
	if d.healthy != good {
		d.healthy = good
		slog.Info("health", "good", good)
	}
}

// start admits a request, at most once and only if it has not been answered.
func (d *Dispatcher) start(id string) {
	if req := d.inFlight[id]; req != nil && !req.running && !req.answered {
		req.running = true
		d.counts.Started++
		req.responses <- Response{Verdict: Admitted}
	}
}
