package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// decide passes an event to a host's policy and performs the actions that the policy returns.
func (w *world) decide(h *host, ev admission.Event) {
	w.result.Decisions++
	var actions [4]admission.Action
	for _, action := range h.policy.Decide(w.now+h.clockSkew, ev, actions[:0]) {
		if h.up {
			w.perform(h, action)
		}
	}
}

// minIdleTimeout is the lowest idle timeout that a policy can set.
const minIdleTimeout = Second / 10

// perform executes one action of a host's policy.
func (w *world) perform(h *host, action admission.Action) {
	switch a := action.(type) {
	case admission.Throttle:
		w.throttle(h, a)
	case admission.Fail:
		if j := w.attemptToAnswer(h, a.ID); j != none {
			w.answer(h, j, Errored)
			w.releaseWaiter(h, j)
		}
	case admission.Start:
		if j := w.attemptInPhase(h, a.ID, phaseQueued); j != none {
			w.startRun(h, j)
		}
	case admission.Stop:
		if j := w.attemptInPhase(h, a.ID, phaseRunning); j != none {
			w.preempt(h, j)
		}
	case admission.Call:
		if j := w.attemptInPhase(h, a.ID, phaseBeforeCall); j != none {
			w.startCall(h, j, a.Timeout)
		}
	case admission.SkipCall:
		if j := w.attemptInPhase(h, a.ID, phaseBeforeCall); j != none {
			w.attempts[j].callSkipped = true
			w.resumeRun(h, j)
		}
	case admission.Remember:
		w.cacheResult(h, a)
	case admission.Forget:
		if h.cachedResults[a.ID] != nil {
			delete(h.cachedResults, a.ID)
			h.idempotencyKeysKB -= idempotencyKeyKB
		}
	case admission.Reuse:
		if j := w.inFlightAttempt(h, a.ID); j != none {
			w.reuseResult(h, j)
		}
	case admission.SetHealth:
		w.setHealth(h, a.Good)
	case admission.CloseIdle:
		h.idleTimeout = max(a.After, minIdleTimeout)
	case admission.Wake:
		w.queue.pushLane(
			laneTick,
			event{
				at:         max(a.At-h.clockSkew, w.now+1),
				kind:       evWake,
				subject:    h.number,
				detail:     int32(a.Token),
				generation: h.incarnation,
			},
		)
	}
}

// attemptInPhase returns the attempt with an id if it is on the host and in that phase, or none.
func (w *world) attemptInPhase(h *host, id string, p phase) int32 {
	if j := w.inFlightAttempt(h, id); j != none && w.attempts[j].phase == p {
		return j
	}
	return none
}

// attemptToAnswer returns the attempt with an id, or none. An answer to an attempt that is not in flight breaks rule 1.
func (w *world) attemptToAnswer(h *host, id string) int32 {
	j := w.inFlightAttempt(h, id)
	if j == none {
		w.audit.breach(w, 1, h, nil, "an answer for "+id+", which is not in hand")
	}
	return j
}

// throttle rejects an attempt.
func (w *world) throttle(h *host, a admission.Throttle) {
	j := w.attemptToAnswer(h, a.ID)
	if j == none {
		return
	}
	att := &w.attempts[j]
	att.retryAfter, att.dontRetry = min(a.RetryAfter, w.scenario.Hosts.MaxRetryAfter), a.DontRetry
	if state := h.degradation; state != nil && att.answers == 0 &&
		!att.shed { // requests shed by degradation must not keep its level up
		state.signals.Count(w.now, degradation.Rejections)
	}
	w.answer(h, j, Throttled)
	w.releaseWaiter(h, j)
}

// idempotencyKeyKB is the memory that an idempotency key takes on a host.
const idempotencyKeyKB = 0.2

// cacheResult caches the result of an attempt with an idempotency key, or extends its expiry.
func (w *world) cacheResult(h *host, a admission.Remember) {
	j := w.attemptByID(a.ID)
	if j == none {
		return
	}
	if h.cachedResults == nil {
		h.cachedResults, h.resultsByRequest = map[string]*cachedResult{}, map[uint64]string{}
	}
	if cached := h.cachedResults[a.ID]; cached != nil {
		cached.expiresAt = w.now + a.For
		return
	}
	h.cachedResults[a.ID] = &cachedResult{expiresAt: w.now + a.For, attempt: j}
	h.resultsByRequest[w.requests[w.attempts[j].request].number] = a.ID
	h.idempotencyKeysKB += idempotencyKeyKB
}

// setHealth changes a host's health. The endpoint registry follows after its lag.
func (w *world) setHealth(h *host, good bool) {
	if good == h.healthy {
		return
	}
	h.healthy = good
	listed := int32(0)
	if good {
		listed = 1
	}
	w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: listed})
}

// inFlightAttempt returns the attempt with an id if this incarnation of the host has it in flight, or none.
func (w *world) inFlightAttempt(h *host, id string) int32 {
	j := w.attemptByID(id)
	if j == none || w.attempts[j].host != h.number || w.attempts[j].incarnation != h.incarnation ||
		!w.attempts[j].atHost {
		return none
	}
	return j
}
