package simulation

import (
	"math"

	"milletbarrow/admission"
)

// randomHosts draws a share of the hosts, at least one where the share is above 0.
func (w *world) randomHosts(share float64) []int32 {
	n := int(math.Ceil(share * float64(len(w.hosts))))
	all := w.fate.Perm(len(w.hosts))
	some := make([]int32, 0, n)
	for _, i := range all[:n] {
		some = append(some, int32(i))
	}
	return some
}

// beginFault begins one; bursts are the load's own. Who is concerned is drawn from a chance of its own, so that it is the same for all policies.
func (w *world) beginFault(i int) {
	t := &w.s.Troubles[i]
	over := func() { w.q.push(event{at: w.now + max(t.For, 1), kind: evFaultOver, a: int32(i)}) }
	switch t.Kind {
	case Death:
		w.killShare(t)
	case Slow:
		for _, n := range w.randomHosts(t.Share) {
			w.setSpeed(&w.hosts[n], max(t.Factor, 1))
		}
		over()
	case Gray:
		w.grayBy = Micros(t.Factor * float64(w.s.Nodes.Net))
		for _, n := range w.randomHosts(t.Share) {
			w.grayHost[n] = true
		}
		over()
	case Neighbour:
		for _, n := range w.randomHosts(t.Share) {
			h := &w.hosts[n]
			w.before(h)
			h.neighbour = 1 / max(t.Factor, 1)
			w.after(h)
		}
		over()
	case Cut:
		w.cutShare(t)
		over()
	case AgentGone:
		w.agentOff = true
		over()
	case BelowSlow:
		w.setDependencySpeed(max(t.Factor, 1e-3))
		over()
	case Release:
		if t.Fleet {
			w.rollOut(i)
		} else {
			w.rollingUpdate(i)
		}
	}
}

// killShare kills a share of the hosts; each comes back when the fault is over.
func (w *world) killShare(t *Trouble) {
	for _, n := range w.randomHosts(t.Share) {
		if h := &w.hosts[n]; h.up {
			w.res.Deaths++
			w.goDown(h, Reset)
			w.q.push(event{at: w.now + max(t.For, 1), kind: evBack, a: n})
		}
	}
}

// cutShare cuts a share of the edge nodes from half of the hosts, and those hosts from the quota store.
func (w *world) cutShare(t *Trouble) {
	n := int(math.Ceil(t.Share * float64(len(w.nodes))))
	for _, k := range w.fate.Perm(len(w.nodes))[:n] {
		w.cutNodes[int32(k)] = true
	}
	w.cutHosts, w.ledgerCut = int32(len(w.hosts)+1)/2, true
}

func (w *world) setSpeed(h *host, slower float64) {
	w.before(h)
	h.slow = slower
	w.after(h)
}

func (w *world) setDependencySpeed(slower float64) {
	w.below.move(w.now)
	w.belowX = slower
	w.afterBelow()
}

// rollingUpdate tells the next part of the hosts to leave; a release's own event comes again while some are left.
func (w *world) rollingUpdate(i int) {
	t := &w.s.Troubles[i]
	width := max(1, int(t.Width*float64(len(w.hosts))))
	if w.agentOff { // nobody goes on with it; who was told leaves all the same
		w.q.push(event{at: w.now + Second/4, kind: evFault, a: int32(i)})
		return
	}
	out, left := 0, 0
	for k := range w.hosts {
		if h := &w.hosts[k]; !h.up || h.draining || h.born > t.At && w.now < h.born+w.s.Hosts.ColdFor/2 {
			out++
		}
	}
	for k := range w.hosts {
		h := &w.hosts[k]
		if h.born > t.At || !h.up || h.draining {
			continue
		}
		if out >= width {
			left++
			continue
		}
		out++
		w.notice(h, w.fate.Float64() < t.Lost)
	}
	if left > 0 || out > 0 && w.now < w.s.For {
		w.q.push(event{at: w.now + Second/4, kind: evFault, a: int32(i)})
	}
}

// notice tells a host to leave; lost: the process never hears of it, and is stopped all the same.
func (w *world) notice(h *host, lost bool) {
	h.told, h.stopAt = w.now, w.now+w.s.Hosts.Stop
	w.q.push(event{at: h.stopAt, kind: evStop, a: h.number, gen: h.incarnation})
	if lost {
		w.res.LostNotices++
		return
	}
	h.draining = true
	w.decide(h, admission.DrainNotice{Left: w.s.Hosts.Stop})
	if h.healthy { // a policy that says nothing of its health leaves the list all the same
		h.healthy = false
		w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: 0})
	}
}

// endFault ends a trouble.
func (w *world) endFault(i int) {
	t := &w.s.Troubles[i]
	switch t.Kind {
	case Slow:
		for k := range w.hosts {
			if w.hosts[k].slow != 1 {
				w.setSpeed(&w.hosts[k], 1)
			}
		}
	case Gray:
		w.grayBy = 0
		clear(w.grayHost)
	case Neighbour:
		for k := range w.hosts {
			if h := &w.hosts[k]; h.neighbour != 1 {
				w.before(h)
				h.neighbour = 1
				w.after(h)
			}
		}
	case Cut:
		clear(w.cutNodes)
		w.ledgerCut = false
	case AgentGone:
		w.agentOff = false
	case BelowSlow:
		w.setDependencySpeed(1)
	}
}
