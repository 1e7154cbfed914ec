package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/monotime"
)

// identify sets the idempotency key of a request and looks up the original that it repeats. keyed reports whether the
// operation uses idempotency keys.
func (d *Dispatcher) identify(inv *Invocation, req *Request) (keyed bool) {
	operations := d.settings.Admission.Operations
	if inv.Operation >= len(operations) || operations[inv.Operation].RetrySafety != admission.IdempotencyKeyed {
		return false
	}
	req.key = idempotency.Key{Operation: inv.Operation, Tenant: inv.Tenant, Token: inv.IdempotencyKey}
	arrivedAt := min(inv.ArrivedAt, Now()) // ArrivedAt is in the future if the wall clock was set back
	req.original = d.results.Find(req.key, arrivedAt)
	return true
}

// MayHaveRun reports whether a request with the same ID or the same idempotency key is in flight or has run here, so
// that no other backend may run it.
func (d *Dispatcher) MayHaveRun(inv Invocation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDuplicateID(inv.ID) {
		return true
	}
	var req Request
	return d.identify(&inv, &req) && req.original != ""
}

// maxReadDelay returns the longest useful delay between the arrival of a request and the time it is read. A request
// that is read later has timed out at its caller.
func (d *Dispatcher) maxReadDelay() (longest monotime.Micros) {
	for _, op := range d.settings.Admission.Operations {
		longest = max(longest, op.ClientTimeout)
	}
	return longest + d.settings.Admission.AnswerSlack
}

// recentIDRetention returns how long the ID of a non-idempotent request is kept after its run. A request with the same
// ID may arrive until the caller of the first would have timed out, and be read as much later.
func (d *Dispatcher) recentIDRetention() monotime.Micros {
	const arrivalAndRead = 2
	return arrivalAndRead * d.maxReadDelay()
}

// addToCache adds a request to the result cache for the time that the module sets, plus AnswerSlack for the difference
// between the caller's clock and this one.
func (d *Dispatcher) addToCache(a admission.Remember) {
	if req := d.inFlight[a.ID]; req != nil {
		d.results.Remember(a.ID, req.key, Now()+a.For+d.settings.Admission.AnswerSlack)
	}
}

// awaitOriginal makes a repeat wait for its original, or marks the repeat as ready if the original has ended.
func (d *Dispatcher) awaitOriginal(id string) {
	req := d.inFlight[id]
	if req == nil || req.answered {
		return
	}
	if completed := d.results.AddWaiter(req.original, id); completed {
		d.readyRepeats = append(d.readyRepeats, id)
	}
}

// recordResult caches the outcome of a run for its repeats. A request that never ran is evicted, so that the next
// request with its key runs.
func (d *Dispatcher) recordResult(req *Request, outcome Outcome, result []byte) {
	switch {
	case req.key.Token == "":
	case outcome == NeverRan || outcome == Unrunnable:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(req.id)...)
	default:
		d.readyRepeats = append(d.readyRepeats, d.results.Complete(req.id, outcome == RunSucceeded, result)...)
	}
}

// answerRepeats answers the repeats whose original has ended, including those that become ready meanwhile. decide calls
// answerRepeats after carrying out the module's actions, and answerRepeats calls decide; the nested call of
// answerRepeats returns immediately.
func (d *Dispatcher) answerRepeats() {
	if d.answeringRepeats {
		return
	}
	d.answeringRepeats = true
	defer func() { d.answeringRepeats = false }()
	for len(d.readyRepeats) > 0 {
		req := d.inFlight[d.readyRepeats[0]]
		d.readyRepeats = d.readyRepeats[1:]
		if req != nil && !req.answered {
			d.answerRepeat(req)
		}
	}
	d.readyRepeats = nil
}

// answerRepeat answers a repeat with the original's result. If there is no result, the repeat fails, because the
// original may have taken effect. If the original never ran, the response tells the caller to retry after a short
// delay: the condition that prevented the run has passed, or the original was canceled.
func (d *Dispatcher) answerRepeat(req *Request) {
	resp := Response{Verdict: Errored}
	outcome := admission.Errored
	switch result, ok, remembered := d.results.Result(req.original); {
	case ok:
		resp = Response{Verdict: Replayed, Result: result}
		outcome = admission.OK
	case !remembered:
		resp = Response{Verdict: Throttled, RetryAfter: monotime.FromDuration(d.bounds.ReplayRetryAfter)}
	}
	d.respond(req, resp)
	_ = d.decide(Now(), admission.Finished{ID: req.id, Outcome: outcome})
}
