package admission

import "slices"

// requestTable holds the requests in flight.
type requestTable struct {
	all      []*request // in order of arrival
	byID     map[string]*request
	counts   [numPhases]int
	memoryKB float64 // of all requests, according to their phases

	lastSequence int
	freeList     []*request // ended requests, for reuse
	snapshot     []*request // copy of all, for loops that remove requests
}

// allocate returns a request with the next sequence number; its other fields are undefined.
func (t *requestTable) allocate() *request {
	req := &request{}
	if last := len(t.freeList) - 1; last >= 0 {
		req = t.freeList[last]
		t.freeList = t.freeList[:last]
	}
	t.lastSequence++
	req.sequence = t.lastSequence
	return req
}

// add inserts a waiting request.
func (t *requestTable) add(req *request) {
	t.all = append(t.all, req)
	t.byID[req.id] = req
	t.counts[waiting]++
	t.memoryKB += req.memoryKB
	req.cost.enqueue(req)
}

// takeSnapshot returns the requests in order of arrival. The slice is valid until the next takeSnapshot.
func (t *requestTable) takeSnapshot() []*request {
	t.snapshot = append(t.snapshot[:0], t.all...)
	return t.snapshot
}

// count returns the number of requests in a phase.
func (b *Backend) count(p phase) float64 { return float64(b.inFlight.counts[p]) }

// setPhase moves a request to another phase and updates the counts, queue and memory that depend on it.
func (b *Backend) setPhase(req *request, to phase) {
	table := &b.inFlight
	table.counts[req.phase]--
	table.counts[to]++
	if req.phase == waiting {
		req.cost.dequeue(req)
	}
	runningMemoryKB := req.memoryKB * (b.config.RunFactor - 1) // in addition to its memory while waiting
	switch starts, started := to.hasStarted(), req.phase.hasStarted(); {
	case starts && !started:
		table.memoryKB += runningMemoryKB
	case started && !starts:
		table.memoryKB -= runningMemoryKB
	}
	req.phase = to
}

// remove deletes a request that has ended from the table. If it never ran, its idempotency key is deleted as well.
func (b *Backend) remove(req *request, out []Action) []Action {
	b.setPhase(req, reusingResult) // releases its running memory
	table := &b.inFlight
	table.counts[reusingResult]--
	table.all = removeFromOrdered(table.all, req)
	table.memoryKB -= req.memoryKB
	if len(table.all) == 0 {
		table.memoryKB = 0 // resets accumulated rounding errors
	}
	delete(table.byID, req.id)
	table.freeList = append(table.freeList, req)
	if req.admitted {
		b.load.admittedSinceReading--
	}
	if key := b.idempotencyKeys[req.id]; key != nil && !key.started {
		delete(b.idempotencyKeys, req.id)
		out = append(out, Forget{ID: req.id})
	}
	return out
}

// removeFromOrdered removes a request from a list that is sorted by arrival.
func removeFromOrdered(list []*request, req *request) []*request {
	i, found := slices.BinarySearchFunc(list, req.sequence, func(other *request, sequence int) int {
		return other.sequence - sequence
	})
	if !found {
		return list
	}
	if i < len(list)/2 { // the oldest request is removed most often, so the shorter part is moved
		copy(list[1:i+1], list[:i])
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, i, i+1)
}
