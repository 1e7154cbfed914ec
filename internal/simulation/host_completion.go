package simulation

import (
	"milletbarrow/admission"
)

// finishRun tells the policy that a run has ended and releases the attempt.
func (w *world) finishRun(h *host, j int32, outcome admission.Outcome) {
	att := &w.attempts[j]
	id, took := att.id, w.now-att.readAt
	h.memory -= w.scenario.Hosts.RequestKB * (w.scenario.Hosts.RunFactor - 1)
	att.phase, att.finishing = phaseAwaitingResult, true // off the cores; still in flight while the policy decides
	w.decide(h, admission.Finished{ID: id, Outcome: outcome, Took: took})
	if h.up && w.attempts[j].atHost && w.attempts[j].id == id {
		w.leaveHost(h, j)
	}
	waiters := w.attempts[j].waiters
	w.attempts[j].waiters = nil
	for _, k := range waiters {
		if h.up && w.attempts[k].phase == phaseAwaitingResult && w.attempts[k].atHost &&
			w.attempts[k].host == h.number &&
			w.attempts[k].answers == 0 {
			w.reuse(h, k)
		}
	}
}

// preempt takes a run off the cores before its end.
func (w *world) preempt(h *host, j int32) {
	att := &w.attempts[j]
	w.advanceCores(h)
	h.cores.running--
	h.running--
	att.phase = phaseAwaitingResult
	w.updateCores(h)
	w.finishRun(h, j, admission.Canceled)
}

// reuse answers a repeated request with the result of the earlier one, at once or when that ends.
func (w *world) reuse(h *host, j int32) {
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
		w.leaveHost(h, j)
	}
}

// answer sends the answer of a policy. The audit checks here that it is the only one.
func (w *world) answer(h *host, j int32, outcome Outcome) {
	att := &w.attempts[j]
	w.audit.checkAnswer(w, h, att)
	att.answers++
	w.trace.record(w, att, outcomeNames[outcome])
	if att.answers == 1 && !att.callerGone {
		att.outcome = outcome
		if d := w.networkDelay(w.requests[att.request].node, h.number); d >= 0 {
			w.queue.pushLane(laneNet, event{at: w.now + d, kind: evAnswer, subject: j, generation: att.generation})
		} else { // the answer is lost; for the node it is unanswered until its caller leaves
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
		w.leaveHost(h, j)
	}
}

// dropWaiter releases a repeated request that was answered before the result it waits for.
func (w *world) dropWaiter(h *host, j int32) {
	if att := &w.attempts[j]; att.phase == phaseAwaitingResult && att.atHost && !att.finishing {
		w.leaveHost(h, j)
	}
}

// leaveHost removes an attempt from its host.
func (w *world) leaveHost(h *host, j int32) {
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
	w.audit.checkLeave(w, h, att)
	att.atHost = false
	if att.callerGone && att.atNode && att.answers == 0 { // its node learns of the end by itself
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

// callerLeft notifies a host that the caller of an attempt has left.
func (w *world) callerLeft(j int32) {
	att := &w.attempts[j]
	h := &w.hosts[att.host]
	if !att.atHost || att.callerGone || att.incarnation != h.incarnation || !h.up {
		return
	}
	if att.answers > 0 {
		return // the notification crossed the answer
	}
	att.callerGone = true
	if att.phase == phaseUnread {
		return
	}
	if w.now >= att.dueAt &&
		att.readAt < att.dueAt-w.scenario.Hosts.AnswerSlack { // the caller did not cancel: its time ran out
		w.audit.breach(w, 1, h, att, "its caller's time is over and it has no answer")
	}
	was := att.phase
	w.decide(h, admission.CallerGone{ID: att.id})
	if h.up && w.attempts[j].atHost && (was == phaseQueued || was == phaseAwaitingResult) {
		w.leaveHost(h, j)
	}
}
