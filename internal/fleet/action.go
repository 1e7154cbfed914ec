package fleet

import (
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// ActionKind is the effect of an action.
type ActionKind string

// The actions on an instance.
const (
	ActionLaunch ActionKind = "launch" // start a supervisor with the instance, or a supervisor alone if Adopt is set
	ActionNotify ActionKind = "tell"   // hand over the shutdown notice
	ActionKill   ActionKind = "kill"   // end the instance at once
)

// The actions on units. They go to the quota store, not to a supervisor, and may be carried out twice.
const (
	ActionAcquireUnit ActionKind = "take a unit"
	ActionReleaseUnit ActionKind = "give a unit back"
)

// Action is carried out by the agent once the change that it belongs to is stored. An action that is sent again has the
// same ID and takes effect once.
type Action struct {
	Kind        ActionKind        `json:"what"`
	ID          string            `json:"id"`
	Name        string            `json:"name"`            // of the instance
	Incarnation string            `json:"run"`             // the incarnation that it is for
	Adopt       bool              `json:"adopt,omitempty"` // ActionLaunch: for a supervisor that adopts Incarnation
	NotifiedAt  monotime.Micros   `json:"told,omitempty"`  // ActionNotify: start of the shutdown window
	Cause       string            `json:"cause,omitempty"`
	Unit        Unit              // ActionAcquireUnit, ActionReleaseUnit
	StartResult coldstart.Outcome `json:"End"` // ActionReleaseUnit: of the start that held the unit
}

// StartsNew reports whether the action begins something that a restart of the agent must not forget. Such actions wait
// while the state can't be stored; notices, kills and adoptions must not wait for a disk.
func (a Action) StartsNew() bool {
	return a.Kind == ActionLaunch && !a.Adopt || a.Kind == ActionAcquireUnit
}
