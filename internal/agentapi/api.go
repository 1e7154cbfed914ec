// Package agentapi is how an agent is spoken to: HTTP and JSON with a version in it, over a Unix socket or loopback
// TCP, and the client that speaks to many agents at once. It carries words; what they do is decided in fleet.
package agentapi

import (
	"context"

	"milletbarrow/internal/agent/store"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// Version of the interface; it is the first part of every path. A client of another version is told so by the
// path it asks for.
const Version = 1

// Order asks for something to be done. Sent again with the same ID and content it changes nothing, so that it can
// be sent again whenever its answer is lost.
type Order struct {
	ID     string           `json:"id"`
	Kind   fleet.Kind       `json:"kind"`
	Names  []string         `json:"names"`
	By     string           `json:"by"`
	Asked  int64            `json:"asked_unix_us"`
	Within int64            `json:"within_us"` // from its arrival; the agent's own clock counts it
	Now    bool             `json:"now,omitempty"`
	Terms  *fleet.WaveTerms `json:"terms,omitempty"`
	Budget string           `json:"budget,omitempty"` // of a wave: a count of which each that is out holds a unit
}

// Status is an agent's state.
type Status struct {
	Version   int              `json:"version"`
	Fleet     string           `json:"fleet"`
	Host      string           `json:"host"`
	Build     string           `json:"build"`
	PID       int              `json:"pid"`
	Up        int64            `json:"up_us"`         // since its start
	Clock     int64            `json:"clock_us"`      // the machine's own clock; times below are of it
	Ill       string           `json:"ill,omitempty"` // why nothing new is taken
	Serial    uint64           `json:"serial"`        // of the last line of history
	Instances []Instance       `json:"instances"`
	Open      []*fleet.Command `json:"open"`
}

// Instance is one of them.
type Instance struct {
	Name     string       `json:"name"`
	Group    string       `json:"group"`
	Spare    bool         `json:"spare,omitempty"`
	Up       bool         `json:"up"` // wanted
	Phase    fleet.Phase  `json:"phase"`
	For      int64        `json:"for_us"` // in this phase
	Cause    string       `json:"cause,omitempty"`
	Left     int64        `json:"left_us,omitempty"` // until the phase's time limit
	Settled  bool         `json:"settled"`
	Task     string       `json:"task,omitempty"`
	Launches int          `json:"launches"` // by itself, of late
	PID      int          `json:"pid,omitempty"`
	Keeper   int          `json:"keeper,omitempty"`
	State    *admin.State `json:"state,omitempty"` // its own words, the latest
}

// Line is one of a stream: an entry of history, the command as it stands, or a gap.
type Line struct {
	Entry   *store.Entry   `json:"entry,omitempty"`
	Command *fleet.Command `json:"command,omitempty"` // the last line of a command's stream has it ended
	Gap     uint64         `json:"gap,omitempty"`     // so many entries are no longer kept
	Serial  uint64         `json:"serial,omitempty"`  // to join again after; a line with nothing else is a sign of life
}

// Manager is what the interface stands for; an agent is one. Its methods may be called from any goroutine.
type Manager interface {
	Status() Status
	Order(Order) (*fleet.Command, error)
	Steer(id, verb, by string) (*fleet.Command, error)
	Command(id string) *fleet.Command
	Commands() []*fleet.Command
	// Entries after a serial, at most some hundred, how many before them are lost, and a channel that is
	// closed once there are more.
	Entries(after uint64) (entries []store.Entry, lost uint64, more <-chan struct{})
	History(after uint64, most int) ([]store.Entry, error)
	// Budgets asks the ledger's leader, whichever agent that is.
	Budgets(ctx context.Context) (Budgets, error)
	// WriteOff is an operator's word that what a name has of budgets is in force no more.
	WriteOff(ctx context.Context, name, by string) error
	// Rise begins a rise at the ledger, or says a word about one.
	Rise(ctx context.Context, r quota.Rise) error
	Members() []membership.Seen
}

// Budgets are how the fleet's budgets stand, and how this agent takes part in keeping them.
type Budgets struct {
	quota.View
	Host  string `json:"host"`
	Stage string `json:"stage"`
}

// Refusal is an error with the status that says what kind it is.
type Refusal struct {
	Status int
	Text   string
}

func (r *Refusal) Error() string { return r.Text }
