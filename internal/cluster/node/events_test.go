package node

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/cluster/quota"
)

// TestEventsOfOneKeyAreSpaced checks that an event passes once in minEventInterval, and that it drops none of other
// keys.
func TestEventsOfOneKeyAreSpaced(t *testing.T) {
	feed := newEventFeed()
	now := time.Now()
	feed.now = func() time.Time { return now }
	passes := func(event quota.Event) bool {
		before := len(feed.events)
		feed.add(event)
		return len(feed.events) > before
	}
	first := quota.Event{Limit: "l", Name: "n", Kind: "k", Cause: "1"}
	for _, event := range []quota.Event{
		first,
		{Limit: "m", Name: "n", Kind: "k"},
		{Limit: "l", Name: "o", Kind: "k"},
		{Limit: "l", Name: "n", Kind: "j"},
	} {
		if !passes(event) {
			t.Errorf("%+v was dropped", event)
		}
	}
	second := first
	second.Cause = "2"
	now = now.Add(minEventInterval - time.Nanosecond)
	if passes(second) {
		t.Error("passed again before the interval")
	}
	now = now.Add(time.Nanosecond)
	if !passes(second) {
		t.Error("dropped after the interval")
	}
}

// TestUnreadEventsBlockNobody also checks that what is remembered of events is bounded.
func TestUnreadEventsBlockNobody(t *testing.T) {
	feed := newEventFeed()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * maxEventKeys {
			feed.add(quota.Event{Name: fmt.Sprint(i)})
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("events that nobody reads block")
	}
	if n := len(feed.events); n != maxQueuedEvents {
		t.Errorf("%d events are queued, want %d", n, maxQueuedEvents)
	}
	if n := len(feed.latestAt); n > maxEventKeys+1 {
		t.Errorf("%d events are remembered, want at most %d", n, maxEventKeys+1)
	}
	if event := <-feed.events; event.Name != "0" {
		t.Errorf("the first event was dropped, %q is queued first", event.Name)
	}
}
