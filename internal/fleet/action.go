package fleet

import (
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// ActionKind is the effect of an action.
type ActionKind string

// The actions on an instance.
const (
	ActionLaunch ActionKind = "launch" // start a supervisor with the instance; with Adopt, a supervisor only
	ActionNotify ActionKind = "tell"   // deliver the shutdown notice
	ActionKill   ActionKind = "kill"   // end the instance at once
)

// The actions on units. They go to the quota store, not to a supervisor, and are idempotent.
const (
	ActionAcquireUnit ActionKind = "take a unit"
	ActionReleaseUnit ActionKind = "give a unit back"
)

// Action is carried out by the agent after it has stored the state that led to it. An action that is sent again keeps
// its ID and takes effect once.
type Action struct {
	Kind        ActionKind        `json:"what"`
	ID          string            `json:"id"`
	Name        string            `json:"name"`            // of the instance
	Incarnation string            `json:"run"`             // the incarnation that the action applies to
	Adopt       bool              `json:"adopt,omitempty"` // ActionLaunch: for a supervisor that adopts Incarnation
	NotifiedAt  monotime.Micros   `json:"told,omitempty"`  // ActionNotify: start of the shutdown window
	Cause       string            `json:"cause,omitempty"`
	Unit        Unit              // ActionAcquireUnit, ActionReleaseUnit
	StartResult coldstart.Outcome `json:"End"` // ActionReleaseUnit: of the start that held the unit
}

// StartsNew reports whether the action begins something that the agent must remember after a restart. Such actions wait
// while the state can't be stored; notices, kills and adoptions must not be delayed by a failing disk.
func (a Action) StartsNew() bool {
	return a.Kind == ActionLaunch && !a.Adopt || a.Kind == ActionAcquireUnit
}
