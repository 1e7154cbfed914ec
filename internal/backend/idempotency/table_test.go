package idempotency

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestTableMatchesModel checks for any order of calls that the table stays within its size and releases all bytes,
// finds exactly the invocations that are cached and not expired, indexes each entry by its key, and returns each waiter
// once.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now += monotime.Micros(rapid.IntRange(0, 20).Draw(t, "elapsed"))
			m.step()
			m.checkTable()
		}
		m.table.EvictExpired(m.now+1000, 0, 0)
		if m.table.usedBytes != 0 || m.table.Len() != 0 || len(m.table.byKey) != 0 {
			t.Fatalf("after all entries have expired: %d bytes, %d entries, %d keys; want none",
				m.table.usedBytes, m.table.Len(), len(m.table.byKey))
		}
	})
}

// TestRepeatArrivedInTimeIsFoundUntilEviction checks that a repeat that reached the host before the expiry but is read
// after it is still found, until its original is evicted.
func TestRepeatArrivedInTimeIsFoundUntilEviction(t *testing.T) {
	table, key := New(1<<20, 100), Key{Token: "x"}
	table.Remember("a", key, 100)
	table.EvictExpired(140, 50, 0)
	if got := table.Find(key, 100); got != "a" {
		t.Errorf("arrived at the time of expiry: found %q, want a", got)
	}
	if got := table.Find(key, 101); got != "" {
		t.Errorf("arrived after the time of expiry: found %q, want none", got)
	}
	if table.EvictExpired(151, 50, 0); table.Len() != 0 {
		t.Error("still cached, although no repeat that arrived in time can be unread")
	}
}

// TestCapacityIsInBytes checks that an entry occupies its own bytes and those of its result, and reserves the bytes of
// the largest result until its run has ended.
func TestCapacityIsInBytes(t *testing.T) {
	const maxResult = 100
	for _, test := range []struct {
		name     string
		maxBytes int
		want     int
	}{
		{"one byte too few for two entries", 2*(entryBytes+maxResult) - 1, 1},
		{"enough for two entries", 2 * (entryBytes + maxResult), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New(test.maxBytes, maxResult)
			n := 0
			for ; table.HasCapacity(); n++ {
				table.Remember(fmt.Sprint(n), Key{Token: fmt.Sprint(n)}, 0)
			}
			if n != test.want {
				t.Errorf("%d entries in %d bytes, want %d", n, test.maxBytes, test.want)
			}
		})
	}
	for _, test := range []struct {
		name      string
		succeeded bool
		wantBytes int
	}{
		{"succeeded", true, entryBytes + maxResult/2},
		{"failed", false, entryBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New(1<<20, maxResult)
			table.Remember("a", Key{}, 0)
			table.Complete("a", test.succeeded, make([]byte, maxResult/2))
			if table.usedBytes != test.wantBytes {
				t.Errorf("%d bytes used, want %d", table.usedBytes, test.wantBytes)
			}
			result, succeeded, cached := table.Result("a")
			if succeeded != test.succeeded || (result != nil) != test.succeeded || !cached {
				t.Errorf("Result() = %v, %t, %t; want succeeded %t, cached", result, succeeded, cached, test.succeeded)
			}
		})
	}
}

// TestEvictionRunsOncePerInterval checks that a call within the interval of the last eviction evicts nothing.
func TestEvictionRunsOncePerInterval(t *testing.T) {
	table := New(1<<20, 100)
	table.EvictExpired(1000, 0, 100)
	table.Remember("a", Key{}, 1000)
	if table.EvictExpired(1099, 0, 100); table.Len() != 1 {
		t.Error("evicted within the interval")
	}
	if table.EvictExpired(1100, 0, 100); table.Len() != 0 {
		t.Error("not evicted after the interval")
	}
}
