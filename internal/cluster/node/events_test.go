package node

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/cluster/quota"
)

// TestEventSpacing: an event of one kind and name passes once in minEventInterval, others are not held up by it.
func TestEventSpacing(t *testing.T) {
	f := newEventFeed()
	now := time.Now()
	f.now = func() time.Time { return now }
	passed := func(e quota.Event) bool {
		before := len(f.events)
		f.add(e)
		return len(f.events) > before
	}
	first := quota.Event{Limit: "l", Name: "n", Kind: "k", Cause: "1"}
	for _, other := range []quota.Event{first, {Limit: "m", Name: "n", Kind: "k"}, {Limit: "l", Name: "o", Kind: "k"}, {Limit: "l", Name: "n", Kind: "j"}} {
		if !passed(other) {
			t.Errorf("%+v was held up", other)
		}
	}
	second := first
	second.Cause = "2"
	now = now.Add(minEventInterval - time.Nanosecond)
	if passed(second) {
		t.Error("passed again too early")
	}
	now = now.Add(time.Nanosecond)
	if !passed(second) {
		t.Error("not passed after the interval")
	}
}

// TestUnreadEvents: a history that is not read holds up nobody, and what is remembered of events is bounded.
func TestUnreadEvents(t *testing.T) {
	f := newEventFeed()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * maxEventKeys {
			f.add(quota.Event{Name: fmt.Sprint(i)})
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("events that nobody reads block")
	}
	if n := len(f.events); n != maxQueuedEvents {
		t.Errorf("%d events wait", n)
	}
	if n := len(f.latestAt); n > maxEventKeys+1 {
		t.Errorf("%d events are remembered", n)
	}
	if e := <-f.events; e.Name != "0" {
		t.Errorf("the first event was lost, %s came", e.Name)
	}
}
