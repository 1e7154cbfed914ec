package simulation

import (
	"math"

	"milletbarrow/admission"
)

// node is an edge node: it knows some hosts, opens connections to them and makes attempts.
type node struct {
	slots    []slot
	view     []int32 // slots that are on its list now
	lists    uint32  // of the endpoint registry, when it last looked
	turn     int
	deaf     bool
	asked    decays // for its own throttle
	accepted decays
}

// slot is what a node knows of one host.
type slot struct {
	host   int32
	open   int32
	life   uint32 // of the host to which the connection leads
	linked bool
	used   Micros
	avoid  Micros
	takes  float64 // microseconds an answer takes of late
}

// decays is a sum that forgets.
type decays struct {
	sum float64
	at  Micros
}

func (d *decays) add(now, over Micros, x float64) {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / float64(over))
		d.at = now
	}
	d.sum += x
}

// placeNode gives a node its hosts: every so many along the ring, so that the hosts' parts are alike, and twice as many as it
// uses, so that it has others when some leave the endpoint registry.
func (w *world) placeNode(i int32) {
	n, h := &w.nodes[i], w.s.Hosts.Count
	size := w.s.Nodes.Subset
	if size <= 0 || size > h {
		size = h
	}
	pool := min(h, 2*size)
	start, step := w.fate.IntN(h), 1+w.fate.IntN(h)
	for gcd(step, h) != 1 {
		step++
	}
	n.slots = make([]slot, pool)
	for k := range n.slots {
		n.slots[k] = slot{host: int32((start + k*step) % h), takes: 20_000}
	}
	n.deaf = float64(i) < w.s.Nodes.Deaf*float64(w.s.Nodes.Count)
	n.turn = w.fate.IntN(pool)
	w.look(n)
	w.q.push(event{at: Micros(w.fate.Float64() * float64(w.s.Nodes.Refresh)), kind: evRefresh, a: i})
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (w *world) refresh(i int32) {
	if w.now >= w.s.For && w.busyA == 0 {
		return
	}
	if n := &w.nodes[i]; n.lists != w.lists {
		w.look(n)
	}
	w.q.push(event{at: w.now + w.s.Nodes.Refresh, kind: evRefresh, a: i})
}

func (w *world) look(n *node) {
	n.lists = w.lists
	size := w.s.Nodes.Subset
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

// choose is the slot for a try; none where the list is empty or all of it is to be left alone for now.
func (w *world) choose(a *request, n *node) int32 {
	v := n.view
	if len(v) == 0 {
		return none
	}
	usable := func(k int32) bool {
		return n.slots[k].avoid <= w.now && (k != a.last || len(v) == 1)
	}
	if k := w.balanced(n, usable); k != none {
		return k
	}
	for range v { // in turn, also where the balancing policy found nothing
		n.turn++
		if k := v[n.turn%len(v)]; usable(k) {
			return k
		}
	}
	if a.tries == 0 { // a first attempt goes to somebody, even one that asked to be left alone
		n.turn++
		return v[n.turn%len(v)]
	}
	return none
}

// balanced is the choice of the node's balancing policy, or none.
func (w *world) balanced(n *node, usable func(int32) bool) int32 {
	v := n.view
	switch w.p.balance(w.s) {
	case Random:
		for range 4 {
			if k := v[w.chance.IntN(len(v))]; usable(k) {
				return k
			}
		}
	case TwoChoices:
		x, y := v[w.chance.IntN(len(v))], v[w.chance.IntN(len(v))]
		if !usable(x) || usable(y) && n.slots[y].open < n.slots[x].open {
			x = y
		}
		if usable(x) {
			return x
		}
	case LeastLoad:
		return w.leastLoad(n, usable)
	case Oracle:
		return w.truest(n)
	}
	return none
}

// leastLoad is the usable host with the least expected wait; ties go to the first from a random place on.
func (w *world) leastLoad(n *node, usable func(int32) bool) int32 {
	v := n.view
	best, least := none, 0.0
	from := w.chance.IntN(len(v))
	for i := range v {
		k := v[(from+i)%len(v)]
		if load := float64(n.slots[k].open+1) * n.slots[k].takes; usable(k) && (best == none || load < least) {
			best, least = k, load
		}
	}
	return best
}

// truest is what an oracle would choose: the host whose cores have the least work in hand by their speed, as it was 0.1 s
// ago. What the oracle itself has sent since is known to it.
func (w *world) truest(n *node) int32 {
	if w.now >= w.seenAt+100*Millisecond {
		w.seenAt = w.now
		for i := range w.hosts {
			h := &w.hosts[i]
			w.seen[i] = float64(h.inHand) + 0.5
			if speed := h.base / h.slow * h.warmth * h.neighbour; h.up && !h.draining && speed > 0 {
				w.seen[i] /= speed
			} else {
				w.seen[i] = math.Inf(1)
			}
		}
	}
	best := none
	for _, k := range n.view {
		if best == none || w.seen[n.slots[k].host] < w.seen[n.slots[best].host] {
			best = k
		}
	}
	if best != none {
		w.seen[n.slots[best].host]++
	}
	return best
}

// startAttempt sends one attempt. A further one carries the retry mark.
func (w *world) startAttempt(i int32, retry bool) {
	a := &w.requests[i]
	n := &w.nodes[a.node]
	s := &w.s.Nodes
	if w.p.throttles(w.s) {
		n.asked.add(w.now, s.Window, 1)
		n.accepted.add(w.now, s.Window, 0)
		// Client-side throttling by the share accepted of late, "Handling Overload", Site Reliability Engineering, 2016: K = 2.
		if w.chance.Float64() < (n.asked.sum-2*n.accepted.sum)/(n.asked.sum+1) {
			w.retryOrEnd(i, Local)
			return
		}
	}
	k := w.choose(a, n)
	op := &w.s.Operations[a.op]
	if op.Repeat == admission.IdempotencyKeyed && a.unsure { // only the one that may have run it knows of it
		k = a.last
		if !w.listed[n.slots[k].host] {
			k = none
		}
	}
	if k == none {
		w.retryOrEnd(i, Unreachable)
		return
	}
	a.tries++
	a.refs++
	a.last = k
	sl := &n.slots[k]
	h := &w.hosts[sl.host]
	j := w.newAttempt(op.Repeat == admission.IdempotencyKeyed)
	t := &w.attempts[j]
	t.request, t.host, t.slot, t.incarnation, t.retry, t.atNode, t.prev, t.next = i, sl.host, k, h.incarnation, retry, true, none, none
	if a.open[0] == none {
		a.open[0] = j
	} else {
		a.open[1] = j
	}
	sl.open++
	w.res.Attempts++
	delay := w.way(a.node, sl.host)
	if delay < 0 { // cut off: it finds out when no connection comes about
		t.outcome = Unreachable
		w.q.push(event{at: min(w.now+Second, max(a.due-1, w.now)), kind: evAnswer, a: j, gen: t.gen})
		return
	}
	w.q.later(laneNet, event{at: w.now + delay, kind: evReach, a: j, gen: t.gen})
}

// way is how long a message takes between a node and a host; negative: it never arrives.
func (w *world) way(node, host int32) Micros {
	if len(w.cutNodes) > 0 && host < w.cutHosts && w.cutNodes[node] {
		return -1
	}
	d := w.s.Nodes.Net
	if w.grayBy > 0 && node%2 == 0 && w.grayHost[host] {
		d += w.grayBy
	}
	return d
}

// link opens the connection that an attempt needs, or uses the one that is there; false: the host has no room.
func (w *world) link(t *attempt, h *host) (opened, ok bool) {
	n := &w.nodes[w.requests[t.request].node]
	sl := &n.slots[t.slot]
	if sl.linked && sl.life == h.incarnation {
		sl.used = w.now
		return false, true
	}
	if h.conns >= w.s.Hosts.Connections {
		return false, false
	}
	h.conns++
	sl.linked, sl.life, sl.used = true, h.incarnation, w.now
	w.q.push(event{at: w.now + h.idleFor, kind: evIdle, a: w.requests[t.request].node, b: t.slot, gen: h.incarnation})
	return true, true
}

func (w *world) idle(node, k int32) {
	sl := &w.nodes[node].slots[k]
	h := &w.hosts[sl.host]
	if !sl.linked || sl.life != h.incarnation || !h.up {
		return
	}
	if rests := w.now - sl.used; rests < h.idleFor || sl.open > 0 {
		if w.now < w.s.For || w.busyA > 0 {
			w.q.push(event{at: w.now + max(h.idleFor-rests, Second/4), kind: evIdle, a: node, b: k, gen: h.incarnation})
		}
		return
	}
	sl.linked = false
	h.conns--
}

// receiveAnswer is a node's end of an attempt: an answer, or the word that there is none.
func (w *world) receiveAnswer(j int32) {
	t := &w.attempts[j]
	i := t.request
	a := &w.requests[i]
	n := &w.nodes[a.node]
	sl := &n.slots[t.slot]
	sl.open--
	sl.used = w.now
	out, retryIn, dont := t.outcome, t.retryIn, t.dont
	skipped := t.skipped
	t.atNode = false
	for k := range a.open {
		if a.open[k] == j {
			a.open[k] = none
		}
	}
	over := a.over
	w.free(j)
	if out == Unreachable || out == Reset {
		sl.avoid, sl.linked = w.now+Second, false
	}
	if over {
		return
	}
	switch out {
	case Succeeded:
		n.accepted.add(w.now, w.s.Nodes.Window, 1)
		sl.takes += (float64(w.now-a.born) - sl.takes) * 0.1
		w.succeed(i, skipped)
		return
	case Errored:
		n.accepted.add(w.now, w.s.Nodes.Window, 1)
		a.unsure = true
	case Reset:
		a.unsure = true
	case Throttled:
		if !n.deaf {
			sl.avoid = max(sl.avoid, w.now+retryIn)
			a.unheeded = dont
		}
	}
	w.retryOrEnd(i, out)
}

// retryOrEnd is the decision about a retry.
func (w *world) retryOrEnd(i int32, out Outcome) {
	a := &w.requests[i]
	n := &w.nodes[a.node]
	op := &w.s.Operations[a.op]
	s := &w.s.Nodes
	if a.open[0] != none || a.open[1] != none {
		return // a copy is still open
	}
	safe := out == Throttled || out == Unreachable || out == Local || op.Repeat != admission.NonIdempotent
	if !safe || a.unheeded && !n.deaf || s.Tries > 0 && int(a.tries) >= s.Tries || out == Local {
		w.end(i, out)
		return
	}
	pause := float64(s.Pause) * math.Exp2(float64(min(a.tries, 8)-1))
	if n.deaf {
		pause = float64(s.Pause)
	}
	at := w.now + max(1000, Micros(pause*(0.5+w.chance.Float64())))
	if at >= a.due {
		w.end(i, out)
		return
	}
	w.q.push(event{at: at, kind: evRetry, a: i, gen: a.gen})
}

func (w *world) succeed(i int32, skipped bool) {
	a := &w.requests[i]
	op := &w.s.Operations[a.op]
	took := w.now - a.born
	value := op.Value
	if took > op.Objective {
		value *= op.LateValue
	}
	if skipped {
		value *= op.SkippedValue
	}
	w.res.End(w.s, w.now, int(a.op), int(a.tenant), Succeeded, took, value)
	w.res.Priced += value * w.price(int(a.tenant))
	w.close(i)
}

// end gives an ask up. Its caller may ask anew.
func (w *world) end(i int32, out Outcome) {
	a := &w.requests[i]
	w.res.End(w.s, w.now, int(a.op), int(a.tenant), out, w.now-a.born, 0)
	op := &w.s.Operations[a.op]
	if a.anew < 3 && w.chance.Float64() < w.s.Nodes.Behind && (op.Repeat != admission.NonIdempotent || out == Throttled || out == Local) {
		a.anew++
		w.notifyCallers(a)
		a.over, a.later = true, true
		w.q.push(event{at: w.now + Micros(float64(w.s.Nodes.BehindIn)*(0.5+w.chance.Float64())), kind: evClientRetry, a: i, gen: a.gen})
		return
	}
	w.close(i)
}

// notifyCallers lets the hosts know, late, that nobody waits any more.
func (w *world) notifyCallers(a *request) {
	for _, j := range a.open {
		if j == none || w.s.Nodes.Word < 0 {
			continue
		}
		if d := w.way(a.node, w.attempts[j].host); d >= 0 {
			w.q.push(event{at: w.now + d + w.s.Nodes.Word, kind: evGone, a: j, gen: w.attempts[j].gen})
		}
	}
}

func (w *world) close(i int32) {
	a := &w.requests[i]
	w.notifyCallers(a)
	a.over = true
	w.release(i)
}

// release frees an ask once no attempt of it is open.
func (w *world) release(i int32) {
	if a := &w.requests[i]; a.over && !a.later && a.refs == 0 {
		a.over = false // once
		w.freeRequest(i)
	}
}

// repeatRequest begins a caller's wish again, without a mark: for the node it is a first try.
func (w *world) repeatRequest(i int32) {
	old := w.requests[i]
	k := w.newRequest()
	a := &w.requests[k]
	gen := a.gen
	*a = old
	a.gen, a.refs, a.over, a.later, a.tries, a.unheeded, a.open = gen, 0, false, false, 0, false, [2]int32{none, none}
	a.born, a.due = w.now, w.now+w.s.Operations[a.op].Timeout
	w.requests[i].later = false
	w.release(i)
	w.res.Anew++
	w.q.later(laneDue+int(a.op), event{at: a.due, kind: evDue, a: k, gen: a.gen})
	w.startAttempt(k, false)
}
