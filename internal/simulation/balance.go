package simulation

import (
	"math"
)

// chooseSlot returns the slot for an attempt, or none where the list is empty or all of its hosts are to be avoided for
// now.
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
	for range v { // round robin, also where the balancing policy found nothing
		n.nextSlot++
		if k := v[n.nextSlot%len(v)]; usable(k) {
			return k
		}
	}
	if req.attempts == 0 { // a first attempt is sent even to a host that asked to stay away
		n.nextSlot++
		return v[n.nextSlot%len(v)]
	}
	return none
}

// balancedSlot returns the choice of the node's balancing policy, or none.
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

// leastLoad returns the usable host with the least expected wait; ties go to the first from a random index on.
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

// oracleDelay is the age of the oracle's knowledge.
const oracleDelay = 100 * Millisecond

// leastTrueLoad returns what an oracle would choose: the host with the least work in flight by its speed, as it was 0.1
// s ago. The oracle knows what it has sent since.
func (w *world) leastTrueLoad(n *node) int32 {
	if w.now >= w.oracleAt+oracleDelay {
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
