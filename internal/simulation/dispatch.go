package simulation

import (
	"milletbarrow/admission"
)

// handle executes one event. Events of hosts, and of requests and attempts, are handled by hostEvent and attemptEvent.
func (w *world) handle(e *event) {
	if w.hostEvent(e) || w.attemptEvent(e) {
		return
	}
	switch e.kind {
	case evArrival:
		w.handleArrival()
	case evDependency:
		if w.dependency.generation == e.generation {
			w.completeCalls()
		}
	case evRefresh:
		w.refreshNode(e.subject)
	case evListed:
		if w.listed[e.subject] != (e.detail == 1) {
			w.listed[e.subject] = e.detail == 1
			w.registryVersion++
		}
	case evIdleCheck:
		w.checkIdle(e.subject, e.detail)
	case evFault:
		w.beginFault(int(e.subject))
	case evFaultOver:
		w.endFault(int(e.subject))
	case evSampleSecond:
		w.result.recordSecond(w)
		if w.now < w.scenario.Duration || w.active > 0 {
			w.queue.push(event{at: w.now + Second, kind: evSampleSecond})
		}
	case evLeaseExpiry:
		w.expireLeases()
	case evAgent:
		w.tickAgent(e.subject)
	}
}

// hostEvent executes an event of a host, and reports whether the event is of this group. An event of a process is
// dropped if that process has ended since it was scheduled.
func (w *world) hostEvent(e *event) bool {
	var handler func(h *host)
	switch e.kind {
	case evCores:
		if h := &w.hosts[e.subject]; h.cores.generation == e.generation {
			w.completeWork(h)
		}
		return true
	case evRestart:
		w.restart(&w.hosts[e.subject])
		return true
	case evWake:
		handler = func(h *host) { w.readGauges(h, int64(e.detail)) }
	case evWarmUp:
		handler = w.warmUp
	case evOverload:
		handler = w.checkOverload
	case evExit:
		handler = w.exitProcess
	case evLease:
		handler = func(h *host) {
			if w.now < w.scenario.Duration {
				w.renewLeases(h)
			}
		}
	default:
		return false
	}
	if h := &w.hosts[e.subject]; h.incarnation == e.generation && h.up {
		handler(h)
	}
	return true
}

// attemptEvent executes an event of a request or an attempt, and reports whether the event is of this group. The event
// is dropped if the index of its request or attempt was reused since it was scheduled.
func (w *world) attemptEvent(e *event) bool {
	switch e.kind {
	case evArriveAtHost, evAnswer, evCallerGone, evCallTimeout:
		if w.sameAttempt(e) {
			w.handleAttempt(e)
		}
	case evClientTimeout, evRetry, evHedge, evClientRetry:
		if w.requests[e.subject].generation == e.generation {
			w.handleRequest(e)
		}
	default:
		return false
	}
	return true
}

// handleAttempt executes an event of an attempt.
func (w *world) handleAttempt(e *event) {
	switch e.kind {
	case evArriveAtHost:
		w.arriveAtHost(e.subject)
	case evAnswer:
		w.receiveAnswer(e.subject)
	case evCallerGone:
		w.handleCallerGone(e.subject)
	case evCallTimeout:
		if att := &w.attempts[e.subject]; att.phase == phaseCalling && att.callNumber == uint32(e.detail) {
			w.endCall(e.subject, admission.TimedOut)
		}
	}
}

// handleRequest executes an event of a request.
func (w *world) handleRequest(e *event) {
	req := &w.requests[e.subject]
	switch {
	case e.kind == evClientRetry:
		w.resendRequest(e.subject)
	case req.finished:
	case e.kind == evClientTimeout:
		w.failRequest(e.subject, TimedOut)
	case e.kind == evRetry:
		w.startAttempt(e.subject, true)
	case e.kind == evHedge && req.openAttempts[1] == none && req.openAttempts[0] != none:
		w.startAttempt(e.subject, true)
	}
}

// sameAttempt reports whether the index of an event's attempt has not been reused since the event was scheduled.
func (w *world) sameAttempt(e *event) bool { return w.attempts[e.subject].generation == e.generation }
