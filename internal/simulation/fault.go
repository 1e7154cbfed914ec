package simulation

import (
	"math"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// randomHosts draws a share of the hosts at random, at least one host if the share is above 0.
func (w *world) randomHosts(share float64) []int32 {
	n := int(math.Ceil(share * float64(len(w.hosts))))
	permutation := w.faultRand.Perm(len(w.hosts))
	hosts := make([]int32, 0, n)
	for _, i := range permutation[:n] {
		hosts = append(hosts, int32(i))
	}
	return hosts
}

// beginFault starts a fault. Bursts of load are applied by Stream instead. The affected hosts are drawn from a separate
// random generator, so that they are the same for all policies.
func (w *world) beginFault(i int) {
	fault := &w.scenario.Faults[i]
	scheduleEnd := func() {
		w.queue.push(event{at: w.now + max(fault.Duration, 1), kind: evFaultOver, subject: int32(i)})
	}
	switch fault.Kind {
	case Death:
		w.killShare(fault)
	case Slow:
		for _, n := range w.randomHosts(fault.Share) {
			w.setSpeed(&w.hosts[n], max(fault.Factor, 1))
		}
		scheduleEnd()
	case Gray:
		w.grayDelay = monotime.Micros(fault.Factor * float64(w.scenario.Nodes.NetworkDelay))
		for _, n := range w.randomHosts(fault.Share) {
			w.grayHosts[n] = true
		}
		scheduleEnd()
	case NoisyNeighbour:
		for _, n := range w.randomHosts(fault.Share) {
			h := &w.hosts[n]
			w.advanceCores(h)
			h.coreShare = 1 / max(fault.Factor, 1)
			w.updateCores(h)
		}
		scheduleEnd()
	case Partition:
		w.partitionShare(fault)
		scheduleEnd()
	case AgentUnavailable:
		w.agentsUnavailable = true
		scheduleEnd()
	case DependencySlow:
		w.setDependencySpeed(max(fault.Factor, 1e-3))
		scheduleEnd()
	case Release:
		if fault.ByFleet {
			w.startFleetRelease(i)
		} else {
			w.continueRelease(i)
		}
	}
}

// killShare kills a share of the hosts. Each restarts when the fault is over.
func (w *world) killShare(fault *Fault) {
	for _, n := range w.randomHosts(fault.Share) {
		if h := &w.hosts[n]; h.up {
			w.result.Deaths++
			w.terminate(h, Reset)
			w.queue.push(event{at: w.now + max(fault.Duration, 1), kind: evRestart, subject: n})
		}
	}
}

// partitionShare partitions a share of the edge nodes from half of the hosts, and those hosts from the quota store.
func (w *world) partitionShare(fault *Fault) {
	n := int(math.Ceil(fault.Share * float64(len(w.nodes))))
	for _, k := range w.faultRand.Perm(len(w.nodes))[:n] {
		w.partitionedNodes[int32(k)] = true
	}
	w.partitionedHosts, w.quotaStorePartitioned = int32(len(w.hosts)+1)/2, true
}

// setSpeed changes the slowdown of a host's cores; 1 is full speed.
func (w *world) setSpeed(h *host, slowdown float64) {
	w.advanceCores(h)
	h.slowdown = slowdown
	w.updateCores(h)
}

// setDependencySpeed changes the slowdown of the dependency; 1 is full speed.
func (w *world) setDependencySpeed(slowdown float64) {
	w.dependency.advance(w.now)
	w.dependencySlowdown = slowdown
	w.updateDependency()
}

// releasePoll is the interval at which a release checks whether the next batch can start.
const releasePoll = Second / 4

// continueRelease drains as many hosts as the batch size allows, and schedules itself again until the release is over.
// Restarted hosts count as unavailable for the first half of their warm-up.
func (w *world) continueRelease(i int) {
	fault := &w.scenario.Faults[i]
	batch := max(1, int(fault.BatchShare*float64(len(w.hosts))))
	if w.agentsUnavailable { // no host is notified now; hosts that were notified still exit
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

// sendNotice sends a shutdown notice to a host. A lost notice never reaches the process, which is stopped nevertheless.
func (w *world) sendNotice(h *host, lost bool) {
	h.noticedAt, h.exitsAt = w.now, w.now+w.scenario.Hosts.ExitTimeout
	w.queue.push(event{at: h.exitsAt, kind: evExit, subject: h.number, generation: h.incarnation})
	if lost {
		w.result.LostNotices++
		return
	}
	h.draining = true
	w.decide(h, admission.DrainNotice{Left: w.scenario.Hosts.ExitTimeout})
	if h.healthy { // the registry removes the host even if the policy does not report bad health
		h.healthy = false
		w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: 0})
	}
}

// endFault reverts the effect of a fault.
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
		w.quotaStorePartitioned = false
	case AgentUnavailable:
		w.agentsUnavailable = false
	case DependencySlow:
		w.setDependencySpeed(1)
	}
}
