package simulation

import (
	"math"

	"milletbarrow/monotime"
)

// node is an edge node. It knows some of the hosts, holds connections to them and sends attempts.
type node struct {
	slots           []slot
	view            []int32 // indexes of the slots of the hosts on its endpoint list
	registryVersion uint32  // at its last poll
	nextSlot        int
	ignoresAdvice   bool
	requested       decayingSum // requests and accepted requests, for client-side throttling
	accepted        decayingSum
}

// slot is the state that a node keeps for one host.
type slot struct {
	host        int32
	inFlight    int32
	incarnation uint32 // of the process at the other end of the connection
	connected   bool
	usedAt      monotime.Micros
	avoidUntil  monotime.Micros
	latency     float64 // moving average of the time to an answer, in microseconds
}

// decayingSum is a sum that decays exponentially over time.
type decayingSum struct {
	sum       float64
	updatedAt monotime.Micros
}

// add decays the sum by the time since the last call, with the given time constant, and adds x.
func (d *decayingSum) add(now, timeConstant monotime.Micros, x float64) {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(timeConstant))
		d.updatedAt = now
	}
	d.sum += x
}

// initialLatency is the assumed latency of a host that has not answered yet, in microseconds. minIdleCheck is the
// shortest interval between two checks of an idle connection.
const (
	initialLatency = 20_000
	minIdleCheck   = Second / 4
)

// initNode assigns a node its hosts. It takes every n-th host of a ring, so that each host is known to about the same
// number of nodes, and twice as many hosts as it uses, so that it has replacements for hosts that leave the endpoint
// registry.
func (w *world) initNode(i int32) {
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

// refreshNode polls the endpoint registry for a node and schedules the next poll.
func (w *world) refreshNode(i int32) {
	if w.now >= w.scenario.Duration && w.active == 0 {
		return
	}
	if n := &w.nodes[i]; n.registryVersion != w.registryVersion {
		w.refreshView(n)
	}
	w.queue.push(event{at: w.now + w.scenario.Nodes.RefreshInterval, kind: evRefresh, subject: i})
}

// refreshView updates a node's endpoint list from the registry.
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

// connect reuses the node's connection to a host, or opens one. ok is false if the host accepts no further connection.
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
	if idle := w.now - sl.usedAt; idle < h.idleTimeout || sl.inFlight > 0 {
		if w.now < w.scenario.Duration || w.active > 0 {
			w.queue.push(
				event{
					at:         w.now + max(h.idleTimeout-idle, minIdleCheck),
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
