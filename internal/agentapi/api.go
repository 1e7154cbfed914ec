// Package agentapi is the API of a host agent, and its client. The API is JSON over HTTP, with a version in each
// path, over a Unix socket or loopback TCP. The package carries requests; package fleet decides on them.
package agentapi

import (
	"context"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// Version is the version of the API, and the first part of every path. A client of another version gets status 404 with
// a text that names this one.
const Version = 1

// CommandRequest requests a command. It is idempotent by its ID: sent again with the same content it changes nothing,
// so that it can be retried after a lost response.
type CommandRequest struct {
	ID                  string                     `json:"id"`
	Kind                fleet.CommandKind          `json:"kind"`
	Instances           []string                   `json:"names"`
	RequestedBy         string                     `json:"by"`
	RequestedUnixMicros int64                      `json:"asked_unix_us"` // the client's wall clock, for people
	TimeoutMicros       int64                      `json:"within_us"`     // from its arrival, by the agent's clock
	Immediate           bool                       `json:"now,omitempty"`
	RollingUpdate       *fleet.RollingUpdateConfig `json:"terms,omitempty"` // of a rolling update; nil for others
	// Budget names a quota of which a rolling update holds a unit for each instance that is down; empty: none.
	Budget string `json:"budget,omitempty"`
}

// Status is the state of an agent and its instances.
type Status struct {
	Version         int              `json:"version"`
	Fleet           string           `json:"fleet"`
	Host            string           `json:"host"`
	Build           string           `json:"build"`
	PID             int              `json:"pid"`
	UptimeMicros    int64            `json:"up_us"`         // since the agent's start
	MonotonicMicros int64            `json:"clock_us"`      // process.Now; the times below are of that clock
	StoreError      string           `json:"ill,omitempty"` // why no command is accepted; empty: commands are accepted
	LastSerial      uint64           `json:"serial"`        // of the latest history entry; 0: none
	Instances       []Instance       `json:"instances"`
	OpenCommands    []*fleet.Command `json:"open"`
}

// Instance is the state of one instance.
type Instance struct {
	Name           string       `json:"name"`
	Group          string       `json:"group"`
	Spare          bool         `json:"spare,omitempty"`
	DesiredUp      bool         `json:"up"` // the desired state
	Phase          fleet.Phase  `json:"phase"`
	PhaseAgeMicros int64        `json:"for_us"` // time in the phase
	Cause          string       `json:"cause,omitempty"`
	TimeLeftMicros int64        `json:"left_us,omitempty"` // until the time limit of the phase; 0: it has none
	Settled        bool         `json:"settled"`           // ready for as long as its group requires
	Task           string       `json:"task,omitempty"`    // id of the command that waits for it; empty: none
	RecentRestarts int          `json:"launches"`          // without a command, within the window of the launch budget
	PID            int          `json:"pid,omitempty"`     // 0: unknown
	SupervisorPID  int          `json:"keeper,omitempty"`  // 0: unknown
	State          *admin.State `json:"state,omitempty"`   // the latest that the instance reported; nil: none
}

// StreamEvent is one line of a stream: a history entry, the state of a command, a gap, or a heartbeat, which has
// nothing but a serial.
type StreamEvent struct {
	Entry       *agentstore.Entry `json:"entry,omitempty"`
	Command     *fleet.Command    `json:"command,omitempty"` // the last line of a command's stream: it has ended
	LostEntries uint64            `json:"gap,omitempty"`     // number of entries that are no longer cached
	Serial      uint64            `json:"serial,omitempty"`  // from which to reconnect
}

// Manager manages the instances of a host and implements the API's requests; an agent is one. Its methods may be called
// from any goroutine.
type Manager interface {
	// Status returns the state of the agent and its instances.
	Status() Status
	// Submit returns a command once it is accepted and saved.
	Submit(r CommandRequest) (*fleet.Command, error)
	// Steer pauses, resumes or cancels a command.
	Steer(id, verb, by string) (*fleet.Command, error)
	// Command returns a command; nil if it is unknown.
	Command(id string) *fleet.Command
	// Commands returns all commands, newest first.
	Commands() []*fleet.Command
	// Entries returns some of the entries after a serial, how many before them are lost, and a channel that is closed
	// at the next entry.
	Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{})
	// History returns the latest entries after a serial, at most limit.
	History(after uint64, limit int) ([]agentstore.Entry, error)
	// Budgets returns the state of the quotas, as known to the leader of the quota store.
	Budgets(ctx context.Context) (Budgets, error)
	// WriteOff ends the leases and permits of a holder, at an operator's request.
	WriteOff(ctx context.Context, name, by string) error
	// ColdStart begins or changes a cold start of the fleet.
	ColdStart(ctx context.Context, c quota.ColdStartCommand) error
	// Members returns the agents that this one believes to be alive.
	Members() []membership.Member
}

// Budgets are the state of the fleet's quotas, with the agent that was asked and its role in the quota store.
type Budgets struct {
	quota.Status
	Host  string `json:"host"`
	Stage string `json:"stage"`
}

// StatusError reports a rejected request.
type StatusError struct {
	Status int    // of HTTP
	Text   string // the reason
}

func (e *StatusError) Error() string { return e.Text }
