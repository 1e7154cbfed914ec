package node

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/cluster/quota"
)

// TestEventsOfOneKeyAreSpaced checks that an event of one key passes once in minEventInterval, and that others pass at
// once.
func TestEventsOfOneKeyAreSpaced(t *testing.T) {
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
			t.Errorf("%+v was left out", event)
		}
	}
	second := first
	second.Cause = "2"
	now = now.Add(minEventInterval - time.Nanosecond)
	if passes(second) {
		t.Error("an event passed before the interval was over")
	}
	now = now.Add(time.Nanosecond)
	if !passes(second) {
		t.Error("an event did not pass after the interval")
	}
}

// TestUnreadEventsBlockNobody checks that a history that is not read blocks no caller, that the first events are kept
// for it, and that the number of remembered keys is bounded.
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
	case <-time.After(waitTimeout):
		t.Fatal("events that nobody reads block")
	}
	if n := len(feed.events); n != maxQueuedEvents {
		t.Errorf("%d events wait, want %d", n, maxQueuedEvents)
	}
	if n := len(feed.lastPassed); n > maxEventKeys+1 {
		t.Errorf("%d keys are remembered, want at most %d", n, maxEventKeys+1)
	}
	if event := <-feed.events; event.Name != "0" {
		t.Errorf("the first event is %s, want 0", event.Name)
	}
}
