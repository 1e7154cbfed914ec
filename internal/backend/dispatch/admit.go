package dispatch

import (
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// freshTickTimeoutFactor is the longest wait of an arrival for a tick after a stall, as a multiple of SampleTimeout.
// The tick may have to request a second sample.
const freshTickTimeoutFactor = 2

// Admit submits a request to the decision module and blocks until the request is admitted, rejected or answered from
// the result cache, or its caller cancels it. The returned request is nil unless the verdict is Admitted; the server
// must then call Complete when the run has ended.
func (d *Dispatcher) Admit(inv Invocation) (Response, *Request) {
	d.awaitFreshTick()
	req := d.register(inv)
	var resp Response
	select {
	case resp = <-req.responses:
	case <-inv.Canceled:
		d.Abandon(req)
		resp = <-req.responses
	}
	if resp.Verdict != Admitted {
		return resp, nil
	}
	return resp, req
}

// Abandon reports that the caller has canceled a request. A run in progress continues, and Complete must still be
// called.
func (d *Dispatcher) Abandon(req *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !req.answered {
		d.respond(req, Response{Verdict: Abandoned})
		_ = d.decide(Now(), admission.CallerGone{ID: req.id})
	}
}

// Complete reports the outcome of a run and its result, which may be cached. answerDue reports whether the caller still
// expects an answer: it is false if the request has had its final response or was canceled.
func (d *Dispatcher) Complete(req *Request, outcome Outcome, result []byte) (answerDue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answerDue = !req.answered
	if answerDue && outcome == RunSucceeded {
		d.countSuccess(req)
	}
	req.answered = true
	if outcome == NeverRan || outcome == Unrunnable {
		d.refundUnit(req)
	}
	delete(d.inFlight, req.id)
	d.recordResult(req, outcome, result)
	if req.nonIdempotent && outcome != NeverRan && outcome != Unrunnable {
		d.recentIDs.Add(Now(), req.id)
	}
	_ = d.decide(Now(), admission.Finished{ID: req.id, Outcome: moduleOutcomes[outcome]})
	return answerDue
}

// awaitFreshTick waits for the next tick if the last one is older than StallThreshold. When a suspended process
// resumes, it reads many arrivals at once, while completed runs and new gauges are still unread on the executor's
// connection. The executor sends the next sample after those completions, so waiting for it avoids decisions on
// outdated gauges.
func (d *Dispatcher) awaitFreshTick() {
	d.mu.Lock()
	if d.backend == nil || !d.stalledAt(Now()) {
		d.mu.Unlock()
		return
	}
	if d.tickDone == nil {
		d.tickDone = make(chan struct{})
	}
	tickDone := d.tickDone
	d.mu.Unlock()
	timeout := time.NewTimer(freshTickTimeoutFactor * d.bounds.SampleTimeout)
	defer timeout.Stop()
	select {
	case <-tickDone:
	case <-timeout.C:
	}
}

// register rejects a request early, or adds it to the requests in flight and submits it to the module.
func (d *Dispatcher) register(inv Invocation) *Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	req := d.newRequest(&inv)
	keyed := d.identify(&inv, req)
	if resp, rejected := d.rejectEarly(now, &inv, req, keyed); rejected {
		// The request is not in flight. Mark it as answered, so that canceling it does not end another request with
		// the same ID.
		req.answered = true
		req.responses <- resp
		return req
	}
	d.inFlight[inv.ID] = req
	d.counts.Arrived++
	if req.deadline <= now {
		d.counts.Expired++
	}
	req.shedRetryAfter = d.shedRetryAfter(&inv, req)
	if err := d.decide(now, arrival(now, &inv, req, d.acquireUnit(&inv, req))); err != nil {
		d.respond(req, Response{Verdict: Errored})
	}
	return req
}

// arrival returns the module's event for the arrival of a request.
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
		ShedFor:      req.shedRetryAfter,
		QueueTime:    max(0, now-inv.ArrivedAt), // ArrivedAt is in the future if the wall clock was set back
		TimeLeft:     max(1, req.deadline-now),  // 0 would mean no deadline
		Quota:        standing,
	}
}

// newRequest returns a request that has not been added to those in flight.
func (d *Dispatcher) newRequest(inv *Invocation) *Request {
	req := &Request{
		id:         inv.ID,
		deadline:   inv.ArrivedAt + inv.CallerTimeout,
		unitBudget: noBudget,
		responses:  make(chan Response, maxResponses),
	}
	if operations := d.settings.Admission.Operations; inv.Operation < len(operations) {
		req.objectiveAt = inv.ArrivedAt + operations[inv.Operation].Objective
		req.nonIdempotent = operations[inv.Operation].RetrySafety == admission.NonIdempotent
	}
	return req
}

// rejectEarly returns the response to a request that the dispatcher rejects without consulting the module.
func (d *Dispatcher) rejectEarly(
	now monotime.Micros, inv *Invocation, req *Request, keyed bool,
) (resp Response, rejected bool) {
	retryElsewhere := Response{Verdict: Throttled, RetryAfter: d.settings.Admission.MaxRetryAfter}
	if req.original != "" { // the original ran here or may still run, so no other backend may run it as well
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
		// The original cannot be determined: there is no key, or the original may have been evicted.
		return Response{Verdict: Errored}, true
	case keyed && req.original == "" && !d.results.HasCapacity(): // no room to cache the result for repeats
		d.counts.CacheFull++
		return retryElsewhere, true
	case req.nonIdempotent && !d.recentIDs.HasCapacity(now, len(d.inFlight)): // its ID could not be kept after the run
		d.counts.CacheFull++
		return retryElsewhere, true
	}
	return Response{}, false
}

// isDuplicateID reports whether another request with this ID is in flight, in the result cache, or was non-idempotent
// and ran. Each attempt must have a unique ID, so a duplicate is the caller's error. It must neither end the other
// request, nor evict its result, nor run a second time after the caller of the first has left.
func (d *Dispatcher) isDuplicateID(id string) bool {
	return d.inFlight[id] != nil ||
		d.results != nil && d.results.Contains(id) ||
		d.recentIDs != nil && d.recentIDs.Contains(Now(), id)
}

// betweenGraceEnds reports whether a request arrived after the end of the dispatcher's grace period and before the end
// of the module's; see Drain.
func (d *Dispatcher) betweenGraceEnds(arrivedAt monotime.Micros) bool {
	return d.graceEnd != 0 && d.graceEnd <= arrivedAt && arrivedAt <= d.moduleGraceEnd
}

// respond sends the final response to a request, unless it has had one.
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

// countResponse counts a final response by verdict.
func (d *Dispatcher) countResponse(req *Request, verdict Verdict) {
	switch verdict {
	case Throttled:
		d.counts.Throttled++
		if req.shedRetryAfter == 0 {
			d.degradation.count(degradation.Rejections)
		}
	case Errored:
		d.counts.Errored++
	case Abandoned:
		d.counts.Abandoned++
	case Replayed:
		d.counts.Replayed++
		d.countSuccess(req)
	default: // Admitted is not a final response
	}
}
