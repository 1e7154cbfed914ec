package simulation

import (
	"math"
)

// chooseSlot returns the slot of the host that an attempt is sent to, or none if the node's endpoint list is empty or
// all of its hosts must be avoided at present.
func (w *world) chooseSlot(req *request, n *node) int32 {
	view := n.view
	if len(view) == 0 {
		return none
	}
	usable := func(k int32) bool {
		return n.slots[k].avoidUntil <= w.now && (k != req.lastSlot || len(view) == 1)
	}
	if k := w.balancedSlot(n, usable); k != none {
		return k
	}
	for range view { // round robin, also as a fallback if the balancing policy found no usable host
		n.nextSlot++
		if k := view[n.nextSlot%len(view)]; usable(k) {
			return k
		}
	}
	if req.attempts == 0 { // a first attempt is sent even if all hosts must be avoided
		n.nextSlot++
		return view[n.nextSlot%len(view)]
	}
	return none
}

// balancedSlot returns the slot that the balancing policy chooses, or none.
func (w *world) balancedSlot(n *node, usable func(int32) bool) int32 {
	view := n.view
	switch w.policy.balance(w.scenario) {
	case Random:
		for range 4 {
			if k := view[w.nodeRand.IntN(len(view))]; usable(k) {
				return k
			}
		}
	case TwoChoices:
		x, y := view[w.nodeRand.IntN(len(view))], view[w.nodeRand.IntN(len(view))]
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

// leastLoad returns the slot of the usable host with the lowest expected wait. The scan starts at a random index; the
// first of equal hosts is chosen.
func (w *world) leastLoad(n *node, usable func(int32) bool) int32 {
	view := n.view
	best, least := none, 0.0
	from := w.nodeRand.IntN(len(view))
	for i := range view {
		k := view[(from+i)%len(view)]
		load := float64(n.slots[k].inFlight+1) * n.slots[k].latency
		if usable(k) && (best == none || load < least) {
			best, least = k, load
		}
	}
	return best
}

// oracleDelay is the interval at which the oracle samples the hosts.
const oracleDelay = 100 * Millisecond

// leastTrueLoad returns the slot of the host with the fewest attempts in flight, relative to its speed, at the latest
// sample of all hosts. Attempts sent since then are added.
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
