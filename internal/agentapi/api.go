// Package agentapi has the server and the client of a host agent's API. The API is JSON over HTTP on a Unix socket or
// loopback TCP, with the API version in each path. This package only transports requests; package fleet decides on
// them.
package agentapi

import (
	"context"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// Version is the API version, which is the first element of every path. A client of another version gets status 404
// with a text that names this version.
const Version = 1

// CommandRequest requests a command. It is idempotent by its ID: a repeated request with the same content changes
// nothing, so a client can retry after a lost response.
type CommandRequest struct {
	ID                  string                     `json:"id"`
	Kind                fleet.CommandKind          `json:"kind"`
	Instances           []string                   `json:"names"`
	RequestedBy         string                     `json:"by"`
	RequestedUnixMicros int64                      `json:"asked_unix_us"` // by the client's wall clock, for display
	TimeoutMicros       int64                      `json:"within_us"`     // from its arrival, by the agent's clock
	Immediate           bool                       `json:"now,omitempty"`
	RollingUpdate       *fleet.RollingUpdateConfig `json:"terms,omitempty"` // nil for other kinds of command
	// Budget names the quota of which a rolling update holds one unit for each instance that is down; empty: none.
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
	MonotonicMicros int64            `json:"clock_us"`      // process.Now; the times below are by that clock
	StoreError      string           `json:"ill,omitempty"` // why commands are rejected; empty: they are accepted
	LastSerial      uint64           `json:"serial"`        // of the latest history entry; 0: no entry
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
	TimeLeftMicros int64        `json:"left_us,omitempty"` // until the time limit of the phase; 0: no limit
	Settled        bool         `json:"settled"`           // ready for as long as its group requires
	Task           string       `json:"task,omitempty"`    // ID of the command that waits for the instance; empty: none
	RecentRestarts int          `json:"launches"`          // without a command, in the window of the launch budget
	PID            int          `json:"pid,omitempty"`     // 0: unknown
	SupervisorPID  int          `json:"keeper,omitempty"`  // 0: unknown
	State          *admin.State `json:"state,omitempty"`   // the instance's latest report; nil: none
}

// StreamEvent is one line of a stream: a history entry, the state of a command, a gap, or a heartbeat, which has only a
// serial.
type StreamEvent struct {
	Entry       *agentstore.Entry `json:"entry,omitempty"`
	Command     *fleet.Command    `json:"command,omitempty"` // last line of a command's stream: the command is done
	LostEntries uint64            `json:"gap,omitempty"`     // number of entries that are no longer cached
	Serial      uint64            `json:"serial,omitempty"`  // the serial after which a client reconnects
}

// Manager implements the requests of the API; agents implement it. Its methods are safe for concurrent use.
type Manager interface {
	// Status returns the state of the agent and its instances.
	Status() Status
	// Submit accepts and stores a command, and returns it.
	Submit(r CommandRequest) (*fleet.Command, error)
	// Steer pauses, resumes or cancels a command.
	Steer(id, verb, by string) (*fleet.Command, error)
	// Command returns a command, or nil if it is unknown.
	Command(id string) *fleet.Command
	// Commands returns all commands, newest first.
	Commands() []*fleet.Command
	// Entries returns the first cached entries after a serial, possibly not all of them. It also returns how many
	// entries before them are no longer cached, and a channel that is closed when the next entry is added.
	Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{})
	// History returns the latest stored entries after a serial, at most limit of them.
	History(after uint64, limit int) ([]agentstore.Entry, error)
	// Budgets returns the state of the quotas, as known to the leader of the quota store.
	Budgets(ctx context.Context) (Budgets, error)
	// WriteOff ends the leases and permits of a holder, which an operator confirms are no longer in use.
	WriteOff(ctx context.Context, name, by string) error
	// ColdStart starts or changes a cold start of the fleet.
	ColdStart(ctx context.Context, c quota.ColdStartCommand) error
	// Members returns the agents that this agent considers alive.
	Members() []membership.Member
}

// Budgets is the state of the fleet's quotas, with the agent that answered and its role in the quota store.
type Budgets struct {
	quota.Status
	Host  string `json:"host"`
	Stage string `json:"stage"`
}

// StatusError reports a rejected request.
type StatusError struct {
	Status int    // HTTP status code
	Text   string // the reason
}

func (e *StatusError) Error() string { return e.Text }
