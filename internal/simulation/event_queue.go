package simulation

import "milletbarrow/monotime"

// eventKind says what an event is. Events of one time are executed in the order in which they were scheduled. Comments
// name the event's subject and detail.
type eventKind uint8

const (
	evArrival       eventKind = iota // the next request arrives
	evArriveAtHost                   // the attempt reaches its host
	evCores                          // the host's cores may complete some work
	evWake                           // the host's policy asked for a reading; detail: its token
	evAnswer                         // the attempt's answer reaches its node
	evClientTimeout                  // the request's client timeout
	evRetry                          // the request is retried
	evHedge                          // the request is hedged, if it is unanswered
	evCallerGone                     // the attempt's host is notified that the caller has left
	evDependency                     // the dependency may complete a call
	evCallTimeout                    // the attempt's call times out; detail: its number
	evRefresh                        // the node polls the endpoint registry
	evListed                         // the endpoint registry lists the host (detail 1) or removes it (0)
	evIdleCheck                      // the node's connection may have been idle for too long; detail: the slot
	evWarmUp                         // the host's speed rises while it warms up
	evOverload                       // the host may have been overloaded for too long
	evFault                          // the fault begins
	evFaultOver                      // the fault ends
	evExit                           // the host's process exits after a shutdown notice
	evRestart                        // the host's process is started again
	evSampleSecond                   // the state of the fleet is recorded
	evLease                          // the host renews its quota leases
	evLeaseExpiry                    // the quota store expires leases
	evClientRetry                    // the request's caller sends it again
	evAgent                          // the agent polls its hosts
)

// event is kept at 32 bytes, as millions of them are queued.
type event struct {
	at              monotime.Micros
	seq             uint64
	subject, detail int32
	generation      uint32
	kind            eventKind
}

// before reports whether an event is executed before another.
func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue holds the scheduled events. Most events come after one of a few fixed delays (the network's, a client's
// timeout, a tick) and so are scheduled in order of time: these go into lanes, which need no sorting. The rest goes
// into a heap of four children a node: fewer levels, and siblings share cache lines.
type queue struct {
	heap  []event
	lanes []lane
	seq   uint64
}

// lane is a ring buffer of events in order of time.
type lane struct {
	ring       []event // its length is a power of two
	head, tail uint64
}

// Indexes of the lanes. Those of client timeouts follow from laneDue on, one for each of the first maxDueLanes
// operations.
const (
	laneNet = iota
	laneTick
	laneDue
	maxDueLanes = 6
)

// pushLane schedules an event in a lane, or in the heap where it would not be the lane's last.
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

// next removes the earliest event; false where there is none.
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

// push schedules an event in the heap.
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

// pop removes the earliest event of the heap, which must not be empty.
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
