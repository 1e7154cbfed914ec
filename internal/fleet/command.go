package fleet

import (
	"maps"
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
	if c.Quota != "" && !c.usesUnits() {
		return fieldErrorf("budget", "not with %s", c.Kind)
	}
	if c.Rollout != nil {
		return c.Rollout.Check()
	}
	return nil
}

// equivalent reports whether two commands ask for the same; who asked and when does not matter.
func (c *Command) equivalent(other *Command) bool {
	sameRollout := c.Rollout == other.Rollout ||
		c.Rollout != nil && other.Rollout != nil && *c.Rollout == *other.Rollout
	return sameRollout &&
		c.Kind == other.Kind &&
		c.Immediate == other.Immediate &&
		c.Quota == other.Quota &&
		slices.Equal(c.Names, other.Names)
}

// clone returns a copy that shares no map with the command.
func (c *Command) clone() *Command {
	copied := *c
	copied.Results = cloneMap(c.Results)
	copied.InProgress = cloneMap(c.InProgress)
	return &copied
}

// cloneMap returns a copy of a map; the copy of nil is empty.
func cloneMap[V any](original map[string]V) map[string]V {
	copied := make(map[string]V, len(original))
	maps.Copy(copied, original)
	return copied
}

// instanceNames lists the command's instances, with its spares.
func (c *Command) instanceNames() []string { return append(slices.Clone(c.Names), c.Spares...) }

// hasResult reports whether the command has ended for an instance.
func (c *Command) hasResult(name string) bool {
	_, ok := c.Results[name]
	return ok
}

// allResolved reports whether all instances but the spares have a result.
func (c *Command) allResolved() bool {
	return !slices.ContainsFunc(c.Names, func(name string) bool { return !c.hasResult(name) })
}

// unresolved lists the instances, with the spares, that have no result yet.
func (c *Command) unresolved() (names []string) {
	for _, name := range c.instanceNames() {
		if !c.hasResult(name) {
			names = append(names, name)
		}
	}
	return names
}

// CountOutcomes counts the results of commands by outcome, and the instances that have none yet. A nil command counts
// nothing.
func CountOutcomes(commands ...*Command) (counts map[Outcome]int, open int) {
	counts = map[Outcome]int{}
	for _, command := range commands {
		if command == nil {
			continue
		}
		for _, result := range command.Results {
			counts[result.Outcome]++
		}
		open += len(command.unresolved())
	}
	return counts, open
}

// Unsatisfied lists the instances that are not as the command wanted them, by name. Skipped ones are left out.
func (c *Command) Unsatisfied() (names []string) {
	for name, result := range c.Results {
		if !result.Outcome.Satisfied() && result.Outcome != OutcomeSkipped {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
