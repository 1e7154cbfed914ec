package idempotency

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestRecentIDsAreKeptForRetention checks, for any times of additions, that an ID is found for the retention time, is
// gone after twice that time, and that the set stays within its capacity.
func TestRecentIDsAreKeptForRetention(t *testing.T) {
	const (
		retention = 10 * monotime.Second
		capacity  = 20
	)
	rapid.Check(t, func(t *rapid.T) {
		recent := NewRecentIDs(capacity, retention)
		addedAt := map[string]monotime.Micros{}
		now := monotime.Micros(rapid.IntRange(0, 100).Draw(t, "start")) * monotime.Second
		for step := range 60 {
			now += monotime.Micros(rapid.IntRange(0, 12_000).Draw(t, "pause")) * monotime.Millisecond
			if recent.HasCapacity(now, 0) {
				id := strconv.Itoa(step)
				recent.Add(now, id)
				addedAt[id] = now
			}
			if n := len(recent.newer) + len(recent.older); n > capacity {
				t.Fatalf("%d IDs, want at most %d", n, capacity)
			}
			for id, at := range addedAt {
				found := recent.Contains(now, id)
				if age := now - at; age < retention && !found || age >= 2*retention && found {
					t.Fatalf("ID of age %d us: found %t", age, found)
				}
			}
		}
	})
}

// TestRecentIDsCountPending checks that IDs that are still to be added count against the capacity.
func TestRecentIDsCountPending(t *testing.T) {
	recent := NewRecentIDs(2, monotime.Second)
	recent.Add(0, "a")
	if !recent.HasCapacity(0, 0) || recent.HasCapacity(0, 1) {
		t.Errorf("capacity for one more %t, for two more %t; want true, false",
			recent.HasCapacity(0, 0), recent.HasCapacity(0, 1))
	}
}
