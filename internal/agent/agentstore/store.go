// Package agentstore is the durable state of a host agent: commands before they are acted on (intents), the state of
// instances and commands, and the history. It owns the file and its format; fleet decides what stands in it.
package agentstore

import (
	"errors"

	"milletbarrow/internal/fleet"
)

// Entry is one line of history.
type Entry struct {
	Serial     uint64 `json:"serial"`  // from 1, without gaps except for entries that were cut off
	UnixMicros int64  `json:"unix_us"` // wall clock, for people
	fleet.HistoryEvent
}

// State is everything that the store holds.
type State struct {
	fleet.Snapshot
	BootID  string           // the boot that its times belong to; empty: nothing was written yet
	Intents []*fleet.Command // accepted from a client and not decided on
	History []Entry          // oldest first
}

// Change is one transaction: it is written completely or not at all.
type Change struct {
	fleet.Snapshot
	DeletedCommands  []string       // ids
	Intent           *fleet.Command // written before it is decided on
	CompletedIntents []string       // ids of intents that have been decided on
	History          []Entry        // to append, in the order of their serials
	BootID           string         // empty: as it was
}

// Empty reports whether there is nothing to write.
func (c *Change) Empty() bool {
	written := len(c.Instances) + len(c.Commands) + len(c.DeletedCommands) + len(c.CompletedIntents) + len(c.History)
	return written == 0 && c.Intent == nil && c.BootID == ""
}

// Store is the durable state. Implementations may be used by several goroutines.
type Store interface {
	// Load reads everything.
	Load() (State, error)
	// Save writes a change; it is on the disk when Save returns nil. After an error nothing of the change is
	// there, and the same or another change may be tried.
	Save(Change) error
	// Close waits for calls that are under way, for a bounded time. After ErrNotClosed the file stays open until the
	// process ends; what was saved is on the disk all the same.
	Close() error
}

// Errors that an operator has to deal with. They come wrapped with the path or the cause.
var (
	ErrLocked      = errors.New("another agent has this directory")
	ErrCorrupt     = errors.New("the record is damaged")
	ErrNewerFormat = errors.New("the record was written by a newer build")
	ErrNotClosed   = errors.New("the record can't be closed")
)
