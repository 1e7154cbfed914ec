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
	maxCachedEntries = 4096 // history entries that a feed holds
	maxEntriesAtOnce = 256  // history entries that Entries returns
)

// historyFeed holds the latest history entries for clients that follow the history.
type historyFeed struct {
	mu      sync.Mutex         // guards the fields below
	entries []agentstore.Entry // oldest first
	more    chan struct{}      // closed at the next entry
}

func newHistoryFeed(saved []agentstore.Entry) historyFeed {
	return historyFeed{
		entries: slices.Clone(saved[max(0, len(saved)-maxCachedEntries):]),
		more:    make(chan struct{}),
	}
}

// publish adds entries and wakes the clients that wait for more. The entries are saved, unless the store can't be
// written.
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
	close(f.more)
	f.more = make(chan struct{})
}

// after returns the first entries after a serial, how many before them the feed no longer holds, and a channel that is
// closed at the next entry.
func (f *historyFeed) after(serial uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) > 0 && f.entries[0].Serial > serial+1 {
		lost = f.entries[0].Serial - serial - 1
	}
	first, _ := slices.BinarySearchFunc(f.entries, serial+1, func(e agentstore.Entry, s uint64) int {
		return cmp.Compare(e.Serial, s)
	})
	end := min(len(f.entries), first+maxEntriesAtOnce)
	return slices.Clone(f.entries[first:end]), lost, f.more
}

// addHistory appends an event to the history, with its serial and the wall-clock time. The next flush saves and
// publishes it.
func (a *Agent) addHistory(event fleet.HistoryEvent) {
	entry := agentstore.Entry{
		Serial:       a.loop.nextSerial,
		UnixMicros:   time.Now().UnixMicro(),
		HistoryEvent: event,
	}
	a.loop.nextSerial++
	unsaved := &a.loop.unsaved
	unsaved.History = append(unsaved.History, entry)
	if over := len(unsaved.History) - a.options.Bounds.HistoryEntries; over > 0 { // the store has failed for long
		unsaved.History = unsaved.History[over:]
	}
	a.loop.unpublished = append(a.loop.unpublished, entry)
	slog.Info("fleet", "what", event.Event, "name", event.Name, "command", event.CommandID, "cause", event.Cause)
}

// Entries returns the first cached entries after a serial, how many before them are no longer cached, and a channel
// that is closed at the next entry.
func (a *Agent) Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{}) {
	return a.feed.after(after)
}

// History reads the latest entries after a serial from the store, at most limit.
func (a *Agent) History(after uint64, limit int) ([]agentstore.Entry, error) {
	saved, err := a.options.Store.Load()
	if err != nil {
		return nil, err
	}
	later := slices.DeleteFunc(saved.History, func(e agentstore.Entry) bool { return e.Serial <= after })
	return later[max(0, len(later)-limit):], nil
}
