package fleet

import (
	"errors"
	"fmt"
	"slices"
)

// Kind is what a command asks for.
type CommandKind string

// The kinds. A restart and a wave end with the instance up again; Stop is Drain that may be told not to wait.
const (
	KindStart         CommandKind = "start"
	KindDrain         CommandKind = "drain"
	KindStop          CommandKind = "stop"
	KindRestart       CommandKind = "restart"
	KindRollingUpdate CommandKind = "wave"
	KindColdStart     CommandKind = "rise" // what is down starts as the whole fleet's rise lets it; what serves stays
)

// Kinds lists them.
func CommandKinds() []CommandKind {
	return []CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindColdStart}
}

// Command is what somebody asked for. All but Results and what is below it stays as it came.
type Command struct {
	ID          string               `json:"id"`
	Kind        CommandKind          `json:"kind"`
	Names       []string             `json:"names"`
	RequestedBy string               `json:"by"`               // who asked
	RequestedAt int64                `json:"asked_unix_us"`    // wall clock, for people
	Deadline    Micros               `json:"due"`              // what has no result by then is late
	Immediate   bool                 `json:"now,omitempty"`    // Stop: killed at once, its callers get no answer
	Rollout     *RollingUpdateConfig `json:"terms,omitempty"`  // Wave
	Quota       string               `json:"budget,omitempty"` // Wave: a count of the fleet, of which each that is out holds a unit
	Sequence    int                  `json:"number"`           // order of arrival at this agent
	State       CommandState         `json:"state"`
	Cause       string               `json:"cause,omitempty"` // of a pause or a cancel
	StartedAt   Micros               `json:"begun"`
	FinishedAt  Micros               `json:"finished,omitempty"`

	Results        map[string]Result `json:"results"`          // exactly one an instance, never changed
	Failures       int               `json:"failed,omitempty"` // since the last resume
	Spares         []string          `json:"spares,omitempty"` // of a wave with surge
	Stage          Stage             `json:"stage,omitempty"`  // of a wave
	InProgress     map[string]bool   `json:"out,omitempty"`    // released by the wave and not back
	BlockedSince   Micros            `json:"stuck,omitempty"`  // since when the wave could not go on; 0: it can
	RejectingSince Micros            `json:"turned,omitempty"` // since when too many were turned away; 0: they are not
}

// State of a command.
type CommandState string

// The states. A paused wave releases nothing, what is out comes back.
const (
	CommandOpen      CommandState = "open"
	CommandPaused    CommandState = "paused"
	CommandCancelled CommandState = "cancelled" // nothing new; open until what was begun has ended
	CommandDone      CommandState = "done"
)

// Stage of a wave.
type Stage string

// The stages of a wave with surge; one without has the second only.
const (
	StageStartSpares Stage = "spares up"
	StageRolling     Stage = "rolling"
	StageStopSpares  Stage = "spares down"
)

// Outcome of a command for one instance.
type Outcome string

// The outcomes. Succeeded, Already and Killed mean that it is as asked; Killed that its callers may have lost
// answers on the way.
const (
	OutcomeSucceeded  Outcome = "done"
	OutcomeUnchanged  Outcome = "already"
	OutcomeKilled     Outcome = "killed"
	OutcomeFailed     Outcome = "failed"
	OutcomeSuperseded Outcome = "superseded"
	OutcomeTimedOut   Outcome = "late"
	OutcomeCancelled  Outcome = "cancelled"
	OutcomeSkipped    Outcome = "skipped"
)

// AsAsked tells whether the instance is as the command wanted it.
func (o Outcome) Satisfied() bool {
	return o == OutcomeSucceeded || o == OutcomeUnchanged || o == OutcomeKilled
}

// Result is a command's end for one instance.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Cause   string  `json:"cause,omitempty"`
	At      Micros  `json:"at"`
}

// Why a command is not taken.
var (
	ErrIDConflict       = errors.New("a command with this id and other content was taken before")
	ErrUnknownCommand   = errors.New("no such command")
	ErrTooManyCommands  = errors.New("too many commands are open")
	ErrUpdateInProgress = errors.New("a wave is open; cancel it, or wait for its end")
)

// check tells whether the command can be taken at all.
func (c *Command) validate() error {
	if err := CheckName(c.ID); err != nil {
		return fmt.Errorf("id: %w", err)
	}
	if !slices.Contains(CommandKinds(), c.Kind) {
		return fmt.Errorf("kind: %q is none of %v", c.Kind, CommandKinds())
	}
	if len(c.Names) == 0 {
		return errors.New("names: none")
	}
	if c.Immediate && c.Kind != KindStop {
		return fmt.Errorf("now: not with %s", c.Kind)
	}
	if (c.Rollout != nil) != (c.Kind == KindRollingUpdate) {
		return fmt.Errorf("terms: they belong to a wave, and a wave needs them")
	}
	if c.Kind == KindColdStart && c.Quota == "" {
		return errors.New("budget: a rise needs a count of the fleet's file")
	}
	if c.Quota != "" && c.Kind != KindRollingUpdate && c.Kind != KindColdStart {
		return fmt.Errorf("budget: not with %s", c.Kind)
	}
	if c.Rollout != nil {
		return c.Rollout.Check()
	}
	return nil
}

// same tells whether two commands ask for the same; who asked and when does not matter.
func (c *Command) equivalent(o *Command) bool {
	terms := c.Rollout == o.Rollout || c.Rollout != nil && o.Rollout != nil && *c.Rollout == *o.Rollout
	return c.Kind == o.Kind && c.Immediate == o.Immediate && c.Quota == o.Quota && terms && slices.Equal(c.Names, o.Names)
}

// clone is a copy that shares nothing that changes.
func (c *Command) clone() *Command {
	d := *c
	d.Results = cloneMap(c.Results)
	d.InProgress = cloneMap(c.InProgress)
	return &d
}

func cloneMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// all lists the command's instances, spares too.
func (c *Command) instanceNames() []string { return append(slices.Clone(c.Names), c.Spares...) }

// open lists those that have no result yet.
func (c *Command) unresolved() (names []string) {
	for _, n := range c.instanceNames() {
		if _, over := c.Results[n]; !over {
			names = append(names, n)
		}
	}
	return names
}
