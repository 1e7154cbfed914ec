package fleet

import (
	"slices"

	"milletbarrow/monotime"
)

// CommandKind is what a command asks for.
type CommandKind string

// The kinds. A restart and a rolling update end with the instance up again; KindStop is KindDrain that may be
// Immediate.
const (
	KindStart         CommandKind = "start"
	KindDrain         CommandKind = "drain"
	KindStop          CommandKind = "stop"
	KindRestart       CommandKind = "restart"
	KindRollingUpdate CommandKind = "wave"
	KindColdStart     CommandKind = "rise" // what is down starts as the cold start of the whole fleet lets it; what serves stays
)

// CommandKinds lists all kinds.
func CommandKinds() []CommandKind {
	return []CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindColdStart}
}

// Command is a request for a set of instances. From State on it holds its progress; what is above stays as it came.
type Command struct {
	ID          string               `json:"id"`
	Kind        CommandKind          `json:"kind"`
	Names       []string             `json:"names"`
	RequestedBy string               `json:"by"`               // who asked
	RequestedAt int64                `json:"asked_unix_us"`    // wall clock, for people
	Deadline    monotime.Micros      `json:"due"`              // an instance without a result by then gets OutcomeTimedOut
	Immediate   bool                 `json:"now,omitempty"`    // KindStop: killed at once, its callers get no answer
	Rollout     *RollingUpdateConfig `json:"terms,omitempty"`  // KindRollingUpdate
	Quota       string               `json:"budget,omitempty"` // name of the concurrency quota of which each instance in progress holds a unit
	Sequence    int                  `json:"number"`           // order of arrival at this agent
	State       CommandState         `json:"state"`
	Cause       string               `json:"cause,omitempty"` // of a pause or a cancellation
	StartedAt   monotime.Micros      `json:"begun"`
	FinishedAt  monotime.Micros      `json:"finished,omitempty"`

	Results        map[string]Result `json:"results"`          // exactly one for each instance, never changed
	Failures       int               `json:"failed,omitempty"` // since the last resume
	Spares         []string          `json:"spares,omitempty"` // of a rolling update with surge
	Stage          Stage             `json:"stage,omitempty"`  // of a rolling update
	InProgress     map[string]bool   `json:"out,omitempty"`    // taken out and not back yet
	BlockedSince   monotime.Micros   `json:"stuck,omitempty"`  // since when no instance could be taken out; 0: one can
	RejectingSince monotime.Micros   `json:"turned,omitempty"` // since when too many invocations are rejected; 0: they are not
}

// CommandState is how far a command has come.
type CommandState string

// The states. A paused rolling update takes nothing out; what is in progress comes back.
const (
	CommandOpen      CommandState = "open"
	CommandPaused    CommandState = "paused"
	CommandCancelled CommandState = "cancelled" // nothing new; open until what was begun has ended
	CommandDone      CommandState = "done"
)

// Stage of a rolling update.
type Stage string

// The stages of a rolling update with surge; one without surge has StageRolling only.
const (
	StageStartSpares Stage = "spares up"
	StageRolling     Stage = "rolling"
	StageStopSpares  Stage = "spares down"
)

// Outcome of a command for one instance.
type Outcome string

// The outcomes. Succeeded, unchanged and killed mean that the instance is as the command wanted it; after a kill its
// callers may have lost answers.
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

// Satisfied reports whether the instance is as the command wanted it.
func (o Outcome) Satisfied() bool {
	return o == OutcomeSucceeded || o == OutcomeUnchanged || o == OutcomeKilled
}

// Result is how a command ended for one instance.
type Result struct {
	Outcome Outcome         `json:"outcome"`
	Cause   string          `json:"cause,omitempty"`
	At      monotime.Micros `json:"at"`
}

// validate reports what makes a command unusable, whatever the state of the instances. Errors are *FieldError.
func (c *Command) validate() error {
	if err := CheckName(c.ID); err != nil {
		return &FieldError{Field: "id", Reason: err.Error(), Err: err}
	}
	if !slices.Contains(CommandKinds(), c.Kind) {
		return fieldErrorf("kind", "%q is none of %v", c.Kind, CommandKinds())
	}
	if len(c.Names) == 0 {
		return fieldErrorf("names", "none")
	}
	if c.Immediate && c.Kind != KindStop {
		return fieldErrorf("now", "not with %s", c.Kind)
	}
	if (c.Rollout != nil) != (c.Kind == KindRollingUpdate) {
		return fieldErrorf("terms", "they belong to a wave, and a wave needs them")
	}
	if c.Kind == KindColdStart && c.Quota == "" {
		return fieldErrorf("budget", "a rise needs a count of the fleet's file")
	}
	if c.Quota != "" && c.Kind != KindRollingUpdate && c.Kind != KindColdStart {
		return fieldErrorf("budget", "not with %s", c.Kind)
	}
	if c.Rollout != nil {
		return c.Rollout.Check()
	}
	return nil
}

// equivalent reports whether two commands ask for the same; who asked and when does not matter.
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

// instanceNames lists the command's instances, spares too.
func (c *Command) instanceNames() []string { return append(slices.Clone(c.Names), c.Spares...) }

// unresolved lists the instances that have no result yet.
func (c *Command) unresolved() (names []string) {
	for _, name := range c.instanceNames() {
		if _, over := c.Results[name]; !over {
			names = append(names, name)
		}
	}
	return names
}
