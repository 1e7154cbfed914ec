package node

import (
	"sync"
	"time"

	"milletbarrow/internal/cluster/quota"
)

const (
	// minEventInterval is the shortest time between two events of one key: targets move with each report of demand.
	minEventInterval = 2 * time.Second
	// maxQueuedEvents is the number of events that wait for the agent's history; further ones are lost.
	maxQueuedEvents = 256
	// maxEventKeys is the number of keys that are remembered. Beyond it all are forgotten, and an event may come early.
	maxEventKeys = 10_000
)

// eventKey identifies the events that are spaced by minEventInterval.
type eventKey struct {
	limit quota.LimitName
	name  string // of an instance or a host; empty: neither
	kind  string
}

// eventFeed passes events to the agent's history. It leaves out events that come too often and loses those that are not
// read in time: it blocks no caller. It is safe for concurrent use.
type eventFeed struct {
	events chan quota.Event
	now    func() time.Time // a monotonic clock

	mu       sync.Mutex // guards passedAt
	passedAt map[eventKey]time.Time
}

// newEventFeed returns a feed on the system's clock.
func newEventFeed() *eventFeed {
	return &eventFeed{
		events:   make(chan quota.Event, maxQueuedEvents),
		now:      time.Now,
		passedAt: map[eventKey]time.Time{},
	}
}

// add passes an event on, unless one of the same key was passed within minEventInterval.
func (f *eventFeed) add(e quota.Event) {
	if !f.mayPass(eventKey{limit: e.Limit, name: e.Name, kind: e.Kind}) {
		return
	}
	select {
	case f.events <- e:
	default:
	}
}

// mayPass reports whether an event may be passed on now, and if so records the time.
func (f *eventFeed) mayPass(key eventKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if len(f.passedAt) > maxEventKeys {
		clear(f.passedAt)
	}
	if last, known := f.passedAt[key]; known && now.Sub(last) < minEventInterval {
		return false
	}
	f.passedAt[key] = now
	return true
}
