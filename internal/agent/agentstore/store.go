// Package agentstore persists the state of a host agent: accepted commands that are not decided on yet (intents), the
// state of instances and commands, and the history. It owns the file and its format; package fleet decides
// what is stored.
package agentstore

import (
	"errors"

	"milletbarrow/internal/fleet"
)

// Entry is one history entry.
type Entry struct {
	Serial     uint64 `json:"serial"`  // starts at 1 and has no gaps; the oldest entries are deleted
	UnixMicros int64  `json:"unix_us"` // wall-clock time in microseconds, for display only
	fleet.HistoryEvent
}

// State is the content of the store.
type State struct {
	fleet.Snapshot
	BootID  string           // machine boot that the monotonic times refer to; empty in a new store
	Intents []*fleet.Command // commands accepted from a client and not decided on yet
	History []Entry          // oldest first
}

// Change is one transaction, which the store writes atomically.
type Change struct {
	fleet.Snapshot
	DeletedCommands  []string       // IDs of commands
	Intent           *fleet.Command // accepted command to be decided on; nil if there is none
	CompletedIntents []string       // IDs of intents that have been decided on
	History          []Entry        // entries to append, in ascending order of serials
	BootID           string         // unchanged if empty
}

// Empty reports whether the change writes nothing.
func (c *Change) Empty() bool {
	written := len(c.Instances) + len(c.Commands) + len(c.DeletedCommands) + len(c.CompletedIntents) + len(c.History)
	return written == 0 && c.Intent == nil && c.BootID == ""
}

// Store persists the state of an agent. Its methods may be called concurrently.
type Store interface {
	// Load reads the complete state.
	Load() (State, error)
	// Save writes a change durably: it is on disk when Save returns nil. After an error no part of the change is
	// written, and Save may be called again with the same or another change.
	Save(Change) error
	// Close waits for calls in progress, for a bounded time. If it returns ErrNotClosed, the file stays open until the
	// process exits; saved changes are still on disk.
	Close() error
}

// Errors of the store. They are returned wrapped, with the path of the file and the cause.
var (
	ErrLocked      = errors.New("locked by another agent")
	ErrCorrupt     = errors.New("file is corrupted")
	ErrNewerFormat = errors.New("written by a newer build")
	ErrNotClosed   = errors.New("file is not closed")
)
