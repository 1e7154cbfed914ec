package simulation

import (
	"milletbarrow/admission"
)

// Delays after which a host's process is restarted, and the number of steps in which a cold one reaches full speed.
const (
	crashRestart   = 3 * Second
	releaseRestart = 200 * Millisecond
	warmUpSteps    = 20
)

// readGauges passes a reading of the host's gauges to its policy and to graceful degradation.
func (w *world) readGauges(h *host, token int64) {
	w.advanceCores(h)
	w.updateCores(h)
	elapsed := max(1, float64(w.now-h.readingAt))
	coreUse := (h.busyMicros - h.busyAtReading) / elapsed / float64(w.scenario.Hosts.Cores)
	h.busyAtReading, h.readingAt = h.busyMicros, w.now
	running := float64(h.cores.running)
	memory := (h.memory + h.idempotencyKeysKB) / w.scenario.Hosts.MemoryKB
	w.result.Readings++
	w.decide(h, admission.Reading{
		Token:       token,
		CoreUse:     coreUse,
		OnCores:     running,
		MemoryShare: memory,
		Connections: float64(h.connections) / float64(w.scenario.Hosts.Connections),
	})
	if state := h.degradation; state != nil && h.up {
		now := w.now
		if h.draining {
			state.signals.SetDraining()
		}
		if change, changed := state.controller.Update(
			now,
			state.signals.Signals(now, running+float64(h.queued), coreUse, memory, true),
		); changed {
			w.result.recordLevelChange(w, h, change)
		}
	}
}

// warmUp raises the speed of a warming host by one step.
func (w *world) warmUp(h *host) {
	s := &w.scenario.Hosts
	w.advanceCores(h)
	h.warmUpSpeed = min(1, s.ColdSpeed+(1-s.ColdSpeed)*float64(w.now-h.startedAt)/float64(s.WarmUp))
	w.updateCores(h)
	if h.warmUpSpeed < 1 {
		w.queue.push(
			event{at: w.now + s.WarmUp/warmUpSteps + 1, kind: evWarmUp, subject: h.number, generation: h.incarnation},
		)
	}
}

// checkOverload crashes a host that has been overloaded for CollapseAfter.
func (w *world) checkOverload(h *host) {
	switch {
	case h.overloadedAt == 0:
	case w.now-h.overloadedAt >= w.scenario.Hosts.CollapseAfter:
		w.audit.breach(w, 4, h, nil, "it fell over under its crowd")
		w.kill(h, Reset)
	default:
		w.queue.push(
			event{
				at:         h.overloadedAt + w.scenario.Hosts.CollapseAfter,
				kind:       evOverload,
				subject:    h.number,
				generation: h.incarnation,
			},
		)
	}
}

// kill crashes a host's process, and everything in flight is lost. The process restarts cold.
func (w *world) kill(h *host, outcome Outcome) {
	w.terminate(h, outcome)
	w.queue.push(event{at: w.now + crashRestart, kind: evRestart, subject: h.number})
}

// terminate ends a host's process and all attempts in flight on it.
func (w *world) terminate(h *host, outcome Outcome) {
	w.releaseQuotas(h)
	w.advanceCores(h)
	h.up = false
	h.cores.generation++
	h.cores.completionAt = 0
	for j := h.firstAttempt; j != none; {
		att := &w.attempts[j]
		next := att.next
		if att.atNode && att.answers == 0 || att.atNode && att.callerGone {
			att.outcome = outcome
			w.queue.push(
				event{
					at:         w.now + w.scenario.Nodes.NetworkDelay,
					kind:       evAnswer,
					subject:    j,
					generation: att.generation,
				},
			)
		}
		att.atHost, att.waiters = false, att.waiters[:0]
		if att.phase == phaseCalling {
			att.callNumber++
		}
		att.phase = phaseUnread // not phaseEnded: freeAttempt would skip it
		w.freeAttempt(j)
		j = next
	}
	h.firstAttempt, h.inFlight = none, 0
	w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: 0})
}

// exitProcess stops a process when the exit timeout after its shutdown notice has passed.
func (w *world) exitProcess(h *host) {
	for j := h.firstAttempt; j != none; j = w.attempts[j].next {
		if att := &w.attempts[j]; att.answers == 0 && !att.callerGone && att.phase != phaseUnread && !h.noticeLost() {
			w.audit.breach(w, 3, h, att, "it was in hand without an answer when the process was stopped")
		}
	}
	w.terminate(h, Reset)
	if !h.managedByAgent { // otherwise its agent restarts it
		w.queue.push(event{at: w.now + releaseRestart, kind: evRestart, subject: h.number})
	}
}

// noticeLost reports whether the shutdown notice never reached the process.
func (h *host) noticeLost() bool { return !h.draining }

// restart starts a host's process if it is down.
func (w *world) restart(h *host) {
	if h.up {
		return
	}
	if err := w.startProcess(h, true); err != nil {
		panic(err) // the degradation policy was accepted at the first start
	}
}
