package simulation

import (
	"milletbarrow/admission"
)

// call takes a run to the dependency that all share.
func (w *world) call(h *host, j int32, within Micros) {
	t := &w.attempts[j]
	t.phase = calls
	t.callGen++
	h.atBelow++
	b := &w.below
	b.move(w.now)
	b.push(job{end: b.given + float64(w.s.Below.Work), who: j, gen: t.gen, sub: uint8(t.callGen)})
	w.afterBelow()
	w.q.push(event{at: w.now + max(within, 1), kind: evCall, a: j, b: int32(t.callGen), gen: t.gen})
}

func (w *world) afterBelow() {
	b := &w.below
	b.rate = 1 / w.belowX
	if n := float64(b.live); n > float64(w.s.Below.Slots) {
		b.rate *= float64(w.s.Below.Slots) / n
	}
	if b.live > 0 {
		w.due(b, evBelow, 0)
	}
}

func (w *world) belowDue() {
	b := &w.below
	b.next = 0
	b.move(w.now)
	for len(b.jobs) > 0 && b.jobs[0].end <= b.given+nearly {
		j := b.pop()
		b.live--
		if t := &w.attempts[j.who]; t.gen == j.gen && t.phase == calls && uint8(t.callGen) == j.sub {
			w.callOver(j.who, admission.OK)
		}
	}
	w.afterBelow()
}

func (w *world) callOver(j int32, out admission.Outcome) {
	t := &w.attempts[j]
	h := &w.hosts[t.host]
	if !h.up || h.incarnation != t.incarnation {
		return
	}
	h.atBelow--
	t.callGen++
	t.phase = waitsBelow
	id := t.id
	w.decide(h, admission.CallReturned{ID: id, Outcome: out, Took: 1 + w.s.Below.Work})
	if !h.up {
		return
	}
	t = &w.attempts[j]
	if out == admission.OK && t.phase == waitsBelow {
		w.resume(h, j)
	} else if t.answers > 0 && t.phase == waitsBelow { // given up: nothing of it goes on
		w.finish(h, j, admission.Errored)
	}
}

func (w *world) resume(h *host, j int32) {
	w.attempts[j].phase = runs
	w.onCores(h, j)
}
