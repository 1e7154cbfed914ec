package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
)

// identify notes by what the repeats of a tokened invocation are known, and which one it repeats itself. The gate's lock is held.
func (d *Dispatcher) identify(inv Invocation, t *Request) (tokened bool) {
	ops := d.sheet.Admission.Operations
	if inv.Operation >= len(ops) || ops[inv.Operation].RetrySafety != admission.IdempotencyKeyed {
		return false
	}
	t.key = idempotency.Key{Operation: inv.Operation, Tenant: inv.Tenant, Token: inv.IdempotencyKey}
	t.original = d.results.Find(t.key, min(inv.ArrivedAt, Now())) // later, if the wall clock was set back
	return true
}

// IsRepeat tells whether an invocation repeats one that is remembered here.
func (d *Dispatcher) IsRepeat(inv Invocation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var t Request
	return d.identify(inv, &t) && t.original != ""
}

// maxReadDelay is how long ago what is read now can have reached the machine at most; what is older has no caller any more.
func (d *Dispatcher) maxReadDelay() (most Micros) {
	for _, op := range d.sheet.Admission.Operations {
		most = max(most, op.ClientTimeout)
	}
	return most + d.sheet.Admission.AnswerSlack
}

// remember keeps an invocation for as long as the module asks, and a little longer: whoever judges may read another clock.
func (d *Dispatcher) remember(a admission.Remember) {
	if t := d.inFlight[a.ID]; t != nil {
		d.results.Remember(a.ID, t.key, Now()+a.For+d.sheet.Admission.AnswerSlack)
	}
}

// awaitOriginal has a repeat wait for what it repeats, or answers it once the module's actions have been carried out.
func (d *Dispatcher) awaitOriginal(id string) {
	if t := d.inFlight[id]; t != nil && !t.answered && d.results.AddWaiter(t.original, id) {
		d.readyRepeats = append(d.readyRepeats, id)
	}
}

// recordResult keeps how a run ended, for its repeats. One that never ran is forgotten: its repeat is the first.
func (d *Dispatcher) recordResult(t *Request, end Outcome, result []byte) {
	switch {
	case t.key.Token == "":
	case end == NeverRan || end == Unrunnable:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(t.id)...)
	default:
		d.readyRepeats = append(d.readyRepeats, d.results.Complete(t.id, end == RunSucceeded, result)...)
	}
}

// answerRepeats answers repeats of what has ended: with its result, else as errored, since what they ask for may have happened.
// Where nothing ran they may come again, and soon: what kept the first from running is over or was its caller's leaving.
func (d *Dispatcher) answerRepeats() {
	if d.answeringRepeats {
		return
	}
	d.answeringRepeats = true
	defer func() { d.answeringRepeats = false }()
	for len(d.readyRepeats) > 0 {
		t := d.inFlight[d.readyRepeats[0]]
		d.readyRepeats = d.readyRepeats[1:]
		if t == nil || t.answered {
			continue
		}
		word, outcome := Response{Verdict: Errored}, admission.Errored
		switch result, ok, ran := d.results.Result(t.original); {
		case ok:
			word, outcome = Response{Verdict: Replayed, Result: result}, admission.OK
		case !ran:
			word = Response{Verdict: Throttled, RetryAfter: Micros(d.bounds.ComeBack.Microseconds())}
		}
		d.respond(t, word)
		d.decide(Now(), admission.Finished{ID: t.id, Outcome: outcome})
	}
	d.readyRepeats = nil
}
