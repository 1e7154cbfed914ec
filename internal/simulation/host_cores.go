package simulation

import (
	"math"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// advanceCores accounts for the work done on a host's cores since the last call. It must be called before the load or
// speed of the cores changes, and updateCores after.
func (w *world) advanceCores(h *host) {
	n := min(float64(h.cores.running), float64(w.scenario.Hosts.Cores))
	h.busyMicros += n * float64(w.now-h.busyUpdatedAt)
	h.busyUpdatedAt = w.now
	h.cores.advance(w.now)
}

// updateCores sets the rate at which jobs progress and schedules the next completion, after the load or speed of the
// cores changed.
func (w *world) updateCores(h *host) {
	s := &w.scenario.Hosts
	n, cores := float64(h.cores.running), float64(s.Cores)
	rate := h.baseSpeed / h.slowdown * h.warmUpSpeed * h.coreShare
	if n > cores {
		rate *= cores / n
	}
	// Throughput falls when there are more runs than CollapseMultiple a core. Reading does not count as a run: one
	// request is read at a time.
	if capacity, running := s.CollapseMultiple*cores, float64(h.running); running > capacity {
		rate *= (capacity / running) * (capacity / running)
		if h.overloadedAt == 0 {
			h.overloadedAt = w.now
			w.queue.push(
				event{at: w.now + s.CollapseAfter, kind: evOverload, subject: h.number, generation: h.incarnation},
			)
		}
	} else {
		h.overloadedAt = 0
	}
	h.cores.rate = rate
	if h.cores.running == 0 {
		h.cores.progress, h.cores.jobs, h.cores.completionAt = 0, h.cores.jobs[:0], 0
		return
	}
	w.scheduleCompletion(&h.cores, evCores, h.number)
}

// scheduleCompletion schedules the next completion of shared work, unless an earlier event is scheduled already. An
// event that comes before the completion finds no finished job and is scheduled again, which is cheaper than
// rescheduling at each change.
func (w *world) scheduleCompletion(s *sharedWork, kind eventKind, subject int32) {
	for len(s.jobs) > 0 && s.jobs[0].attempt != none && w.attempts[s.jobs[0].attempt].generation != s.jobs[0].generation {
		s.pop()
	}
	if len(s.jobs) == 0 {
		return
	}
	at := w.now + monotime.Micros(math.Ceil(max(0, s.jobs[0].end-s.progress)/s.rate))
	if s.completionAt > w.now && s.completionAt <= at {
		return
	}
	s.generation++
	s.completionAt = at
	w.queue.push(event{at: at, kind: kind, subject: subject, generation: s.generation})
}

const workEpsilon = 1e-3 // remaining work that counts as done, in microseconds

// completeWork ends the finished jobs on a host's cores.
func (w *world) completeWork(h *host) {
	h.cores.completionAt = 0
	if !h.up {
		return
	}
	w.advanceCores(h)
	incarnation := h.incarnation
	for len(h.cores.jobs) > 0 && h.cores.jobs[0].end <= h.cores.progress+workEpsilon {
		j := h.cores.pop()
		att := &w.attempts[j.attempt]
		if att.generation != j.generation || att.phase != phaseUnread && att.phase != phaseRunning ||
			(att.phase == phaseUnread) != (j.stage == 0) {
			continue // it was preempted
		}
		h.cores.running--
		if j.stage == 0 {
			w.completeRead(h, j.attempt)
		} else {
			w.completeRun(h, j.attempt)
		}
		if !h.up || h.incarnation != incarnation {
			return
		}
	}
	w.updateCores(h)
}

// putOnCores puts a run on the cores. A run that makes a call is put on them twice, with half of its work each time.
func (w *world) putOnCores(h *host, j int32) {
	att := &w.attempts[j]
	req := &w.requests[att.request]
	work := req.work
	if w.scenario.Operations[req.operation].MakesCalls {
		work /= 2
	}
	w.advanceCores(h)
	h.running++
	h.cores.push(job{end: h.cores.progress + work, attempt: j, generation: att.generation, stage: 1})
	w.updateCores(h)
}

// completeRun handles a run whose work on the cores is done, either up to its call or all of it.
func (w *world) completeRun(h *host, j int32) {
	att := &w.attempts[j]
	req := &w.requests[att.request]
	h.running--
	if w.scenario.Operations[req.operation].MakesCalls && !att.called {
		att.called, att.phase = true, phaseBeforeCall
		w.updateCores(h)
		w.decide(h, admission.NeedsCall{ID: att.id})
		return
	}
	w.updateCores(h)
	w.result.Runs++
	w.audit.checkEffect(w, h, att)
	if cached := h.cachedResults[att.id]; cached != nil {
		cached.ended, cached.succeeded = true, true
	}
	if state := h.degradation; state != nil && att.answers == 0 {
		state.signals.Count(w.now, degradation.Successes)
		if w.now-att.reachedAt > w.scenario.Operations[req.operation].Objective {
			state.signals.Count(w.now, degradation.LateSuccesses)
		}
	}
	if att.answers > 0 {
		w.result.WastedMicros += req.work
	} else {
		w.answer(h, j, Succeeded)
	}
	w.finishRun(h, j, admission.OK)
}

// startRun starts a queued request.
func (w *world) startRun(h *host, j int32) {
	att := &w.attempts[j]
	w.audit.checkStart(w, h, att)
	w.trace.record(w, att, stepRun)
	att.phase = phaseRunning
	h.queued--
	h.memory += w.scenario.Hosts.RequestKB * (w.scenario.Hosts.RunFactor - 1)
	w.putOnCores(h, j)
}
