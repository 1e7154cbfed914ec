package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
)

// name notes by what the repeats of a tokened invocation are known, and which one it repeats itself. The gate's lock is held.
func (g *Dispatcher) name(inv Invocation, t *Request) (tokened bool) {
	ops := g.sheet.Admission.Operations
	if inv.Operation >= len(ops) || ops[inv.Operation].RetrySafety != admission.IdempotencyKeyed {
		return false
	}
	t.key = idempotency.Key{Operation: inv.Operation, Tenant: inv.Tenant, Token: inv.IdempotencyKey}
	t.earlier = g.kept.Find(t.key, min(inv.ArrivedAt, Now())) // later, if the wall clock was set back
	return true
}

// IsRepeat tells whether an invocation repeats one that is remembered here.
func (g *Dispatcher) IsRepeat(inv Invocation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var t Request
	return g.name(inv, &t) && t.earlier != ""
}

// readLate is how long ago what is read now can have reached the machine at most; what is older has no caller any more.
func (g *Dispatcher) readLate() (most Micros) {
	for _, op := range g.sheet.Admission.Operations {
		most = max(most, op.ClientTimeout)
	}
	return most + g.sheet.Admission.AnswerSlack
}

// remember keeps an invocation for as long as the module asks, and a little longer: whoever judges may read another clock.
func (g *Dispatcher) remember(a admission.Remember) {
	if t := g.hand[a.ID]; t != nil {
		g.kept.Remember(a.ID, t.key, Now()+a.For+g.sheet.Admission.AnswerSlack)
	}
}

// reuse has a repeat wait for what it repeats, or answers it once the module's actions have been carried out.
func (g *Dispatcher) reuse(id string) {
	if t := g.hand[id]; t != nil && !t.answered && g.kept.AddWaiter(t.earlier, id) {
		g.ripe = append(g.ripe, id)
	}
}

// ended keeps how a run ended, for its repeats. One that never ran is forgotten: its repeat is the first.
func (g *Dispatcher) ended(t *Request, end Outcome, result []byte) {
	switch {
	case t.key.Token == "":
	case end == NeverRan || end == Unrunnable:
		g.ripe = append(g.ripe, g.kept.Forget(t.id)...)
	default:
		g.ripe = append(g.ripe, g.kept.Complete(t.id, end == RunSucceeded, result)...)
	}
}

// ripen answers repeats of what has ended: with its result, else as errored, since what they ask for may have happened.
// Where nothing ran they may come again, and soon: what kept the first from running is over or was its caller's leaving.
func (g *Dispatcher) ripen() {
	if g.ripens {
		return
	}
	g.ripens = true
	defer func() { g.ripens = false }()
	for len(g.ripe) > 0 {
		t := g.hand[g.ripe[0]]
		g.ripe = g.ripe[1:]
		if t == nil || t.answered {
			continue
		}
		word, outcome := Response{Verdict: Errored}, admission.Errored
		switch result, ok, ran := g.kept.Result(t.earlier); {
		case ok:
			word, outcome = Response{Verdict: Replayed, Result: result}, admission.OK
		case !ran:
			word = Response{Verdict: Throttled, RetryAfter: Micros(g.bounds.ComeBack.Microseconds())}
		}
		g.answer(t, word)
		g.decide(Now(), admission.Finished{ID: t.id, Outcome: outcome})
	}
	g.ripe = nil
}
