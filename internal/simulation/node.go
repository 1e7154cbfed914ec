package simulation

import (
	"math"

	"milletbarrow/monotime"
)

// node is an edge node: it knows some hosts, holds connections to them and sends attempts.
type node struct {
	slots           []slot
	view            []int32 // indexes of the slots that are on its endpoint list
	registryVersion uint32  // as of its last poll
	nextSlot        int
	ignoresAdvice   bool
	requested       decayingSum // for client-side throttling, as is accepted
	accepted        decayingSum
}

// slot is what a node knows of one host.
type slot struct {
	host        int32
	inFlight    int32
	incarnation uint32 // of the process to which the connection leads
	connected   bool
	usedAt      monotime.Micros
	avoidUntil  monotime.Micros
	latency     float64 // moving average of the time to an answer, in microseconds
}

// decayingSum is a sum whose past decays exponentially.
type decayingSum struct {
	sum       float64
	updatedAt monotime.Micros
}

// add decays the sum by the time since the last call and adds x.
func (d *decayingSum) add(now, over monotime.Micros, x float64) {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(over))
		d.updatedAt = now
	}
	d.sum += x
}

// initialLatency stands for the latency of a host that has not answered yet, in microseconds; minIdleCheck is the least
// time between two checks of an idle connection.
const (
	initialLatency = 20_000
	minIdleCheck   = Second / 4
)

// placeNode gives a node its hosts: every n-th along a ring, so that all hosts are known to about as many nodes, and
// twice as many as it uses, so that it has others when some leave the endpoint registry.
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
		n.slots[k] = slot{host: int32((start + k*step) % h), latency: initialLatency}
	}
	n.ignoresAdvice = float64(i) < w.scenario.Nodes.UnresponsiveShare*float64(w.scenario.Nodes.Count)
	n.nextSlot = w.faultRand.IntN(pool)
	w.refreshView(n)
	w.queue.push(
		event{
			at:      monotime.Micros(w.faultRand.Float64() * float64(w.scenario.Nodes.RefreshInterval)),
			kind:    evRefresh,
			subject: i,
		},
	)
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// refreshNode lets a node poll the endpoint registry, and schedules its next poll.
func (w *world) refreshNode(i int32) {
	if w.now >= w.scenario.Duration && w.active == 0 {
		return
	}
	if n := &w.nodes[i]; n.registryVersion != w.registryVersion {
		w.refreshView(n)
	}
	w.queue.push(event{at: w.now + w.scenario.Nodes.RefreshInterval, kind: evRefresh, subject: i})
}

// refreshView takes a node's endpoint list from the registry.
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

// connect opens the connection that an attempt needs, or reuses the present one. ok is false where the host has no
// connection left.
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
	w.queue.push(
		event{
			at:         w.now + h.idleTimeout,
			kind:       evIdleCheck,
			subject:    w.requests[att.request].node,
			detail:     att.slot,
			generation: h.incarnation,
		},
	)
	return true, true
}

// checkIdle closes a connection that has been idle for too long, or schedules the next check.
func (w *world) checkIdle(node, k int32) {
	sl := &w.nodes[node].slots[k]
	h := &w.hosts[sl.host]
	if !sl.connected || sl.incarnation != h.incarnation || !h.up {
		return
	}
	if rests := w.now - sl.usedAt; rests < h.idleTimeout || sl.inFlight > 0 {
		if w.now < w.scenario.Duration || w.active > 0 {
			w.queue.push(
				event{
					at:         w.now + max(h.idleTimeout-rests, minIdleCheck),
					kind:       evIdleCheck,
					subject:    node,
					detail:     k,
					generation: h.incarnation,
				},
			)
		}
		return
	}
	sl.connected = false
	h.connections--
}
