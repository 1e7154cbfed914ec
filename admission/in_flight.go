package admission

import "slices"

// inFlight has every invocation that has been read and is not over.
type inFlight struct {
	all, scratch, free []*invocation // in order of arrival; a copy while that changes; to be used again
	byID               map[string]*invocation
	lastSeq            int
	counts             [numPhases]int
	memoryKB           float64
}

// add begins to track an invocation; it waits.
func (f *inFlight) add(inv *invocation) {
	f.all = append(f.all, inv)
	f.byID[inv.id] = inv
	f.counts[waiting]++
	f.memoryKB += inv.memoryKB
	c := inv.cost
	if len(c.queue) == 0 {
		c.minUnits, c.maxUnits = inv.units, inv.units
	}
	c.queue, c.queuedUnits = append(c.queue, inv), c.queuedUnits+inv.units
	c.minUnits, c.maxUnits = min(c.minUnits, inv.units), max(c.maxUnits, inv.units)
}

func (b *Backend) count(p phase) float64 { return float64(b.inFlight.counts[p]) }

// setPhase changes a phase, and what is counted by it.
func (b *Backend) setPhase(inv *invocation, to phase) {
	f, c := &b.inFlight, inv.cost
	f.counts[inv.phase]--
	f.counts[to]++
	if inv.phase == waiting {
		c.queue, c.queuedUnits = without(c.queue, inv), c.queuedUnits-inv.units
		if len(c.queue) == 0 {
			c.queuedUnits = 0 // rounding errors do not add up
		}
	}
	if growth := b.config.RunFactor - 1; to.onCores() && !inv.phase.onCores() {
		f.memoryKB += inv.memoryKB * growth
	} else if inv.phase.onCores() && !to.onCores() {
		f.memoryKB -= inv.memoryKB * growth
	}
	inv.phase = to
}

// remove ends the tracking of an invocation that is over. The key of one that never ran is forgotten.
func (b *Backend) remove(inv *invocation, out []Action) []Action {
	b.setPhase(inv, reusing) // gives running memory back
	f := &b.inFlight
	f.counts[reusing]--
	f.all, f.memoryKB = without(f.all, inv), f.memoryKB-inv.memoryKB
	if len(f.all) == 0 {
		f.memoryKB = 0 // rounding errors do not add up
	}
	delete(f.byID, inv.id)
	f.free = append(f.free, inv)
	if inv.admitted {
		b.load.admittedSince--
	}
	if key := b.remembered[inv.id]; key != nil && !key.ran {
		delete(b.remembered, inv.id)
		out = append(out, Forget{inv.id})
	}
	return out
}

// without removes an invocation from a list in order of arrival.
func without(list []*invocation, inv *invocation) []*invocation {
	n, found := slices.BinarySearchFunc(list, inv.seq, func(in *invocation, seq int) int { return in.seq - seq })
	switch {
	case !found:
		return list
	case n < len(list)/2: // the oldest mostly: the shorter side moves
		copy(list[1:n+1], list[:n])
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, n, n+1)
}
