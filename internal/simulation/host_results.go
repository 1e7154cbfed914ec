package simulation

import (
	"milletbarrow/admission"
)

// finish tells the policy that a run is over and lets go of it.
func (w *world) finish(h *host, j int32, out admission.Outcome) {
	t := &w.attempts[j]
	id, took := t.id, w.now-t.read
	h.memory -= w.s.Hosts.HeldKB * (w.s.Hosts.RunFactor - 1)
	t.phase, t.ending = reuses, true // off the cores; still in hand while the policy hears of it
	w.decide(h, admission.Finished{ID: id, Outcome: out, Took: took})
	if h.up && w.attempts[j].atHost && w.attempts[j].id == id {
		w.leaveHost(h, j)
	}
	waits := w.attempts[j].waits
	w.attempts[j].waits = nil
	for _, k := range waits {
		if h.up && w.attempts[k].phase == reuses && w.attempts[k].atHost && w.attempts[k].host == h.number && w.attempts[k].answers == 0 {
			w.reuse(h, k)
		}
	}
}

// takeOff ends a run before its end.
func (w *world) takeOff(h *host, j int32) {
	t := &w.attempts[j]
	w.before(h)
	h.cores.live--
	h.running--
	t.phase = reuses
	w.after(h)
	w.finish(h, j, admission.Canceled)
}

// reuse answers a repeat with what an earlier request brought, at once or when it ends.
func (w *world) reuse(h *host, j int32) {
	t := &w.attempts[j]
	a := &w.requests[t.request]
	k := h.cachedResults[h.byKey[a.number]]
	if t.phase == held {
		h.held--
	}
	t.phase = reuses
	if k != nil && !k.ended {
		w.attempts[k.at].waits = append(w.attempts[k.at].waits, j)
		return
	}
	if k == nil {
		w.answer(h, j, Errored)
	} else {
		w.answer(h, j, Succeeded)
	}
	id := t.id
	t.ending = true
	w.decide(h, admission.Finished{ID: id, Outcome: admission.OK, Took: 1})
	if h.up && w.attempts[j].atHost && w.attempts[j].id == id {
		w.leaveHost(h, j)
	}
}

// answer sends what a policy says. The one final answer is judged here.
func (w *world) answer(h *host, j int32, out Outcome) {
	t := &w.attempts[j]
	w.audit.answered(w, h, t)
	t.answers++
	w.trace.note(w, w.requests[t.request].number, t, outcomeNames[out])
	if t.answers == 1 && !t.gone {
		t.outcome = out
		if d := w.way(w.requests[t.request].node, h.number); d >= 0 {
			w.q.later(laneNet, event{at: w.now + d, kind: evAnswer, a: j, gen: t.gen})
		} else { // nobody hears it; the node counts it as open until its caller leaves
			t.outcome = Reset
			w.q.push(event{at: max(w.now, t.due) + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
		}
	}
	if t.phase == held {
		w.leaveHost(h, j)
	}
}

// unreused lets go of a repeat that was answered before the result came for which it waits.
func (w *world) unreused(h *host, j int32) {
	if t := &w.attempts[j]; t.phase == reuses && t.atHost && !t.ending {
		w.leaveHost(h, j)
	}
}

// leaveHost takes an attempt out of its host's hand.
func (w *world) leaveHost(h *host, j int32) {
	t := &w.attempts[j]
	if !t.atHost {
		return
	}
	if t.phase == held { // it never ran
		h.held--
		w.refundQuota(h, t)
	}
	if t.phase != unread && t.read > 0 {
		h.memory -= w.s.Hosts.HeldKB
	}
	w.audit.leaves(w, h, t)
	t.atHost = false
	if t.gone && t.atNode && t.answers == 0 { // its node hears of the end by itself
		t.outcome = Reset
		w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
	} else if t.gone && t.atNode {
		w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
	}
	if t.prev != none {
		w.attempts[t.prev].next = t.next
	} else {
		h.first = t.next
	}
	if t.next != none {
		w.attempts[t.next].prev = t.prev
	}
	h.inHand--
	w.free(j)
}

// left is the word that a caller has gone.
func (w *world) left(j int32) {
	t := &w.attempts[j]
	h := &w.hosts[t.host]
	if !t.atHost || t.gone || t.incarnation != h.incarnation || !h.up {
		return
	}
	if t.answers > 0 {
		return // it crossed the answer
	}
	t.gone = true
	if t.phase == unread {
		return
	}
	if w.now >= t.due && t.read < t.due-w.s.Hosts.Slack { // it did not leave: its time ran out
		w.audit.broken(w, 1, h, t, "its caller's time is over and it has no answer")
	}
	was := t.phase
	w.decide(h, admission.CallerGone{ID: t.id})
	if h.up && w.attempts[j].atHost && (was == held || was == reuses) {
		w.leaveHost(h, j)
	}
}
