package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/monotime"
)

// identify sets the idempotency key of a request and finds the original that it repeats. It returns false if the operation
// is not keyed. d.mu must be held.
func (d *Dispatcher) identify(inv Invocation, req *Request) (keyed bool) {
	operations := d.settings.Admission.Operations
	if inv.Operation >= len(operations) || operations[inv.Operation].RetrySafety != admission.IdempotencyKeyed {
		return false
	}
	req.key = idempotency.Key{Operation: inv.Operation, Tenant: inv.Tenant, Token: inv.IdempotencyKey}
	req.original = d.results.Find(req.key, min(inv.ArrivedAt, Now())) // it seems to arrive later than now if the wall clock was set back
	return true
}

// IsRepeat reports whether a request repeats one that is cached here.
func (d *Dispatcher) IsRepeat(inv Invocation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var req Request
	return d.identify(inv, &req) && req.original != ""
}

// maxReadDelay is the longest time between a request's arrival and its being read; the caller of an older one has given up.
func (d *Dispatcher) maxReadDelay() (longest monotime.Micros) {
	for _, op := range d.settings.Admission.Operations {
		longest = max(longest, op.ClientTimeout)
	}
	return longest + d.settings.Admission.AnswerSlack
}

// remember caches a request for as long as the module wants, and a little longer, as the caller's clock may differ.
func (d *Dispatcher) remember(a admission.Remember) {
	if req := d.inFlight[a.ID]; req != nil {
		d.results.Remember(a.ID, req.key, Now()+a.For+d.settings.Admission.AnswerSlack)
	}
}

// awaitOriginal has a repeat wait for its original, or has answerRepeats answer it if that has ended.
func (d *Dispatcher) awaitOriginal(id string) {
	if req := d.inFlight[id]; req != nil && !req.answered && d.results.AddWaiter(req.original, id) {
		d.readyRepeats = append(d.readyRepeats, id)
	}
}

// recordResult caches how a run ended, for its repeats. One that never ran is evicted: its next repeat runs.
func (d *Dispatcher) recordResult(req *Request, outcome Outcome, result []byte) {
	switch {
	case req.key.Token == "":
	case outcome == NeverRan || outcome == Unrunnable:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(req.id)...)
	default:
		d.readyRepeats = append(d.readyRepeats, d.results.Complete(req.id, outcome == RunSucceeded, result)...)
	}
}

// answerRepeats answers repeats whose original has ended. It waits until the module's actions have been carried out, and
// its own events may make further repeats ready.
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

// answerRepeat answers with the original's result. Without one the repeat fails, since its effect may have happened. If
// nothing ran the caller may soon retry: the original was not started for a cause that has passed, or its caller left.
func (d *Dispatcher) answerRepeat(req *Request) {
	resp, outcome := Response{Verdict: Errored}, admission.Errored
	switch result, ok, ran := d.results.Result(req.original); {
	case ok:
		resp, outcome = Response{Verdict: Replayed, Result: result}, admission.OK
	case !ran:
		resp = Response{Verdict: Throttled, RetryAfter: monotime.FromDuration(d.bounds.ReplayRetryAfter)}
	}
	d.respond(req, resp)
	_ = d.decide(Now(), admission.Finished{ID: req.id, Outcome: outcome})
}
