package node

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/cluster/quota"
)

// TestEventsAreRateLimitedPerKey checks that events with the same key pass at most once per minEventInterval, and that
// events with other keys pass immediately.
func TestEventsAreRateLimitedPerKey(t *testing.T) {
	feed := newEventFeed()
	now := time.Now()
	feed.now = func() time.Time { return now }
	passes := func(e quota.Event) bool {
		before := len(feed.events)
		feed.add(e)
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
		t.Error("an event passed before the interval had elapsed")
	}
	now = now.Add(time.Nanosecond)
	if !passes(second) {
		t.Error("an event was dropped after the interval had elapsed")
	}
}

// TestUnreadEventsDoNotBlockCallers checks that callers are not blocked if the events are not read, that the oldest
// events are retained, and that the number of stored keys is limited.
func TestUnreadEventsDoNotBlockCallers(t *testing.T) {
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
	case <-time.After(waitTimeout):
		t.Fatal("add blocks while events are not read")
	}
	if n := len(feed.events); n != maxQueuedEvents {
		t.Errorf("%d events are queued, want %d", n, maxQueuedEvents)
	}
	if n := len(feed.lastPassed); n > maxEventKeys+1 {
		t.Errorf("%d keys are stored, want at most %d", n, maxEventKeys+1)
	}
	if event := <-feed.events; event.Name != "0" {
		t.Errorf("the first queued event is %s, want 0", event.Name)
	}
}
