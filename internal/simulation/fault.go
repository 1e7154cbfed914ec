package simulation

import (
	"math"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// randomHosts draws a share of the hosts, at least one where the share is above 0.
func (w *world) randomHosts(share float64) []int32 {
	n := int(math.Ceil(share * float64(len(w.hosts))))
	all := w.faultRand.Perm(len(w.hosts))
	some := make([]int32, 0, n)
	for _, i := range all[:n] {
		some = append(some, int32(i))
	}
	return some
}

// beginFault begins a fault; bursts are part of the load. The affected hosts are drawn by a generator of its own, so
// that they are the same for all policies.
func (w *world) beginFault(i int) {
	fault := &w.scenario.Faults[i]
	over := func() { w.queue.push(event{at: w.now + max(fault.Duration, 1), kind: evFaultOver, subject: int32(i)}) }
	switch fault.Kind {
	case Death:
		w.killShare(fault)
	case Slow:
		for _, n := range w.randomHosts(fault.Share) {
			w.setSpeed(&w.hosts[n], max(fault.Factor, 1))
		}
		over()
	case Gray:
		w.grayDelay = monotime.Micros(fault.Factor * float64(w.scenario.Nodes.NetworkDelay))
		for _, n := range w.randomHosts(fault.Share) {
			w.grayHosts[n] = true
		}
		over()
	case NoisyNeighbour:
		for _, n := range w.randomHosts(fault.Share) {
			h := &w.hosts[n]
			w.advanceCores(h)
			h.coreShare = 1 / max(fault.Factor, 1)
			w.updateCores(h)
		}
		over()
	case Partition:
		w.partitionShare(fault)
		over()
	case AgentUnavailable:
		w.agentsUnavailable = true
		over()
	case DependencySlow:
		w.setDependencySpeed(max(fault.Factor, 1e-3))
		over()
	case Release:
		if fault.ByFleet {
			w.startFleetRelease(i)
		} else {
			w.continueRelease(i)
		}
	}
}

// killShare kills a share of the hosts; each restarts when the fault is over.
func (w *world) killShare(fault *Fault) {
	for _, n := range w.randomHosts(fault.Share) {
		if h := &w.hosts[n]; h.up {
			w.result.Deaths++
			w.terminate(h, Reset)
			w.queue.push(event{at: w.now + max(fault.Duration, 1), kind: evRestart, subject: n})
		}
	}
}

// partitionShare cuts a share of the edge nodes from half of the hosts, and those hosts from the quota store.
func (w *world) partitionShare(fault *Fault) {
	n := int(math.Ceil(fault.Share * float64(len(w.nodes))))
	for _, k := range w.faultRand.Perm(len(w.nodes))[:n] {
		w.partitionedNodes[int32(k)] = true
	}
	w.partitionedHosts, w.quotaStoreCut = int32(len(w.hosts)+1)/2, true
}

// setSpeed changes the slowdown of a host's cores; 1 is full speed.
func (w *world) setSpeed(h *host, slower float64) {
	w.advanceCores(h)
	h.slowdown = slower
	w.updateCores(h)
}

// setDependencySpeed changes the slowdown of the dependency; 1 is full speed.
func (w *world) setDependencySpeed(slower float64) {
	w.dependency.advance(w.now)
	w.dependencySlowdown = slower
	w.updateDependency()
}

// releasePoll is how often a release looks whether the next batch can begin.
const releasePoll = Second / 4

// continueRelease drains the next batch of hosts. The event of a release repeats while some hosts are left.
func (w *world) continueRelease(i int) {
	fault := &w.scenario.Faults[i]
	batch := max(1, int(fault.BatchShare*float64(len(w.hosts))))
	if w.agentsUnavailable { // no further batch begins; hosts that were notified still leave
		w.queue.push(event{at: w.now + releasePoll, kind: evFault, subject: int32(i)})
		return
	}
	unavailable, remaining := 0, 0
	for k := range w.hosts {
		if h := &w.hosts[k]; !h.up || h.draining ||
			h.startedAt > fault.At && w.now < h.startedAt+w.scenario.Hosts.WarmUp/2 {
			unavailable++
		}
	}
	for k := range w.hosts {
		h := &w.hosts[k]
		if h.startedAt > fault.At || !h.up || h.draining {
			continue
		}
		if unavailable >= batch {
			remaining++
			continue
		}
		unavailable++
		w.sendNotice(h, w.faultRand.Float64() < fault.LostNotices)
	}
	if remaining > 0 || unavailable > 0 && w.now < w.scenario.Duration {
		w.queue.push(event{at: w.now + releasePoll, kind: evFault, subject: int32(i)})
	}
}

// sendNotice sends a host its shutdown notice. A lost one never reaches the process, which is stopped all the same.
func (w *world) sendNotice(h *host, lost bool) {
	h.noticedAt, h.exitsAt = w.now, w.now+w.scenario.Hosts.ExitTimeout
	w.queue.push(event{at: h.exitsAt, kind: evExit, subject: h.number, generation: h.incarnation})
	if lost {
		w.result.LostNotices++
		return
	}
	h.draining = true
	w.decide(h, admission.DrainNotice{Left: w.scenario.Hosts.ExitTimeout})
	if h.healthy { // also where the policy does not report its health as bad
		h.healthy = false
		w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: 0})
	}
}

// endFault ends a fault.
func (w *world) endFault(i int) {
	fault := &w.scenario.Faults[i]
	switch fault.Kind {
	case Slow:
		for k := range w.hosts {
			if w.hosts[k].slowdown != 1 {
				w.setSpeed(&w.hosts[k], 1)
			}
		}
	case Gray:
		w.grayDelay = 0
		clear(w.grayHosts)
	case NoisyNeighbour:
		for k := range w.hosts {
			if h := &w.hosts[k]; h.coreShare != 1 {
				w.advanceCores(h)
				h.coreShare = 1
				w.updateCores(h)
			}
		}
	case Partition:
		clear(w.partitionedNodes)
		w.quotaStoreCut = false
	case AgentUnavailable:
		w.agentsUnavailable = false
	case DependencySlow:
		w.setDependencySpeed(1)
	}
}
