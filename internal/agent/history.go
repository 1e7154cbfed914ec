package agent

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
)

const (
	maxCachedEntries  = 4096 // history entries held by a feed
	maxEntriesPerCall = 256  // history entries returned by one call of Entries
)

// historyFeed caches the latest history entries for clients that follow the history.
type historyFeed struct {
	mu       sync.Mutex         // guards the fields below
	entries  []agentstore.Entry // oldest first
	appended chan struct{}      // closed when the next entries are published
}

func newHistoryFeed(saved []agentstore.Entry) historyFeed {
	return historyFeed{
		entries:  slices.Clone(saved[max(0, len(saved)-maxCachedEntries):]),
		appended: make(chan struct{}),
	}
}

// publish adds entries and wakes up the clients that wait for new ones. The entries have been saved, unless the store
// can't be written.
func (f *historyFeed) publish(entries []agentstore.Entry) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entries...)
	if over := len(f.entries) - maxCachedEntries; over > 0 {
		f.entries = slices.Clone(f.entries[over:])
	}
	close(f.appended)
	f.appended = make(chan struct{})
}

// after returns up to maxEntriesPerCall cached entries that follow a serial, the number of entries between the serial
// and the first cached one, which the feed no longer holds, and a channel that is closed when the next entries are
// published.
func (f *historyFeed) after(serial uint64) (entries []agentstore.Entry, lost uint64, appended <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) > 0 && f.entries[0].Serial > serial+1 {
		lost = f.entries[0].Serial - serial - 1
	}
	first, _ := slices.BinarySearchFunc(f.entries, serial+1, func(e agentstore.Entry, s uint64) int {
		return cmp.Compare(e.Serial, s)
	})
	end := min(len(f.entries), first+maxEntriesPerCall)
	return slices.Clone(f.entries[first:end]), lost, f.appended
}

// addHistory appends an event to the history with the next serial and the wall-clock time, and logs it. The next flush
// saves and publishes the entry.
func (a *Agent) addHistory(event fleet.HistoryEvent) {
	entry := agentstore.Entry{
		Serial:       a.loop.nextSerial,
		UnixMicros:   time.Now().UnixMicro(),
		HistoryEvent: event,
	}
	a.loop.nextSerial++
	unsaved := &a.loop.unsaved
	unsaved.History = append(unsaved.History, entry)
	if over := len(unsaved.History) - a.options.Bounds.HistoryEntries; over > 0 { // writes have failed for a long time
		unsaved.History = unsaved.History[over:]
	}
	a.loop.unpublished = append(a.loop.unpublished, entry)
	slog.Info("event added to the agent history",
		"what", event.Event, "name", event.Name, "command", event.CommandID, "cause", event.Cause)
}

// Entries returns the first cached entries that follow a serial, the number of entries between the serial and the first
// cached one, which are no longer cached, and a channel that is closed when the next entries are published.
func (a *Agent) Entries(after uint64) (entries []agentstore.Entry, lost uint64, appended <-chan struct{}) {
	return a.feed.after(after)
}

// History reads from the store the latest entries that follow a serial, at most limit.
func (a *Agent) History(after uint64, limit int) ([]agentstore.Entry, error) {
	saved, err := a.options.Store.Load()
	if err != nil {
		return nil, err
	}
	later := slices.DeleteFunc(saved.History, func(e agentstore.Entry) bool { return e.Serial <= after })
	return later[max(0, len(later)-limit):], nil
}
