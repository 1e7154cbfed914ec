package agent

import (
	"testing"

	"milletbarrow/internal/agent/agentstore"
)

// TestHistoryFeedReportsLostEntriesAndReturnsBatches checks that a client that joins late gets the number of entries
// that it has missed, and the cached ones in batches.
func TestHistoryFeedReportsLostEntriesAndReturnsBatches(t *testing.T) {
	feed := newHistoryFeed(nil)
	_, _, more := feed.after(0)
	const published = maxCachedEntries + 10
	for serial := uint64(1); serial <= published; serial++ {
		feed.publish([]agentstore.Entry{{Serial: serial}})
	}
	select {
	case <-more:
	default:
		t.Error("the waiting client was not woken up")
	}
	for _, test := range []struct {
		name    string
		after   uint64
		lost    uint64
		first   uint64
		entries int
	}{
		{"from the beginning", 0, 10, 11, maxEntriesPerCall},
		{"some missed", 5, 5, 11, maxEntriesPerCall},
		{"none missed", 10, 0, 11, maxEntriesPerCall},
		{"the last one", published - 1, 0, published, 1},
	} {
		entries, lost, _ := feed.after(test.after)
		if lost != test.lost || len(entries) != test.entries || entries[0].Serial != test.first {
			t.Errorf("%s: %d entries from %d, %d lost, want %d from %d, %d lost",
				test.name, len(entries), entries[0].Serial, lost, test.entries, test.first, test.lost)
		}
	}
}
