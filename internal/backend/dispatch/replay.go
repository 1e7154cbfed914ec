package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/monotime"
)

// identify sets the idempotency key of a request and finds the original that it repeats. It returns false if the
// operation is not keyed.
func (d *Dispatcher) identify(inv *Invocation, req *Request) (keyed bool) {
	operations := d.settings.Admission.Operations
	if inv.Operation >= len(operations) || operations[inv.Operation].RetrySafety != admission.IdempotencyKeyed {
		return false
	}
	req.key = idempotency.Key{Operation: inv.Operation, Tenant: inv.Tenant, Token: inv.IdempotencyKey}
	arrivedAt := min(inv.ArrivedAt, Now()) // ArrivedAt is later than now if the wall clock was set back
	req.original = d.results.Find(req.key, arrivedAt)
	return true
}

// IsRepeat reports whether a request repeats one in the result cache.
func (d *Dispatcher) IsRepeat(inv Invocation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var req Request
	return d.identify(&inv, &req) && req.original != ""
}

// maxReadDelay returns the longest time from a request's arrival until it is read. The caller of one that is read
// later has given up.
func (d *Dispatcher) maxReadDelay() (longest monotime.Micros) {
	for _, op := range d.settings.Admission.Operations {
		longest = max(longest, op.ClientTimeout)
	}
	return longest + d.settings.Admission.AnswerSlack
}

// remember adds a request to the result cache for as long as the module wants, plus AnswerSlack for the difference
// between the caller's clock and this one.
func (d *Dispatcher) remember(a admission.Remember) {
	if req := d.inFlight[a.ID]; req != nil {
		d.results.Remember(a.ID, req.key, Now()+a.For+d.settings.Admission.AnswerSlack)
	}
}

// awaitOriginal lets a repeat wait for its original, or marks it as ready to be answered if that has ended.
func (d *Dispatcher) awaitOriginal(id string) {
	req := d.inFlight[id]
	if req == nil || req.answered {
		return
	}
	if completed := d.results.AddWaiter(req.original, id); completed {
		d.readyRepeats = append(d.readyRepeats, id)
	}
}

// recordResult caches how a run ended, for its repeats. A request that never ran is evicted, so that its next repeat
// runs.
func (d *Dispatcher) recordResult(req *Request, outcome Outcome, result []byte) {
	switch {
	case req.key.Token == "":
	case outcome == NeverRan || outcome == Unrunnable:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(req.id)...)
	default:
		d.readyRepeats = append(d.readyRepeats, d.results.Complete(req.id, outcome == RunSucceeded, result)...)
	}
}

// answerRepeats answers the repeats whose original has ended, including those that become ready while it runs. decide
// calls it after carrying out the module's actions, and it calls decide itself: the inner call returns at once.
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

// answerRepeat answers a repeat with the original's result. Without a result the repeat fails, since the original may
// have taken effect. If the original never ran, the caller is advised to retry soon: what kept it from running has
// passed, or its caller left.
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
