package admission

import "slices"

// requestTable has every request that has been read and is not over.
type requestTable struct {
	all      []*request // in order of arrival
	byID     map[string]*request
	counts   [numPhases]int
	memoryKB float64 // of all of them, as waiting and running requests take it

	lastSequence int
	free         []*request // over, to be used again
	snapshot     []*request // a copy of all, for a loop that removes requests
}

// allocate returns a request with the next sequence number; its other fields are undefined.
func (t *requestTable) allocate() *request {
	req := &request{}
	if last := len(t.free) - 1; last >= 0 {
		req = t.free[last]
		t.free = t.free[:last]
	}
	t.lastSequence++
	req.sequence = t.lastSequence
	return req
}

// add enters a waiting request.
func (t *requestTable) add(req *request) {
	t.all = append(t.all, req)
	t.byID[req.id] = req
	t.counts[waiting]++
	t.memoryKB += req.memoryKB
	req.cost.enqueue(req)
}

// takeSnapshot returns the requests in order of arrival; the slice is valid until the next call.
func (t *requestTable) takeSnapshot() []*request {
	t.snapshot = append(t.snapshot[:0], t.all...)
	return t.snapshot
}

// count returns the number of requests in a phase.
func (b *Backend) count(p phase) float64 { return float64(b.inFlight.counts[p]) }

// setPhase moves a request to another phase, with the counts, queue and memory that depend on it.
func (b *Backend) setPhase(req *request, to phase) {
	table := &b.inFlight
	table.counts[req.phase]--
	table.counts[to]++
	if req.phase == waiting {
		req.cost.dequeue(req)
	}
	runningMemoryKB := req.memoryKB * (b.config.RunFactor - 1) // beyond that of a waiting request
	switch starts, started := to.hasStarted(), req.phase.hasStarted(); {
	case starts && !started:
		table.memoryKB += runningMemoryKB
	case started && !starts:
		table.memoryKB -= runningMemoryKB
	}
	req.phase = to
}

// remove takes a request that is over out of the table. The key of one that never ran is forgotten.
func (b *Backend) remove(req *request, out []Action) []Action {
	b.setPhase(req, reusing) // gives its running memory back
	table := &b.inFlight
	table.counts[reusing]--
	table.all = without(table.all, req)
	table.memoryKB -= req.memoryKB
	if len(table.all) == 0 {
		table.memoryKB = 0 // drops the rounding errors
	}
	delete(table.byID, req.id)
	table.free = append(table.free, req)
	if req.admitted {
		b.load.admittedSince--
	}
	if key := b.remembered[req.id]; key != nil && !key.ran {
		delete(b.remembered, req.id)
		out = append(out, Forget{ID: req.id})
	}
	return out
}

// without removes a request from a list in order of arrival.
func without(list []*request, req *request) []*request {
	i, found := slices.BinarySearchFunc(list, req.sequence, func(other *request, sequence int) int {
		return other.sequence - sequence
	})
	if !found {
		return list
	}
	if i < len(list)/2 { // mostly the oldest leaves: the shorter part is moved
		copy(list[1:i+1], list[:i])
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, i, i+1)
}
