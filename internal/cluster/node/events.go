package node

import (
	"sync"
	"time"

	"milletbarrow/internal/cluster/quota"
)

const (
	// minEventInterval is the minimum time between two events with the same key: targets change with each report of
	// demand.
	minEventInterval = 2 * time.Second
	// maxQueuedEvents is the maximum number of events queued for the agent's history; further ones are dropped.
	maxQueuedEvents = 256
	// maxEventKeys is the number of keys whose times are stored. Beyond it all are cleared, so that an event may pass
	// before its interval has elapsed.
	maxEventKeys = 10_000
)

// eventKey identifies events that share one rate limit of minEventInterval.
type eventKey struct {
	limit quota.LimitName
	name  string // of an instance or a host; empty: neither
	kind  string
}

// eventFeed queues events for the agent's history. It drops events of a key that come too often, and events that do not
// fit into the queue, so that it never blocks its caller. It is safe for concurrent use.
type eventFeed struct {
	events chan quota.Event
	now    func() time.Time // a monotonic clock

	mu         sync.Mutex // guards lastPassed
	lastPassed map[eventKey]time.Time
}

// newEventFeed returns a feed that uses the system clock.
func newEventFeed() *eventFeed {
	return &eventFeed{
		events:     make(chan quota.Event, maxQueuedEvents),
		now:        time.Now,
		lastPassed: map[eventKey]time.Time{},
	}
}

// add queues an event, unless one with the same key was queued within minEventInterval.
func (f *eventFeed) add(e quota.Event) {
	if !f.allow(eventKey{limit: e.Limit, name: e.Name, kind: e.Kind}) {
		return
	}
	select {
	case f.events <- e:
	default:
	}
}

// allow reports whether an event with a key may be queued now, and if so records the time.
func (f *eventFeed) allow(key eventKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if len(f.lastPassed) > maxEventKeys {
		clear(f.lastPassed)
	}
	if last, known := f.lastPassed[key]; known && now.Sub(last) < minEventInterval {
		return false
	}
	f.lastPassed[key] = now
	return true
}
