package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// wake is a reading of the gauges.
func (w *world) wake(h *host, token int64) {
	w.before(h)
	w.after(h)
	span := max(1, float64(w.now-h.readAt))
	use := (h.busy - h.busyRead) / span / float64(w.s.Hosts.Cores)
	h.busyRead, h.readAt = h.busy, w.now
	on := float64(h.cores.live)
	memory := (h.memory + h.keyKB) / w.s.Hosts.MemoryKB
	w.res.Readings++
	w.decide(h, admission.Reading{
		Token: token, CoreUse: use, OnCores: on, MemoryShare: memory, Connections: float64(h.conns) / float64(w.s.Hosts.Connections),
	})
	if r := h.degradation; r != nil && h.up {
		now := degradation.Micros(w.now)
		if h.draining {
			r.meter.SetDraining()
		}
		if c, changed := r.mover.Update(now, r.meter.Signals(now, on+float64(h.held), use, memory, true)); changed {
			w.res.changed(w, h, c)
		}
	}
}

// warm makes a cold host a little faster.
func (w *world) warm(h *host) {
	s := &w.s.Hosts
	w.before(h)
	h.warmth = min(1, s.ColdShare+(1-s.ColdShare)*float64(w.now-h.born)/float64(s.ColdFor))
	w.after(h)
	if h.warmth < 1 {
		w.q.push(event{at: w.now + s.ColdFor/20 + 1, kind: evCold, a: h.number, gen: h.incarnation})
	}
}

// crowded looks whether a host has been beyond its crowd all along.
func (w *world) crowded(h *host) {
	switch {
	case h.overAt == 0:
	case w.now-h.overAt >= w.s.Hosts.FallOver:
		w.audit.broken(w, 4, h, nil, "it fell over under its crowd")
		w.kill(h, Reset)
	default:
		w.q.push(event{at: h.overAt + w.s.Hosts.FallOver, kind: evOverload, a: h.number, gen: h.incarnation})
	}
}

// kill ends a host's process with everything in hand; it comes back cold.
func (w *world) kill(h *host, out Outcome) {
	w.goDown(h, out)
	w.q.push(event{at: w.now + 3*Second, kind: evBack, a: h.number})
}

// goDown loses everything that a host has in hand.
func (w *world) goDown(h *host, out Outcome) {
	w.releaseQuotas(h)
	w.before(h)
	h.up = false
	h.cores.gen++
	h.cores.next = 0
	for j := h.first; j != none; {
		t := &w.attempts[j]
		next := t.next
		if t.atNode && t.answers == 0 || t.atNode && t.gone {
			t.outcome = out
			w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
		}
		t.atHost, t.waits = false, t.waits[:0]
		if t.phase == calls {
			t.callGen++
		}
		t.phase = unread // of no life any more; not ended, or it would not be let go of
		w.free(j)
		j = next
	}
	h.first, h.inHand = none, 0
	w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: 0})
}

// stop is the end of a process that was told to leave.
func (w *world) stop(h *host) {
	for j := h.first; j != none; j = w.attempts[j].next {
		if t := &w.attempts[j]; t.answers == 0 && !t.gone && t.phase != unread && !h.unheard() {
			w.audit.broken(w, 3, h, t, "it was in hand without an answer when the process was stopped")
		}
	}
	w.goDown(h, Reset)
	if !h.crewed { // else its agent starts it
		w.q.push(event{at: w.now + 200*Millisecond, kind: evBack, a: h.number})
	}
}

// unheard: the shutdown notice never came.
func (h *host) unheard() bool { return !h.draining }

func (w *world) back(h *host) {
	if h.up {
		return
	}
	if err := w.begin(h, true); err != nil {
		panic(err) // the ladder was taken at the start
	}
}
