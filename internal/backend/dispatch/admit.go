package dispatch

import (
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// freshTickTimeout is how long an arrival waits for a tick after a stall, in units of the timeout of a sample: the
// tick may have to request a second sample.
const freshTickTimeout = 2

// Admit passes a request to the module and blocks until it is to run, is answered without a run, or its caller has
// left. The request returned is nil unless the verdict is Admitted; then Complete must be called once the run has
// ended.
func (d *Dispatcher) Admit(inv Invocation) (Response, *Request) {
	d.awaitFreshTick()
	req := d.register(inv)
	var resp Response
	select {
	case resp = <-req.responses:
	case <-inv.CallerLeft:
		d.Abandon(req)
		resp = <-req.responses
	}
	if resp.Verdict != Admitted {
		return resp, nil
	}
	return resp, req
}

// Abandon reports that the caller has left. A run goes on, and Complete must still be called.
func (d *Dispatcher) Abandon(req *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !req.answered {
		d.respond(req, Response{Verdict: Abandoned})
		_ = d.decide(Now(), admission.CallerGone{ID: req.id})
	}
}

// Complete reports how a run ended and its result, which may be cached. owed reports whether the caller is still to be
// answered: it is false if the final response has been given, or the caller has left.
func (d *Dispatcher) Complete(req *Request, outcome Outcome, result []byte) (owed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owed = !req.answered
	if owed && outcome == RunSucceeded {
		d.countSuccess(req)
	}
	req.answered = true
	if outcome == NeverRan || outcome == Unrunnable {
		d.refundUnit(req)
	}
	delete(d.inFlight, req.id)
	d.recordResult(req, outcome, result)
	_ = d.decide(Now(), admission.Finished{ID: req.id, Outcome: moduleOutcomes[outcome]})
	return owed
}

// awaitFreshTick waits for the next tick if the last one is older than StallThreshold. A process that was suspended
// finds many arrivals at once, while the ends of runs and the new gauges are still unread on the executor's
// connection. The next sample follows those ends, so that the arrivals are not decided on outdated gauges.
func (d *Dispatcher) awaitFreshTick() {
	d.mu.Lock()
	if d.backend == nil || Now()-d.lastTick <= monotime.FromDuration(d.bounds.StallThreshold) {
		d.mu.Unlock()
		return
	}
	if d.tickDone == nil {
		d.tickDone = make(chan struct{})
	}
	tickDone := d.tickDone
	d.mu.Unlock()
	timeout := time.NewTimer(freshTickTimeout * d.bounds.SampleTimeout)
	defer timeout.Stop()
	select {
	case <-tickDone:
	case <-timeout.C:
	}
}

// register rejects a request early, or adds it to those in flight and passes it to the module.
func (d *Dispatcher) register(inv Invocation) *Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	req := d.newRequest(&inv)
	keyed := d.identify(&inv, req)
	if resp, rejected := d.rejectEarly(now, &inv, req, keyed); rejected {
		// It is not in flight: when its caller leaves, no other request with the same ID may end.
		req.answered = true
		req.responses <- resp
		return req
	}
	d.inFlight[inv.ID] = req
	d.counts.Arrived++
	if req.deadline <= now {
		d.counts.Expired++
	}
	req.shedAdvice = d.shedAdvice(&inv, req)
	if err := d.decide(now, arrival(now, &inv, req, d.acquireUnit(&inv, req))); err != nil {
		d.respond(req, Response{Verdict: Errored})
	}
	return req
}

// arrival returns the event of a request that is passed to the module.
func arrival(now monotime.Micros, inv *Invocation, req *Request, standing admission.QuotaStanding) admission.Arrived {
	return admission.Arrived{
		ID:           inv.ID,
		Operation:    inv.Operation,
		Tenant:       inv.Tenant,
		Priority:     inv.Rank,
		Retry:        inv.Retry,
		ExpectedWork: inv.ExpectedWork,
		MemoryKB:     inv.MemoryKB,
		RepeatOf:     req.original,
		ShedFor:      req.shedAdvice,
		QueueTime:    max(0, now-inv.ArrivedAt), // ArrivedAt is later than now if the wall clock was set back
		TimeLeft:     max(1, req.deadline-now),  // 0 would mean that there is no deadline
		Quota:        standing,
	}
}

// newRequest returns a request that is not yet in flight.
func (d *Dispatcher) newRequest(inv *Invocation) *Request {
	req := &Request{
		id:          inv.ID,
		deadline:    inv.ArrivedAt + inv.CallerTimeout,
		drawnBudget: noBudget,
		responses:   make(chan Response, maxResponses),
	}
	if operations := d.settings.Admission.Operations; inv.Operation < len(operations) {
		req.objectiveAt = inv.ArrivedAt + operations[inv.Operation].Objective
	}
	return req
}

// rejectEarly returns the response to a request that is rejected without a decision of the module.
func (d *Dispatcher) rejectEarly(
	now monotime.Micros, inv *Invocation, req *Request, keyed bool,
) (resp Response, rejected bool) {
	retryElsewhere := Response{Verdict: Throttled, RetryAfter: d.settings.Admission.MaxRetryAfter}
	if req.original != "" { // the original ran here or may still run: no other backend may run it too
		retryElsewhere = Response{Verdict: Errored}
	}
	switch {
	case d.isDuplicateID(inv.ID):
		return Response{Verdict: Errored}, true
	case d.backend == nil:
		return Response{Verdict: Throttled}, true
	case d.betweenGraceEnds(min(now, inv.ArrivedAt)):
		return retryElsewhere, true
	case keyed && (inv.IdempotencyKey == "" || now-inv.ArrivedAt > d.maxReadDelay()):
		// Its original cannot be determined: there is no key, or the original may have been evicted.
		return Response{Verdict: Errored}, true
	case keyed && req.original == "" && !d.results.HasCapacity(): // its result could not be cached for its repeats
		d.counts.CacheFull++
		return retryElsewhere, true
	}
	return Response{}, false
}

// isDuplicateID reports whether another request with this ID is in flight or in the result cache. IDs are unique for
// each attempt, so this is an error of the caller; it must neither end the other request nor evict its result.
func (d *Dispatcher) isDuplicateID(id string) bool {
	return d.inFlight[id] != nil || d.results != nil && d.results.Contains(id)
}

// betweenGraceEnds reports whether a request arrived after the grace period, and before the module's own one ends; see
// Drain.
func (d *Dispatcher) betweenGraceEnds(arrivedAt monotime.Micros) bool {
	return d.graceEnd != 0 && d.graceEnd <= arrivedAt && arrivedAt <= d.moduleGraceEnd
}

// respond gives a request its final response, once.
func (d *Dispatcher) respond(req *Request, resp Response) {
	if req.answered {
		return
	}
	req.answered = true
	req.responses <- resp
	if !req.running {
		d.refundUnit(req)
	}
	if req.original != "" {
		d.results.RemoveWaiter(req.original, req.id)
	}
	d.countResponse(req, resp.Verdict)
	if !req.running {
		delete(d.inFlight, req.id)
	}
}

// countResponse counts a final response.
func (d *Dispatcher) countResponse(req *Request, verdict Verdict) {
	switch verdict {
	case Throttled:
		d.counts.Throttled++
		if req.shedAdvice == 0 {
			d.degradation.count(degradation.Rejections)
		}
	case Errored:
		d.counts.Errored++
	case Abandoned:
		d.counts.Abandoned++
	case Replayed:
		d.counts.Replayed++
		d.countSuccess(req)
	default: // Admitted is no final response
	}
}
