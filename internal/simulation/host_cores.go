package simulation

import (
	"math"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// before brings the cores up to now; what changes their load or speed comes next, then after.
func (w *world) before(h *host) {
	n := min(float64(h.cores.live), float64(w.s.Hosts.Cores))
	h.busy += n * float64(w.now-h.busyAt)
	h.busyAt = w.now
	h.cores.move(w.now)
}

// after sets the speed that each job has now, and when the next one ends.
func (w *world) after(h *host) {
	s := &w.s.Hosts
	n, cores := float64(h.cores.live), float64(s.Cores)
	rate := h.base / h.slow * h.warmth * h.neighbour
	if n > cores {
		rate *= cores / n
	}
	// Past the crowd of runs what is done at all falls. Readers are no crowd: one reads at a time.
	if bears, on := s.Crowd*cores, float64(h.running); on > bears {
		rate *= (bears / on) * (bears / on)
		if h.overAt == 0 {
			h.overAt = w.now
			w.q.push(event{at: w.now + s.FallOver, kind: evOverload, a: h.number, gen: h.incarnation})
		}
	} else {
		h.overAt = 0
	}
	h.cores.rate = rate
	if h.cores.live == 0 {
		h.cores.given, h.cores.jobs, h.cores.next = 0, h.cores.jobs[:0], 0
		return
	}
	w.due(&h.cores, evCores, h.number)
}

// due schedules the next end of shared work. One that is scheduled too early finds nothing and looks again; that is
// cheaper than to schedule anew with each change.
func (w *world) due(s *shared, k kind, who int32) {
	for len(s.jobs) > 0 && s.jobs[0].who != none && w.attempts[s.jobs[0].who].gen != s.jobs[0].gen {
		s.pop()
	}
	if len(s.jobs) == 0 {
		return
	}
	at := w.now + Micros(math.Ceil(max(0, s.jobs[0].end-s.given)/s.rate))
	if s.next > w.now && s.next <= at {
		return
	}
	s.gen++
	s.next = at
	w.q.push(event{at: at, kind: k, a: who, gen: s.gen})
}

const nearly = 1e-3 // microseconds of work that count as none

// coresDue ends what has had its work.
func (w *world) coresDue(h *host) {
	h.cores.next = 0
	if !h.up {
		return
	}
	w.before(h)
	life := h.incarnation
	for len(h.cores.jobs) > 0 && h.cores.jobs[0].end <= h.cores.given+nearly {
		j := h.cores.pop()
		t := &w.attempts[j.who]
		if t.gen != j.gen || t.phase != unread && t.phase != runs || (t.phase == unread) != (j.sub == 0) {
			continue // taken off before
		}
		h.cores.live--
		if j.sub == 0 {
			w.wasRead(h, j.who)
		} else {
			w.ran(h, j.who)
		}
		if !h.up || h.incarnation != life {
			return
		}
	}
	w.after(h)
}

// onCores puts a run, or what is left of it after its call, on the cores.
func (w *world) onCores(h *host, j int32) {
	t := &w.attempts[j]
	a := &w.requests[t.request]
	work := a.work
	if w.s.Operations[a.op].Calls {
		work /= 2
	}
	w.before(h)
	h.running++
	h.cores.push(job{end: h.cores.given + work, who: j, gen: t.gen, sub: 1})
	w.after(h)
}

// ran is a run that has had its work: of the half before its call, or of all.
func (w *world) ran(h *host, j int32) {
	t := &w.attempts[j]
	a := &w.requests[t.request]
	h.running--
	if w.s.Operations[a.op].Calls && !t.called {
		t.called, t.phase = true, waitsBelow
		w.after(h)
		w.decide(h, admission.NeedsCall{ID: t.id})
		return
	}
	w.after(h)
	w.res.Runs++
	w.audit.ran(w, h, t)
	if k := h.cachedResults[t.id]; k != nil {
		k.ended, k.ok = true, true
	}
	if r := h.degradation; r != nil && t.answers == 0 {
		r.meter.Count(degradation.Micros(w.now), degradation.Successes)
		if w.now-t.reached > w.s.Operations[a.op].Objective {
			r.meter.Count(degradation.Micros(w.now), degradation.LateSuccesses)
		}
	}
	if t.answers > 0 {
		w.res.Wasted += a.work
	} else {
		w.answer(h, j, Succeeded)
	}
	w.finish(h, j, admission.OK)
}

func (w *world) start(h *host, j int32) {
	t := &w.attempts[j]
	w.audit.started(w, h, t)
	w.trace.note(w, w.requests[t.request].number, t, "runs")
	t.phase = runs
	h.held--
	h.memory += w.s.Hosts.HeldKB * (w.s.Hosts.RunFactor - 1)
	w.onCores(h, j)
}
