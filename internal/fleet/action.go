package fleet

import (
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// ActionKind is what an action does.
type ActionKind string

// The actions on an instance.
const (
	ActionLaunch ActionKind = "launch" // start a supervisor with the instance, or a supervisor alone if Adopt is set
	ActionNotify ActionKind = "tell"   // hand over the shutdown notice
	ActionKill   ActionKind = "kill"   // end the instance at once
)

// Action is for the agent to carry out once the change that it belongs to is stored. The same ID may come again: it
// stands for one action.
type Action struct {
	Kind        ActionKind        `json:"what"`
	ID          string            `json:"id"`
	Name        string            `json:"name"`
	Incarnation string            `json:"run"`
	Adopt       bool              `json:"adopt,omitempty"`
	NotifiedAt  monotime.Micros   `json:"told,omitempty"` // ActionNotify: when it was first issued; the shutdown window runs from there
	Cause       string            `json:"cause,omitempty"`
	Unit        Unit              // ActionAcquireUnit, ActionReleaseUnit
	StartResult coldstart.Outcome `json:"End"`
}

// StartsNew reports whether the action begins something that a restart of the agent must not forget. While the state can't
// be stored such actions wait; notices, kills and adoptions must not wait for a disk.
func (a Action) StartsNew() bool {
	return a.Kind == ActionLaunch && !a.Adopt || a.Kind == ActionAcquireUnit
}

// The actions on units. They go to the quota store, not to a supervisor, and may be carried out twice.
const (
	ActionAcquireUnit ActionKind = "take a unit"
	ActionReleaseUnit ActionKind = "give a unit back"
)
