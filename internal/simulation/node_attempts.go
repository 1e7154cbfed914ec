package simulation

import (
	"math"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Parameters of the edge nodes and callers.
const (
	latencyWeight      = 0.1 // weight of a new latency in the moving average
	minBackoff         = Millisecond
	maxDoublings       = 8      // doublings of the backoff, counted from the first attempt
	maxClientRetries   = 3      // times that a caller sends a request again
	unreachableBackoff = Second // time for which an unreachable host is avoided
)

// startAttempt sends an attempt of a request. retry marks it as a retry.
func (w *world) startAttempt(i int32, retry bool) {
	req := &w.requests[i]
	n := &w.nodes[req.node]
	s := &w.scenario.Nodes
	if w.policy.throttles(w.scenario) {
		n.requested.add(w.now, s.ThrottleWindow, 1)
		n.accepted.add(w.now, s.ThrottleWindow, 0)
		// Client-side throttling by the share accepted recently, "Handling Overload", Site Reliability Engineering,
		// 2016: K = 2.
		if w.nodeRand.Float64() < (n.requested.sum-2*n.accepted.sum)/(n.requested.sum+1) {
			w.retryOrEnd(i, ThrottledByNode)
			return
		}
	}
	k := w.chooseSlot(req, n)
	op := &w.scenario.Operations[req.operation]
	if op.RetrySafety == admission.IdempotencyKeyed &&
		req.mayHaveRun { // only the host that may have run it has the key
		k = req.lastSlot
		if !w.listed[n.slots[k].host] {
			k = none
		}
	}
	if k == none {
		w.retryOrEnd(i, Unreachable)
		return
	}
	req.attempts++
	req.liveAttempts++
	req.lastSlot = k
	sl := &n.slots[k]
	h := &w.hosts[sl.host]
	j := w.newAttempt(op.RetrySafety == admission.IdempotencyKeyed)
	att := &w.attempts[j]
	att.request, att.host, att.slot, att.incarnation = i, sl.host, k, h.incarnation
	att.retry, att.atNode, att.prev, att.next = retry, true, none, none
	if req.openAttempts[0] == none {
		req.openAttempts[0] = j
	} else {
		req.openAttempts[1] = j
	}
	sl.inFlight++
	w.result.Attempts++
	delay := w.networkDelay(req.node, sl.host)
	if delay < 0 { // the node is partitioned from the host: its connection times out
		att.outcome = Unreachable
		w.queue.push(
			event{at: min(w.now+Second, max(req.due-1, w.now)), kind: evAnswer, subject: j, generation: att.generation},
		)
		return
	}
	w.queue.pushLane(laneNet, event{at: w.now + delay, kind: evArriveAtHost, subject: j, generation: att.generation})
}

// networkDelay returns the delay of a message between a node and a host. It is negative if the message never arrives.
func (w *world) networkDelay(node, host int32) monotime.Micros {
	if len(w.partitionedNodes) > 0 && host < w.partitionedHosts && w.partitionedNodes[node] {
		return -1
	}
	d := w.scenario.Nodes.NetworkDelay
	if w.grayDelay > 0 && node%2 == 0 && w.grayHosts[host] {
		d += w.grayDelay
	}
	return d
}

// receiveAnswer handles the end of an attempt at its node: an answer or a failed connection.
func (w *world) receiveAnswer(j int32) {
	att := &w.attempts[j]
	i := att.request
	req := &w.requests[i]
	n := &w.nodes[req.node]
	sl := &n.slots[att.slot]
	sl.inFlight--
	sl.usedAt = w.now
	outcome, retryAfter, dontRetry := att.outcome, att.retryAfter, att.dontRetry
	skipped := att.callSkipped
	att.atNode = false
	for k := range req.openAttempts {
		if req.openAttempts[k] == j {
			req.openAttempts[k] = none
		}
	}
	finished := req.finished
	w.freeAttempt(j)
	if outcome == Unreachable || outcome == Reset {
		sl.avoidUntil, sl.connected = w.now+unreachableBackoff, false
	}
	if finished {
		return
	}
	switch outcome {
	case Succeeded:
		n.accepted.add(w.now, w.scenario.Nodes.ThrottleWindow, 1)
		sl.latency += (float64(w.now-req.arrivedAt) - sl.latency) * latencyWeight
		w.succeedRequest(i, skipped)
		return
	case Errored:
		n.accepted.add(w.now, w.scenario.Nodes.ThrottleWindow, 1)
		req.mayHaveRun = true
	case Reset:
		req.mayHaveRun = true
	case Throttled:
		if !n.ignoresAdvice {
			sl.avoidUntil = max(sl.avoidUntil, w.now+retryAfter)
			req.retryForbidden = dontRetry
		}
	}
	w.retryOrEnd(i, outcome)
}

// retryOrEnd retries a request after an attempt without success, or ends it.
func (w *world) retryOrEnd(i int32, outcome Outcome) {
	req := &w.requests[i]
	n := &w.nodes[req.node]
	op := &w.scenario.Operations[req.operation]
	s := &w.scenario.Nodes
	if req.openAttempts[0] != none || req.openAttempts[1] != none {
		return // the other of two hedged attempts is still open
	}
	safe := outcome == Throttled || outcome == Unreachable || outcome == ThrottledByNode ||
		op.RetrySafety != admission.NonIdempotent
	if !safe || req.retryForbidden && !n.ignoresAdvice || s.MaxAttempts > 0 && int(req.attempts) >= s.MaxAttempts ||
		outcome == ThrottledByNode {
		w.failRequest(i, outcome)
		return
	}
	backoff := float64(s.Backoff) * math.Exp2(float64(min(req.attempts, maxDoublings)-1))
	if n.ignoresAdvice {
		backoff = float64(s.Backoff)
	}
	at := w.now + max(minBackoff, monotime.Micros(backoff*(0.5+w.nodeRand.Float64())))
	if at >= req.due {
		w.failRequest(i, outcome)
		return
	}
	w.queue.push(event{at: at, kind: evRetry, subject: i, generation: req.generation})
}

// succeedRequest ends a request with success and records its value.
func (w *world) succeedRequest(i int32, skipped bool) {
	req := &w.requests[i]
	op := &w.scenario.Operations[req.operation]
	took := w.now - req.arrivedAt
	value := op.Value
	if took > op.Objective {
		value *= op.LateValue
	}
	if skipped {
		value *= op.ValueWithoutCall
	}
	w.result.RecordOutcome(w.scenario, w.now, int(req.operation), int(req.tenant), Succeeded, took, value)
	w.result.QuotaPriced += value * w.quotaValueFactor(int(req.tenant))
	w.closeRequest(i)
}

// failRequest ends a request without success. The caller may send it again.
func (w *world) failRequest(i int32, outcome Outcome) {
	req := &w.requests[i]
	w.result.RecordOutcome(w.scenario, w.now, int(req.operation), int(req.tenant), outcome, w.now-req.arrivedAt, 0)
	op := &w.scenario.Operations[req.operation]
	if req.clientRetries < maxClientRetries && w.nodeRand.Float64() < w.scenario.Nodes.ClientRetryShare &&
		(op.RetrySafety != admission.NonIdempotent || outcome == Throttled || outcome == ThrottledByNode) {
		req.clientRetries++
		w.notifyHosts(req)
		req.finished, req.clientWillRetry = true, true
		w.queue.push(
			event{
				at:         w.now + monotime.Micros(float64(w.scenario.Nodes.ClientRetryDelay)*(0.5+w.nodeRand.Float64())),
				kind:       evClientRetry,
				subject:    i,
				generation: req.generation,
			},
		)
		return
	}
	w.closeRequest(i)
}

// notifyHosts notifies the hosts of a request's open attempts, after a delay, that the caller has left.
func (w *world) notifyHosts(req *request) {
	for _, j := range req.openAttempts {
		if j == none || w.scenario.Nodes.CancelDelay < 0 {
			continue
		}
		if d := w.networkDelay(req.node, w.attempts[j].host); d >= 0 {
			w.queue.push(
				event{
					at:         w.now + d + w.scenario.Nodes.CancelDelay,
					kind:       evCallerGone,
					subject:    j,
					generation: w.attempts[j].generation,
				},
			)
		}
	}
}

// closeRequest ends a request that its caller does not send again.
func (w *world) closeRequest(i int32) {
	req := &w.requests[i]
	w.notifyHosts(req)
	req.finished = true
	w.releaseRequest(i)
}

// releaseRequest frees a finished request that no attempt refers to.
func (w *world) releaseRequest(i int32) {
	if req := &w.requests[i]; req.finished && !req.clientWillRetry && req.liveAttempts == 0 {
		req.finished = false // so that it is freed only once
		w.freeRequest(i)
	}
}

// resendRequest sends a caller's request again. It has no retry mark, as the node sees a new request.
func (w *world) resendRequest(i int32) {
	previous := w.requests[i]
	k := w.newRequest()
	req := &w.requests[k]
	generation := req.generation
	*req = previous
	req.generation, req.liveAttempts, req.attempts = generation, 0, 0
	req.finished, req.clientWillRetry, req.retryForbidden = false, false, false
	req.openAttempts = [2]int32{none, none}
	req.arrivedAt, req.due = w.now, w.now+w.scenario.Operations[req.operation].Timeout
	w.requests[i].clientWillRetry = false
	w.releaseRequest(i)
	w.result.ClientRetries++
	w.queue.pushLane(
		laneDue+int(req.operation),
		event{at: req.due, kind: evClientTimeout, subject: k, generation: req.generation},
	)
	w.startAttempt(k, false)
}
