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
	maxCachedEntries = 4096 // of history, for those who watch
	maxEntriesAtOnce = 256  // that Entries returns
)

// historyFeed holds the latest history entries for those who watch.
type historyFeed struct {
	mu      sync.Mutex
	entries []agentstore.Entry // oldest first
	more    chan struct{}      // closed at the next entry
}

func newHistoryFeed(saved []agentstore.Entry) historyFeed {
	return historyFeed{entries: slices.Clone(saved[max(0, len(saved)-maxCachedEntries):]), more: make(chan struct{})}
}

// publish adds entries and wakes those who wait for more. They have been saved, if anything can be.
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

// after returns the entries after a serial, how many before them are no longer cached, and a channel that is closed
// once there are more.
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

// addHistory gives an event its serial and the wall-clock time. It is saved and published by the next flush.
func (a *Agent) addHistory(event fleet.HistoryEvent) {
	entry := agentstore.Entry{Serial: a.loop.nextSerial, UnixMicros: time.Now().UnixMicro(), HistoryEvent: event}
	a.loop.nextSerial++
	unsaved := &a.loop.unsaved
	unsaved.History = append(unsaved.History, entry)
	if over := len(unsaved.History) - a.options.Bounds.HistoryEntries; over > 0 { // the store can't be written for long
		unsaved.History = unsaved.History[over:]
	}
	a.loop.unpublished = append(a.loop.unpublished, entry)
	slog.Info("fleet", "what", event.Event, "name", event.Name, "command", event.CommandID, "cause", event.Cause)
}

// Entries returns the latest cached entries after a serial, how many before them are lost to the cache, and a channel
// that is closed once there are more.
func (a *Agent) Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{}) {
	return a.feed.after(after)
}

// History reads older entries from the store: the latest of those after a serial, at most so many.
func (a *Agent) History(after uint64, most int) ([]agentstore.Entry, error) {
	saved, err := a.options.Store.Load()
	if err != nil {
		return nil, err
	}
	later := slices.DeleteFunc(saved.History, func(e agentstore.Entry) bool { return e.Serial <= after })
	return later[max(0, len(later)-most):], nil
}
