package simulation

import (
	"milletbarrow/admission"
)

// finishRun reports the end of a run to the policy, removes the attempt from its host, and answers the requests that
// wait for its result.
func (w *world) finishRun(h *host, j int32, outcome admission.Outcome) {
	att := &w.attempts[j]
	id, duration := att.id, w.now-att.readAt
	h.memory -= w.scenario.Hosts.RequestKB * (w.scenario.Hosts.RunFactor - 1)
	att.phase, att.finishing = phaseAwaitingResult, true // still in flight while the policy decides
	w.decide(h, admission.Finished{ID: id, Outcome: outcome, Took: duration})
	if h.up && w.attempts[j].atHost && w.attempts[j].id == id {
		w.removeFromHost(h, j)
	}
	waiters := w.attempts[j].waiters
	w.attempts[j].waiters = nil
	for _, k := range waiters {
		if h.up && w.attempts[k].phase == phaseAwaitingResult && w.attempts[k].atHost &&
			w.attempts[k].host == h.number &&
			w.attempts[k].answers == 0 {
			w.reuseResult(h, k)
		}
	}
}

// preempt stops a run before its end.
func (w *world) preempt(h *host, j int32) {
	att := &w.attempts[j]
	w.advanceCores(h)
	h.cores.running--
	h.running--
	att.phase = phaseAwaitingResult
	w.updateCores(h)
	w.finishRun(h, j, admission.Canceled)
}

// reuseResult answers a repeated request with the result of the earlier one, immediately or when the earlier run ends.
func (w *world) reuseResult(h *host, j int32) {
	att := &w.attempts[j]
	req := &w.requests[att.request]
	cached := h.cachedResults[h.resultsByRequest[req.number]]
	if att.phase == phaseQueued {
		h.queued--
	}
	att.phase = phaseAwaitingResult
	if cached != nil && !cached.ended {
		w.attempts[cached.attempt].waiters = append(w.attempts[cached.attempt].waiters, j)
		return
	}
	if cached == nil {
		w.answer(h, j, Errored)
	} else {
		w.answer(h, j, Succeeded)
	}
	id := att.id
	att.finishing = true
	w.decide(h, admission.Finished{ID: id, Outcome: admission.OK, Took: 1})
	if h.up && w.attempts[j].atHost && w.attempts[j].id == id {
		w.removeFromHost(h, j)
	}
}

// answer sends an answer to the node. The audit checks that it is the attempt's only one.
func (w *world) answer(h *host, j int32, outcome Outcome) {
	att := &w.attempts[j]
	w.audit.checkAnswer(w, h, att)
	att.answers++
	w.trace.record(w, att, outcomeNames[outcome])
	if att.answers == 1 && !att.callerGone {
		att.outcome = outcome
		if d := w.networkDelay(w.requests[att.request].node, h.number); d >= 0 {
			w.queue.pushLane(laneNet, event{at: w.now + d, kind: evAnswer, subject: j, generation: att.generation})
		} else { // the answer is lost; the node sees a failed connection after the client timeout
			att.outcome = Reset
			w.queue.push(
				event{
					at:         max(w.now, att.dueAt) + w.scenario.Nodes.NetworkDelay,
					kind:       evAnswer,
					subject:    j,
					generation: att.generation,
				},
			)
		}
	}
	if att.phase == phaseQueued {
		w.removeFromHost(h, j)
	}
}

// releaseWaiter removes a repeated request from its host if it was answered before the result that it waits for.
func (w *world) releaseWaiter(h *host, j int32) {
	if att := &w.attempts[j]; att.phase == phaseAwaitingResult && att.atHost && !att.finishing {
		w.removeFromHost(h, j)
	}
}

// removeFromHost removes an attempt from its host.
func (w *world) removeFromHost(h *host, j int32) {
	att := &w.attempts[j]
	if !att.atHost {
		return
	}
	if att.phase == phaseQueued { // it never ran
		h.queued--
		w.refundQuota(h, att)
	}
	if att.phase != phaseUnread && att.readAt > 0 {
		h.memory -= w.scenario.Hosts.RequestKB
	}
	w.audit.checkRemoval(w, h, att)
	att.atHost = false
	if att.callerGone && att.atNode && att.answers == 0 { // the node sees a closed connection, as no answer was sent
		att.outcome = Reset
		w.queue.push(
			event{at: w.now + w.scenario.Nodes.NetworkDelay, kind: evAnswer, subject: j, generation: att.generation},
		)
	} else if att.callerGone && att.atNode {
		w.queue.push(
			event{at: w.now + w.scenario.Nodes.NetworkDelay, kind: evAnswer, subject: j, generation: att.generation},
		)
	}
	if att.prev != none {
		w.attempts[att.prev].next = att.next
	} else {
		h.firstAttempt = att.next
	}
	if att.next != none {
		w.attempts[att.next].prev = att.prev
	}
	h.inFlight--
	w.freeAttempt(j)
}

// handleCallerGone notifies a host that the caller of an attempt has left.
func (w *world) handleCallerGone(j int32) {
	att := &w.attempts[j]
	h := &w.hosts[att.host]
	if !att.atHost || att.callerGone || att.incarnation != h.incarnation || !h.up {
		return
	}
	if att.answers > 0 {
		return // the answer was sent before the notification arrived
	}
	att.callerGone = true
	if att.phase == phaseUnread {
		return
	}
	// The caller did not cancel: its timeout expired.
	if w.now >= att.dueAt && att.readAt < att.dueAt-w.scenario.Hosts.AnswerSlack {
		w.audit.breach(w, 1, h, att, "its caller's time is over and it has no answer")
	}
	previousPhase := att.phase
	w.decide(h, admission.CallerGone{ID: att.id})
	if h.up && w.attempts[j].atHost && (previousPhase == phaseQueued || previousPhase == phaseAwaitingResult) {
		w.removeFromHost(h, j)
	}
}
