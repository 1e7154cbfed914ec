// Package agentstore is the durable state of a host agent: commands accepted and not decided on yet (intents), the
// state of instances and commands, and the history. It owns the file and its format; package fleet decides what is
// stored.
package agentstore

import (
	"errors"

	"milletbarrow/internal/fleet"
)

// Entry is one history entry.
type Entry struct {
	Serial     uint64 `json:"serial"`  // from 1; the oldest entries are deleted, between others there are no gaps
	UnixMicros int64  `json:"unix_us"` // wall-clock time in microseconds, for people
	fleet.HistoryEvent
}

// State is the content of the store.
type State struct {
	fleet.Snapshot
	BootID  string           // the boot of the machine that its times are of; empty: nothing was written yet
	Intents []*fleet.Command // accepted from a client and not decided on
	History []Entry          // oldest first
}

// Change is one transaction: the store writes it completely or not at all.
type Change struct {
	fleet.Snapshot
	DeletedCommands  []string       // ids
	Intent           *fleet.Command // to be decided on; nil: none
	CompletedIntents []string       // ids of intents that have been decided on
	History          []Entry        // to append, in the order of their serials
	BootID           string         // empty: unchanged
}

// Empty reports whether there is nothing to write.
func (c *Change) Empty() bool {
	written := len(c.Instances) + len(c.Commands) + len(c.DeletedCommands) + len(c.CompletedIntents) + len(c.History)
	return written == 0 && c.Intent == nil && c.BootID == ""
}

// Store is the durable state. Its methods may be called from several goroutines.
type Store interface {
	// Load reads the complete state.
	Load() (State, error)
	// Save writes a change, which is on the disk when Save returns nil. After an error nothing of the change is
	// written, and the same or another change may be tried.
	Save(Change) error
	// Close waits for calls in progress, for a bounded time. After ErrNotClosed the file stays open until the process
	// ends; saved changes are on the disk all the same.
	Close() error
}

// Errors of the store. They come wrapped with the path and the cause.
var (
	ErrLocked      = errors.New("locked by another agent")
	ErrCorrupt     = errors.New("corrupted")
	ErrNewerFormat = errors.New("written by a newer build")
	ErrNotClosed   = errors.New("not closed")
)
