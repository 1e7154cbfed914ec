package simulation

// eventKind of an event. What happens at one time happens in the order in which it was scheduled.
type eventKind uint8

const (
	evLoad         eventKind = iota // the next request comes
	evReach                         // attempt a reaches its host
	evCores                         // the cores of host a end something, or may
	evWake                          // host a's policy asked for a reading
	evAnswer                        // attempt a's answer reaches its node
	evDue                           // the caller of ask a waits no longer
	evRetry                         // ask a has its retry
	evHedge                         // ask a sends a copy, if it is still open
	evCallerGone                    // attempt a's host hears that the caller has left
	evDependency                    // the dependency ends a call, or may
	evCallTimeout                   // the time of attempt a's call is over
	evRefresh                       // node a looks at the endpoint registry
	evListed                        // the endpoint registry takes host a in, or leaves it out (b)
	evIdleCheck                     // node a's connection to its host b may have rested for too long
	evWarmUp                        // host a is a little warmer
	evOverload                      // host a has been beyond its crowd for long, or was
	evFault                         // trouble a begins
	evFaultOver                     // trouble a ends
	evStop                          // the process of host a ends
	evRestart                       // host a has a new process
	evSampleSecond                  // the state of the hosts is written down
	evLease                         // a host renews what it holds of the fleet's budgets
	evExpiry                        // the quota store's clerk looks
	evClientRetry                   // the caller of an ask asks anew
	evAgent                         // agent a looks at its hosts
)

// event is 32 bytes on purpose: millions of them lie in the queue.
type event struct {
	at              Micros
	seq             uint64
	subject, detail int32
	gen             uint32
	kind            eventKind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue holds what is to come. Most of it comes after one of a few fixed delays (the network's, a client's time, a tick), so
// that it is scheduled in the order of its time: that goes into lanes, which cost nothing to keep in order. The rest is a
// heap of four children a node: fewer levels, and siblings lie side by side.
type queue struct {
	heap  []event
	lanes []lane
	seq   uint64
}

// lane is a ring of events in order.
type lane struct {
	ring       []event // its length is a power of two
	head, tail uint64
}

// The first lanes; those of the client's times follow, one an operation while there are few.
const (
	laneNet = iota
	laneTick
	laneDue
	maxDueLanes = 6
)

// retriesLater schedules what comes after a fixed delay, in that delay's lane. Where it does not come last, it goes into the heap.
func (q *queue) pushLane(n int, e event) {
	if n >= len(q.lanes) {
		q.push(e)
		return
	}
	l := &q.lanes[n]
	mask := uint64(len(l.ring) - 1)
	if l.tail > l.head && l.ring[(l.tail-1)&mask].at > e.at {
		q.push(e)
		return
	}
	if l.tail-l.head == uint64(len(l.ring)) {
		wider := make([]event, max(64, 2*len(l.ring)))
		for i := l.head; i < l.tail; i++ {
			wider[i&uint64(len(wider)-1)] = l.ring[i&mask]
		}
		l.ring = wider
		mask = uint64(len(l.ring) - 1)
	}
	q.seq++
	e.seq = q.seq
	l.ring[l.tail&mask] = e
	l.tail++
}

// completionAt takes the earliest out; false: there is none.
func (q *queue) next() (event, bool) {
	best, from := (*event)(nil), -1
	if len(q.heap) > 0 {
		best = &q.heap[0]
	}
	for i := range q.lanes {
		l := &q.lanes[i]
		if l.head == l.tail {
			continue
		}
		if e := &l.ring[l.head&uint64(len(l.ring)-1)]; best == nil || e.before(best) {
			best, from = e, i
		}
	}
	switch {
	case best == nil:
		return event{}, false
	case from < 0:
		return q.pop(), true
	}
	q.lanes[from].head++
	return *best, true
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	h, i := q.heap, len(q.heap)-1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

func (q *queue) pop() event {
	h := q.heap
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	q.heap = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		child := 4*i + 1
		if child >= len(h) {
			break
		}
		least := child
		for c := child + 1; c < min(child+4, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
