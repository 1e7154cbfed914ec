package node

import (
	"sync"
	"time"

	"milletbarrow/internal/cluster/quota"
)

const (
	// minEventInterval is the least time between two events of one kind and name: targets move with every report of demand.
	minEventInterval = 2 * time.Second
	maxQueuedEvents  = 256
	maxEventKeys     = 10_000 // beyond them all are forgotten, and an event may come again early
)

// eventKey is what events are spaced by.
type eventKey struct{ limit, name, kind string }

// eventFeed passes events to the agent's history. What comes too often is left out, and what is not read in time is lost:
// it holds up nobody. It is safe for concurrent use.
type eventFeed struct {
	events chan quota.Event
	now    func() time.Time // a clock that only goes on

	mu       sync.Mutex
	latestAt map[eventKey]time.Time
}

func newEventFeed() *eventFeed {
	return &eventFeed{events: make(chan quota.Event, maxQueuedEvents), now: time.Now, latestAt: map[eventKey]time.Time{}}
}

// add passes an event on, unless one of its kind and name came within minEventInterval.
func (f *eventFeed) add(e quota.Event) {
	if !f.due(eventKey{string(e.Limit), e.Name, e.Kind}) {
		return
	}
	select {
	case f.events <- e:
	default:
	}
}

// due reports whether an event may be passed on now, and notes that it is.
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
