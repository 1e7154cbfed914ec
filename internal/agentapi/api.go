// Package agentapi is the API of a host agent: HTTP and JSON with a version in each path, over a Unix socket or loopback
// TCP, and the client that makes requests to many agents at once. It carries requests; package fleet decides on them.
package agentapi

import (
	"context"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// Version is that of the API and the first part of every path. A client of another version gets 404 and a text that
// says so.
const Version = 1

// CommandRequest asks for a command. Sent again with the same ID and content it changes nothing, so that it can be
// retried whenever its response is lost.
type CommandRequest struct {
	ID                  string                     `json:"id"`
	Kind                fleet.CommandKind          `json:"kind"`
	Instances           []string                   `json:"names"`
	RequestedBy         string                     `json:"by"`
	RequestedUnixMicros int64                      `json:"asked_unix_us"`
	TimeoutMicros       int64                      `json:"within_us"` // from its arrival; the agent's own clock counts it
	Immediate           bool                       `json:"now,omitempty"`
	RollingUpdate       *fleet.RollingUpdateConfig `json:"terms,omitempty"`
	Budget              string                     `json:"budget,omitempty"` // of a wave: a count of which each that is out holds a unit
}

// Status is the state of an agent and its instances.
type Status struct {
	Version         int              `json:"version"`
	Fleet           string           `json:"fleet"`
	Host            string           `json:"host"`
	Build           string           `json:"build"`
	PID             int              `json:"pid"`
	UptimeMicros    int64            `json:"up_us"`         // since its start
	MonotonicMicros int64            `json:"clock_us"`      // the machine's own clock; times below are of it
	StoreError      string           `json:"ill,omitempty"` // why no command is accepted; empty: they are
	LastSerial      uint64           `json:"serial"`        // of the last line of history
	Instances       []Instance       `json:"instances"`
	OpenCommands    []*fleet.Command `json:"open"`
}

// Instance is the state of one instance.
type Instance struct {
	Name           string       `json:"name"`
	Group          string       `json:"group"`
	Spare          bool         `json:"spare,omitempty"`
	DesiredUp      bool         `json:"up"` // wanted
	Phase          fleet.Phase  `json:"phase"`
	PhaseAgeMicros int64        `json:"for_us"` // in this phase
	Cause          string       `json:"cause,omitempty"`
	TimeLeftMicros int64        `json:"left_us,omitempty"` // until the phase's time limit
	Settled        bool         `json:"settled"`
	Task           string       `json:"task,omitempty"`
	RecentRestarts int          `json:"launches"` // without a command, within the launch budget's window
	PID            int          `json:"pid,omitempty"`
	SupervisorPID  int          `json:"keeper,omitempty"`
	State          *admin.State `json:"state,omitempty"` // the latest that the instance reported
}

// StreamEvent is one line of a stream: a history entry, the state of a command, or a gap.
type StreamEvent struct {
	Entry       *agentstore.Entry `json:"entry,omitempty"`
	Command     *fleet.Command    `json:"command,omitempty"` // the last line of a command's stream has it ended
	LostEntries uint64            `json:"gap,omitempty"`     // so many entries are no longer cached
	Serial      uint64            `json:"serial,omitempty"`  // to join again after; a line with nothing else is a heartbeat
}

// Manager does what the API offers; an agent implements it. Its methods may be called from any goroutine.
type Manager interface {
	Status() Status
	Submit(CommandRequest) (*fleet.Command, error)
	Steer(id, verb, by string) (*fleet.Command, error)
	Command(id string) *fleet.Command
	Commands() []*fleet.Command
	// Entries returns some hundred entries after a serial at most, how many before them are lost, and a channel
	// that is closed once there are more.
	Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{})
	History(after uint64, most int) ([]agentstore.Entry, error)
	// Budgets asks the leader of the quota store, whichever agent that is.
	Budgets(ctx context.Context) (Budgets, error)
	// WriteOff ends what a name holds of quotas, on an operator's command.
	WriteOff(ctx context.Context, name, by string) error
	// ColdStart begins or changes a cold start of the fleet.
	ColdStart(ctx context.Context, r quota.ColdStartCommand) error
	Members() []membership.Member
}

// Budgets are the state of the fleet's quotas, and how this agent takes part in the quota store.
type Budgets struct {
	quota.Status
	Host  string `json:"host"`
	Stage string `json:"stage"`
}

// StatusError is a rejected request: the HTTP status and the reason.
type StatusError struct {
	Status int
	Text   string
}

func (e *StatusError) Error() string { return e.Text }
