package simulation

import (
	"math"

	"milletbarrow/admission"
)

// node is an edge node: it knows some hosts, opens connections to them and makes attempts.
type node struct {
	slots           []slot
	view            []int32 // slots that are on its list now
	registryVersion uint32  // of the endpoint registry, when it last looked
	nextSlot        int
	ignoresAdvice   bool
	requested       decayingSum // for its own throttle
	accepted        decayingSum
}

// slot is what a node knows of one host.
type slot struct {
	host        int32
	inFlight    int32
	incarnation uint32 // of the host to which the connection leads
	connected   bool
	usedAt      Micros
	avoidUntil  Micros
	latency     float64 // microseconds an answer takes of late
}

// decayingSum is a sum that forgets.
type decayingSum struct {
	sum       float64
	updatedAt Micros
}

func (d *decayingSum) add(now, over Micros, x float64) {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(over))
		d.updatedAt = now
	}
	d.sum += x
}

// placeNode gives a node its hosts: every so many along the ring, so that the hosts' parts are alike, and twice as many as it
// uses, so that it has others when some leave the endpoint registry.
func (w *world) placeNode(i int32) {
	n, h := &w.nodes[i], w.scenario.Hosts.Count
	size := w.scenario.Nodes.Subset
	if size <= 0 || size > h {
		size = h
	}
	pool := min(h, 2*size)
	start, step := w.faultRand.IntN(h), 1+w.faultRand.IntN(h)
	for gcd(step, h) != 1 {
		step++
	}
	n.slots = make([]slot, pool)
	for k := range n.slots {
		n.slots[k] = slot{host: int32((start + k*step) % h), latency: 20_000}
	}
	n.ignoresAdvice = float64(i) < w.scenario.Nodes.UnresponsiveShare*float64(w.scenario.Nodes.Count)
	n.nextSlot = w.faultRand.IntN(pool)
	w.refreshView(n)
	w.queue.push(event{at: Micros(w.faultRand.Float64() * float64(w.scenario.Nodes.RefreshInterval)), kind: evRefresh, subject: i})
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (w *world) refreshNode(i int32) {
	if w.now >= w.scenario.Duration && w.active == 0 {
		return
	}
	if n := &w.nodes[i]; n.registryVersion != w.registryVersion {
		w.refreshView(n)
	}
	w.queue.push(event{at: w.now + w.scenario.Nodes.RefreshInterval, kind: evRefresh, subject: i})
}

func (w *world) refreshView(n *node) {
	n.registryVersion = w.registryVersion
	size := w.scenario.Nodes.Subset
	if size <= 0 {
		size = len(n.slots)
	}
	n.view = n.view[:0]
	for k := range n.slots {
		if w.listed[n.slots[k].host] && len(n.view) < size {
			n.view = append(n.view, int32(k))
		}
	}
}

// chooseSlot is the slot for a try; none where the list is empty or all of it is to be left alone for now.
func (w *world) chooseSlot(req *request, n *node) int32 {
	v := n.view
	if len(v) == 0 {
		return none
	}
	usable := func(k int32) bool {
		return n.slots[k].avoidUntil <= w.now && (k != req.lastSlot || len(v) == 1)
	}
	if k := w.balancedSlot(n, usable); k != none {
		return k
	}
	for range v { // in turn, also where the balancing policy found nothing
		n.nextSlot++
		if k := v[n.nextSlot%len(v)]; usable(k) {
			return k
		}
	}
	if req.attempts == 0 { // a first attempt goes to somebody, even one that asked to be left alone
		n.nextSlot++
		return v[n.nextSlot%len(v)]
	}
	return none
}

// balancedSlot is the choice of the node's balancing policy, or none.
func (w *world) balancedSlot(n *node, usable func(int32) bool) int32 {
	v := n.view
	switch w.policy.balance(w.scenario) {
	case Random:
		for range 4 {
			if k := v[w.nodeRand.IntN(len(v))]; usable(k) {
				return k
			}
		}
	case TwoChoices:
		x, y := v[w.nodeRand.IntN(len(v))], v[w.nodeRand.IntN(len(v))]
		if !usable(x) || usable(y) && n.slots[y].inFlight < n.slots[x].inFlight {
			x = y
		}
		if usable(x) {
			return x
		}
	case LeastLoad:
		return w.leastLoad(n, usable)
	case Oracle:
		return w.leastTrueLoad(n)
	}
	return none
}

// leastLoad is the usable host with the least expected wait; ties go to the first from a random place on.
func (w *world) leastLoad(n *node, usable func(int32) bool) int32 {
	v := n.view
	best, least := none, 0.0
	from := w.nodeRand.IntN(len(v))
	for i := range v {
		k := v[(from+i)%len(v)]
		if load := float64(n.slots[k].inFlight+1) * n.slots[k].latency; usable(k) && (best == none || load < least) {
			best, least = k, load
		}
	}
	return best
}

// leastTrueLoad is what an oracle would choose: the host whose cores have the least work in hand by their speed, as it was 0.1 s
// ago. What the oracle itself has sent since is known to it.
func (w *world) leastTrueLoad(n *node) int32 {
	if w.now >= w.oracleAt+100*Millisecond {
		w.oracleAt = w.now
		for i := range w.hosts {
			h := &w.hosts[i]
			w.oracleLoad[i] = float64(h.inFlight) + 0.5
			if speed := h.baseSpeed / h.slowdown * h.warmUpSpeed * h.coreShare; h.up && !h.draining && speed > 0 {
				w.oracleLoad[i] /= speed
			} else {
				w.oracleLoad[i] = math.Inf(1)
			}
		}
	}
	best := none
	for _, k := range n.view {
		if best == none || w.oracleLoad[n.slots[k].host] < w.oracleLoad[n.slots[best].host] {
			best = k
		}
	}
	if best != none {
		w.oracleLoad[n.slots[best].host]++
	}
	return best
}

// startAttempt sends one attempt. A further one carries the retry mark.
func (w *world) startAttempt(i int32, retry bool) {
	req := &w.requests[i]
	n := &w.nodes[req.node]
	s := &w.scenario.Nodes
	if w.policy.throttles(w.scenario) {
		n.requested.add(w.now, s.ThrottleWindow, 1)
		n.accepted.add(w.now, s.ThrottleWindow, 0)
		// Client-side throttling by the share accepted of late, "Handling Overload", Site Reliability Engineering, 2016: K = 2.
		if w.nodeRand.Float64() < (n.requested.sum-2*n.accepted.sum)/(n.requested.sum+1) {
			w.retryOrEnd(i, Local)
			return
		}
	}
	k := w.chooseSlot(req, n)
	op := &w.scenario.Operations[req.operation]
	if op.RetrySafety == admission.IdempotencyKeyed && req.maybeRan { // only the one that may have run it knows of it
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
	att.request, att.host, att.slot, att.incarnation, att.retry, att.atNode, att.prev, att.next = i, sl.host, k, h.incarnation, retry, true, none, none
	if req.openAttempts[0] == none {
		req.openAttempts[0] = j
	} else {
		req.openAttempts[1] = j
	}
	sl.inFlight++
	w.result.Attempts++
	delay := w.networkDelay(req.node, sl.host)
	if delay < 0 { // cut off: it finds out when no connection comes about
		att.outcome = Unreachable
		w.queue.push(event{at: min(w.now+Second, max(req.due-1, w.now)), kind: evAnswer, subject: j, gen: att.gen})
		return
	}
	w.queue.pushLane(laneNet, event{at: w.now + delay, kind: evReach, subject: j, gen: att.gen})
}

// networkDelay is how long a message takes between a node and a host; negative: it never arrives.
func (w *world) networkDelay(node, host int32) Micros {
	if len(w.partitionedNodes) > 0 && host < w.partitionedHosts && w.partitionedNodes[node] {
		return -1
	}
	d := w.scenario.Nodes.NetworkDelay
	if w.grayDelay > 0 && node%2 == 0 && w.grayHosts[host] {
		d += w.grayDelay
	}
	return d
}

// connect opens the connection that an attempt needs, or uses the one that is there; false: the host has no room.
func (w *world) connect(att *attempt, h *host) (opened, ok bool) {
	n := &w.nodes[w.requests[att.request].node]
	sl := &n.slots[att.slot]
	if sl.connected && sl.incarnation == h.incarnation {
		sl.usedAt = w.now
		return false, true
	}
	if h.connections >= w.scenario.Hosts.Connections {
		return false, false
	}
	h.connections++
	sl.connected, sl.incarnation, sl.usedAt = true, h.incarnation, w.now
	w.queue.push(event{at: w.now + h.idleTimeout, kind: evIdleCheck, subject: w.requests[att.request].node, detail: att.slot, gen: h.incarnation})
	return true, true
}

func (w *world) checkIdle(node, k int32) {
	sl := &w.nodes[node].slots[k]
	h := &w.hosts[sl.host]
	if !sl.connected || sl.incarnation != h.incarnation || !h.up {
		return
	}
	if rests := w.now - sl.usedAt; rests < h.idleTimeout || sl.inFlight > 0 {
		if w.now < w.scenario.Duration || w.active > 0 {
			w.queue.push(event{at: w.now + max(h.idleTimeout-rests, Second/4), kind: evIdleCheck, subject: node, detail: k, gen: h.incarnation})
		}
		return
	}
	sl.connected = false
	h.connections--
}

// receiveAnswer is a node's end of an attempt: an answer, or the word that there is none.
func (w *world) receiveAnswer(j int32) {
	att := &w.attempts[j]
	i := att.request
	req := &w.requests[i]
	n := &w.nodes[req.node]
	sl := &n.slots[att.slot]
	sl.inFlight--
	sl.usedAt = w.now
	out, retryIn, dont := att.outcome, att.retryIn, att.dontRetry
	skipped := att.skipped
	att.atNode = false
	for k := range req.openAttempts {
		if req.openAttempts[k] == j {
			req.openAttempts[k] = none
		}
	}
	over := req.finished
	w.freeAttempt(j)
	if out == Unreachable || out == Reset {
		sl.avoidUntil, sl.connected = w.now+Second, false
	}
	if over {
		return
	}
	switch out {
	case Succeeded:
		n.accepted.add(w.now, w.scenario.Nodes.ThrottleWindow, 1)
		sl.latency += (float64(w.now-req.arrivedAt) - sl.latency) * 0.1
		w.succeedRequest(i, skipped)
		return
	case Errored:
		n.accepted.add(w.now, w.scenario.Nodes.ThrottleWindow, 1)
		req.maybeRan = true
	case Reset:
		req.maybeRan = true
	case Throttled:
		if !n.ignoresAdvice {
			sl.avoidUntil = max(sl.avoidUntil, w.now+retryIn)
			req.retryForbidden = dont
		}
	}
	w.retryOrEnd(i, out)
}

// retryOrEnd is the decision about a retry.
func (w *world) retryOrEnd(i int32, out Outcome) {
	req := &w.requests[i]
	n := &w.nodes[req.node]
	op := &w.scenario.Operations[req.operation]
	s := &w.scenario.Nodes
	if req.openAttempts[0] != none || req.openAttempts[1] != none {
		return // a copy is still open
	}
	safe := out == Throttled || out == Unreachable || out == Local || op.RetrySafety != admission.NonIdempotent
	if !safe || req.retryForbidden && !n.ignoresAdvice || s.MaxAttempts > 0 && int(req.attempts) >= s.MaxAttempts || out == Local {
		w.failRequest(i, out)
		return
	}
	pause := float64(s.Backoff) * math.Exp2(float64(min(req.attempts, 8)-1))
	if n.ignoresAdvice {
		pause = float64(s.Backoff)
	}
	at := w.now + max(1000, Micros(pause*(0.5+w.nodeRand.Float64())))
	if at >= req.due {
		w.failRequest(i, out)
		return
	}
	w.queue.push(event{at: at, kind: evRetry, subject: i, gen: req.gen})
}

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
	w.result.QuotaPriced += value * w.quotaPrice(int(req.tenant))
	w.closeRequest(i)
}

// failRequest gives an ask up. Its caller may ask anew.
func (w *world) failRequest(i int32, out Outcome) {
	req := &w.requests[i]
	w.result.RecordOutcome(w.scenario, w.now, int(req.operation), int(req.tenant), out, w.now-req.arrivedAt, 0)
	op := &w.scenario.Operations[req.operation]
	if req.clientRetries < 3 && w.nodeRand.Float64() < w.scenario.Nodes.ClientRetryShare && (op.RetrySafety != admission.NonIdempotent || out == Throttled || out == Local) {
		req.clientRetries++
		w.notifyCallers(req)
		req.finished, req.retriesLater = true, true
		w.queue.push(event{at: w.now + Micros(float64(w.scenario.Nodes.ClientRetryDelay)*(0.5+w.nodeRand.Float64())), kind: evClientRetry, subject: i, gen: req.gen})
		return
	}
	w.closeRequest(i)
}

// notifyCallers lets the hosts know, late, that nobody waits any more.
func (w *world) notifyCallers(req *request) {
	for _, j := range req.openAttempts {
		if j == none || w.scenario.Nodes.CancelDelay < 0 {
			continue
		}
		if d := w.networkDelay(req.node, w.attempts[j].host); d >= 0 {
			w.queue.push(event{at: w.now + d + w.scenario.Nodes.CancelDelay, kind: evCallerGone, subject: j, gen: w.attempts[j].gen})
		}
	}
}

func (w *world) closeRequest(i int32) {
	req := &w.requests[i]
	w.notifyCallers(req)
	req.finished = true
	w.releaseRequest(i)
}

// releaseRequest frees an ask once no attempt of it is open.
func (w *world) releaseRequest(i int32) {
	if req := &w.requests[i]; req.finished && !req.retriesLater && req.liveAttempts == 0 {
		req.finished = false // once
		w.freeRequest(i)
	}
}

// repeatRequest begins a caller's wish again, without a mark: for the node it is a first try.
func (w *world) repeatRequest(i int32) {
	old := w.requests[i]
	k := w.newRequest()
	req := &w.requests[k]
	gen := req.gen
	*req = old
	req.gen, req.liveAttempts, req.finished, req.retriesLater, req.attempts, req.retryForbidden, req.openAttempts = gen, 0, false, false, 0, false, [2]int32{none, none}
	req.arrivedAt, req.due = w.now, w.now+w.scenario.Operations[req.operation].Timeout
	w.requests[i].retriesLater = false
	w.releaseRequest(i)
	w.result.ClientRetries++
	w.queue.pushLane(laneDue+int(req.operation), event{at: req.due, kind: evDue, subject: k, gen: req.gen})
	w.startAttempt(k, false)
}
