package fleet

import (
	"maps"
	"slices"

	"milletbarrow/monotime"
)

// CommandKind is the operation that a command performs on its instances.
type CommandKind string

// The kinds of commands. A restart and a rolling update end with the instance ready again.
const (
	KindStart         CommandKind = "start"
	KindDrain         CommandKind = "drain"
	KindStop          CommandKind = "stop" // as KindDrain, with the option Immediate
	KindRestart       CommandKind = "restart"
	KindRollingUpdate CommandKind = "wave"
	KindColdStart     CommandKind = "rise" // starts the instances that are down, each once it holds a unit
)

// CommandKinds lists all kinds.
func CommandKinds() []CommandKind {
	return []CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindColdStart}
}

// Command is an operation on a set of instances, with its progress.
type Command struct {
	// The request. It is not changed after it was received, except that a rolling update sorts Names into its order.

	ID          string               `json:"id"`
	Kind        CommandKind          `json:"kind"`
	Names       []string             `json:"names"`            // of the instances
	RequestedBy string               `json:"by"`               // user or program; informational
	RequestedAt int64                `json:"asked_unix_us"`    // wall clock, microseconds since 1970; informational
	Deadline    monotime.Micros      `json:"due"`              // instances without a result then get OutcomeTimedOut
	Immediate   bool                 `json:"now,omitempty"`    // KindStop: kill at once; requests in flight are lost
	Rollout     *RollingUpdateConfig `json:"terms,omitempty"`  // KindRollingUpdate; nil: another kind
	Quota       string               `json:"budget,omitempty"` // each instance in progress holds a unit; empty: none

	// The progress.

	Sequence   int             `json:"number"` // order of arrival at this agent, from 1
	State      CommandState    `json:"state"`
	Cause      string          `json:"cause,omitempty"` // of a pause or a cancellation
	StartedAt  monotime.Micros `json:"begun"`
	FinishedAt monotime.Micros `json:"finished,omitempty"` // 0: not finished

	Results        map[string]Result `json:"results"`          // by instance name; never changed
	Failures       int               `json:"failed,omitempty"` // OutcomeFailed since the last resume
	Spares         []string          `json:"spares,omitempty"` // instances that a rolling update with surge uses
	Stage          Stage             `json:"stage,omitempty"`  // of a rolling update
	InProgress     map[string]bool   `json:"out,omitempty"`    // by instance name: restarting, not back in service
	BlockedSince   monotime.Micros   `json:"stuck,omitempty"`  // no instance may restart since; 0: not blocked
	RejectingSince monotime.Micros   `json:"turned,omitempty"` // MaxRejectedShare exceeded since; 0: it is not
}

// CommandState is the progress of a command as a whole.
type CommandState string

// The states of a command. A paused rolling update begins no further restart and completes those in progress.
const (
	CommandOpen      CommandState = "open"
	CommandPaused    CommandState = "paused"
	CommandCancelled CommandState = "cancelled" // begins nothing new and completes what is in progress
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

// The outcomes of a command for one instance. After a kill, clients of the instance may have lost responses.
const (
	OutcomeSucceeded  Outcome = "done"
	OutcomeUnchanged  Outcome = "already"    // the instance was in the requested state before
	OutcomeKilled     Outcome = "killed"     // the requested state was reached by a kill
	OutcomeFailed     Outcome = "failed"     // the requested state was not reached
	OutcomeSuperseded Outcome = "superseded" // a later command took the instance over
	OutcomeTimedOut   Outcome = "late"       // the command's deadline passed first
	OutcomeCancelled  Outcome = "cancelled"  // the command was cancelled first
	OutcomeSkipped    Outcome = "skipped"    // the instance of a rolling update is not desired up
)

// Satisfied reports whether the instance is in the state that the command requested.
func (o Outcome) Satisfied() bool {
	return o == OutcomeSucceeded || o == OutcomeUnchanged || o == OutcomeKilled
}

// Result is the outcome of a command for one instance.
type Result struct {
	Outcome Outcome         `json:"outcome"`
	Cause   string          `json:"cause,omitempty"` // empty: there is nothing to add to Outcome
	At      monotime.Micros `json:"at"`
}

// validate returns a *FieldError if the command is invalid regardless of the state of the instances.
func (c *Command) validate() error {
	if err := CheckName(c.ID); err != nil {
		return &FieldError{Field: "id", Reason: err.Error(), Err: err}
	}
	if !slices.Contains(CommandKinds(), c.Kind) {
		return fieldErrorf("kind", "%q is not one of %v", c.Kind, CommandKinds())
	}
	if len(c.Names) == 0 {
		return fieldErrorf("names", "missing, wanted at least one instance")
	}
	if c.Immediate && c.Kind != KindStop {
		return fieldErrorf("now", "not allowed with kind %q, only with %q", c.Kind, KindStop)
	}
	if (c.Rollout != nil) != (c.Kind == KindRollingUpdate) {
		return fieldErrorf("terms", "required with kind %q, and allowed with no other", KindRollingUpdate)
	}
	if c.Kind == KindColdStart && c.Quota == "" {
		return fieldErrorf("budget", "missing, wanted the name of a quota with a count in the fleet's file")
	}
	if c.Quota != "" && !c.usesUnits() {
		return fieldErrorf("budget", "not allowed with kind %q", c.Kind)
	}
	if c.Rollout != nil {
		return c.Rollout.Check()
	}
	return nil
}

// equivalent reports whether two commands request the same operation. It ignores who requested them and when.
func (c *Command) equivalent(other *Command) bool {
	sameRollout := c.Rollout == other.Rollout ||
		c.Rollout != nil && other.Rollout != nil && *c.Rollout == *other.Rollout
	return sameRollout &&
		c.Kind == other.Kind &&
		c.Immediate == other.Immediate &&
		c.Quota == other.Quota &&
		slices.Equal(c.Names, other.Names)
}

// clone returns a copy whose maps are independent of the command's.
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

// instanceNames lists the command's instances, including its spares.
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

// unresolved lists the instances, including the spares, that have no result yet.
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

// Unsatisfied lists the instances that are not in the requested state, sorted by name. Skipped ones are left out.
func (c *Command) Unsatisfied() (names []string) {
	for name, result := range c.Results {
		if !result.Outcome.Satisfied() && result.Outcome != OutcomeSkipped {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
