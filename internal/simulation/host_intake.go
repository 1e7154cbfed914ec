package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// arriveAtHost delivers an attempt to its host, which starts to read it.
func (w *world) arriveAtHost(j int32) {
	att := &w.attempts[j]
	h := &w.hosts[att.host]
	req := &w.requests[att.request]
	networkDelay := w.scenario.Nodes.NetworkDelay
	if !h.up {
		w.failInNetwork(j, Unreachable, networkDelay)
		return
	}
	connectionOpened, ok := w.connect(att, h)
	if !ok {
		w.failInNetwork(j, Unreachable, networkDelay)
		return
	}
	att.incarnation = h.incarnation
	att.atHost, att.phase, att.reachedAt, att.dueAt = true, phaseUnread, w.now, req.due-networkDelay
	att.prev, att.next = none, h.firstAttempt
	if h.firstAttempt != none {
		w.attempts[h.firstAttempt].prev = j
	}
	h.firstAttempt = j
	h.inFlight++
	work := float64(w.scenario.Hosts.ReadWork)
	if connectionOpened {
		work += float64(w.scenario.Hosts.HandshakeWork)
	}
	w.advanceCores(h)
	h.reading++
	h.cores.push(job{end: h.cores.progress + work, attempt: j, generation: att.generation, stage: 0})
	w.updateCores(h)
}

// failInNetwork ends an attempt that the network failed to deliver.
func (w *world) failInNetwork(j int32, outcome Outcome, after monotime.Micros) {
	att := &w.attempts[j]
	att.outcome = outcome
	w.queue.push(event{at: w.now + after, kind: evAnswer, subject: j, generation: att.generation})
}

// completeRead passes a request that was read to the policy.
func (w *world) completeRead(h *host, j int32) {
	att := &w.attempts[j]
	req := &w.requests[att.request]
	op := &w.scenario.Operations[req.operation]
	h.reading--
	if att.callerGone { // the caller left before the request was read
		w.updateCores(h)
		w.removeFromHost(h, j)
		return
	}
	att.phase, att.readAt = phaseQueued, w.now
	att.dueAt = max(att.dueAt, w.now) // a request that is read too late is due immediately
	h.queued++
	h.memory += w.scenario.Hosts.RequestKB
	w.updateCores(h)
	w.trace.record(w, att, stepRead)
	hint := req.hint
	if w.policy.KnowsWork {
		hint = monotime.Micros(req.work)
	}
	ev := admission.Arrived{
		ID:           att.id,
		Operation:    int(req.operation),
		Tenant:       int(req.tenant),
		Priority:     op.Priority,
		Retry:        att.retry,
		ExpectedWork: hint,
		QueueTime:    w.now - att.reachedAt,
		TimeLeft:     max(1, att.dueAt-w.now),
		MemoryKB:     w.scenario.Hosts.RequestKB,
	}
	if op.RetrySafety == admission.IdempotencyKeyed {
		if id := h.resultsByRequest[req.number]; id != "" && h.cachedResults[id] != nil &&
			h.cachedResults[id].expiresAt > w.now {
			ev.RepeatOf = id
		}
	}
	if h.degradation != nil && w.shouldShed(h, req, att, op.Priority) {
		ev.ShedFor, att.shed = 1, true
		w.result.Shed++
	}
	if ev.ShedFor == 0 && len(w.scenario.Tenants) > 0 {
		ev.Quota = w.drawQuota(h, int(req.tenant))
		att.quotaDrawn = ev.Quota == admission.WithinQuota
	}
	w.decide(h, ev)
	if h.memory+h.idempotencyKeysKB > w.scenario.Hosts.MemoryKB {
		w.audit.breach(w, 4, h, att, "memory ran out")
		w.kill(h, Reset)
	}
}

// shouldShed reports whether graceful degradation sheds a request. It counts the arrival of a request that is not shed.
func (w *world) shouldShed(h *host, req *request, att *attempt, priority float64) bool {
	state, now := h.degradation, w.now
	level, depth := state.controller.Level(), state.controller.Depth(now)
	if state.shedder.ShouldShed(level, depth, int(req.operation), int(req.tenant), priority, req.hint) {
		return true
	}
	state.signals.Count(now, degradation.Arrivals)
	if att.retry {
		state.signals.Count(now, degradation.RetriedArrivals)
	}
	return false
}
