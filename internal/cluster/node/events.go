package node

import (
	"sync"
	"time"

	"milletbarrow/internal/cluster/quota"
)

const (
	// minEventInterval is the minimum time between two events of one kind, limit and name. Targets change with every
	// report of demand.
	minEventInterval = 2 * time.Second

	// maxQueuedEvents bounds the events that wait to be read. Further ones are dropped.
	maxQueuedEvents = 256

	// maxEventKeys bounds the remembered times of events. Beyond it all are forgotten, and an event may repeat early.
	maxEventKeys = 10_000
)

// eventKey identifies events of which too frequent ones are dropped.
type eventKey struct {
	limit quota.LimitName
	name  string
	kind  string
}

// eventFeed passes events to the agent's history. It never blocks: it drops events that come too often or are not read
// in time. It is safe for concurrent use.
type eventFeed struct {
	events chan quota.Event
	now    func() time.Time // monotonic

	mu       sync.Mutex // guards latestAt
	latestAt map[eventKey]time.Time
}

func newEventFeed() *eventFeed {
	return &eventFeed{
		events:   make(chan quota.Event, maxQueuedEvents),
		now:      time.Now,
		latestAt: map[eventKey]time.Time{},
	}
}

// add passes an event on, unless one with the same key was passed on within minEventInterval.
func (f *eventFeed) add(event quota.Event) {
	if !f.due(eventKey{limit: event.Limit, name: event.Name, kind: event.Kind}) {
		return
	}
	select {
	case f.events <- event:
	default:
	}
}

// due reports whether an event may be passed on now, and records the time if so.
func (f *eventFeed) due(key eventKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if len(f.latestAt) > maxEventKeys {
		clear(f.latestAt)
	}
	if latest, known := f.latestAt[key]; known && now.Sub(latest) < minEventInterval {
		return false
	}
	f.latestAt[key] = now
	return true
}
