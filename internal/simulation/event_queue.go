package simulation

import "milletbarrow/monotime"

// eventKind is the kind of an event. The comments of the kinds name the event's subject and the meaning of its detail.
// Events at the same time are executed in the order in which they were scheduled.
type eventKind uint8

const (
	evArrival       eventKind = iota // the next request arrives
	evArriveAtHost                   // the attempt reaches its host
	evCores                          // the host's cores may complete some work
	evWake                           // the host's policy requested a reading of the gauges; detail: its token
	evAnswer                         // the attempt's answer reaches its node
	evClientTimeout                  // the client timeout of the request expires
	evRetry                          // the request is retried
	evHedge                          // the request is hedged, if it is still unanswered
	evCallerGone                     // the attempt's host is notified that the caller has left
	evDependency                     // the dependency may complete a call
	evCallTimeout                    // the attempt's call to the dependency times out; detail: its number
	evRefresh                        // the node polls the endpoint registry
	evListed                         // the endpoint registry adds the host (detail 1) or removes it (0)
	evIdleCheck                      // the node checks a connection for its idle timeout; detail: the slot
	evWarmUp                         // the host's speed rises by a step of its warm-up
	evOverload                       // the host is checked for a lasting overload
	evFault                          // the fault starts
	evFaultOver                      // the fault ends
	evExit                           // the host's process is stopped after its shutdown notice
	evRestart                        // the host's process is restarted
	evSampleSecond                   // the state of the fleet is recorded
	evLease                          // the host renews its quota leases
	evLeaseExpiry                    // the quota store expires leases
	evClientRetry                    // the request's caller sends it again
	evAgent                          // the agent polls its hosts
)

// event is a scheduled event. It is kept at 32 bytes because millions of events are queued.
type event struct {
	at              monotime.Micros
	sequence        uint64
	subject, detail int32
	generation      uint32
	kind            eventKind
}

// before reports whether e is executed before o.
func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.sequence < o.sequence }

// queue holds the scheduled events. Most events follow after one of a few fixed delays (the network delay, a client
// timeout, a tick), so that events of one delay are scheduled in order of time; they are kept in FIFO lanes, which need
// no sorting. All other events are kept in a 4-ary heap, which has fewer levels than a binary one and whose siblings
// share cache lines.
type queue struct {
	heap     []event
	lanes    []lane
	sequence uint64
}

// lane is a FIFO ring buffer of events in order of time.
type lane struct {
	ring       []event // its length is a power of two
	head, tail uint64
}

// Indexes of the lanes. Client timeouts have one lane for each of the first maxDueLanes operations, from laneDue on.
const (
	laneNet = iota
	laneTick
	laneDue
	maxDueLanes = 6
)

// pushLane schedules an event in a lane, or in the heap if the lane does not exist or ends with a later event.
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
		grown := make([]event, max(64, 2*len(l.ring)))
		for i := l.head; i < l.tail; i++ {
			grown[i&uint64(len(grown)-1)] = l.ring[i&mask]
		}
		l.ring = grown
		mask = uint64(len(l.ring) - 1)
	}
	q.sequence++
	e.sequence = q.sequence
	l.ring[l.tail&mask] = e
	l.tail++
}

// next removes and returns the earliest event, or returns false if there is none.
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
	q.sequence++
	e.sequence = q.sequence
	q.heap = append(q.heap, e)
	h, i := q.heap, len(q.heap)-1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
}

// pop removes and returns the earliest event of the heap, which must not be empty.
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
