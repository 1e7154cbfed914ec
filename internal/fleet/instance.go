package fleet

import (
	"strconv"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// Phase is where an instance is between its launch and its end, as far as it is observed.
type Phase string

// The phases. The desired state stands apart, in Instance.DesiredUp.
const (
	PhaseAbsent       Phase = "absent"   // never started
	PhaseStarting     Phase = "starting" // launched, not ready yet
	PhaseReady        Phase = "ready"    // answers health checks with good
	PhaseUnready      Phase = "unready"  // was ready, and is not though nobody notified it
	PhaseDraining     Phase = "draining" // notified, within its grace period
	PhaseStopping     Phase = "stopping" // its grace period is over, what is in flight is answered
	PhaseUnresponsive Phase = "deaf"     // notified and shows no sign of it; killed before its grace period ends
	PhaseExited       Phase = "gone"     // ended after it was notified
	PhaseFailed       Phase = "failed"   // ended by itself, could not be launched, or did not become ready
	PhaseUnknown      Phase = "unknown"  // it can't be observed; that does not mean that it has ended
)

// leaving reports whether the instance is shutting down.
func (p Phase) leaving() bool {
	return p == PhaseDraining || p == PhaseStopping || p == PhaseUnresponsive
}

// Down reports whether no process of the instance is left.
func (p Phase) Down() bool { return p == PhaseAbsent || p == PhaseExited || p == PhaseFailed }

// Observation is what the supervisor of an instance reported, or what the agent found in its place.
type Observation struct {
	Incarnation string `json:"run"`   // the incarnation it is about
	Phase       Phase  `json:"phase"` // any but PhaseAbsent and PhaseFailed
	NoticeID    string `json:"told"`  // the shutdown notice that its supervisor has taken; empty: none
	Cause       string `json:"cause,omitempty"`
	Orphaned    bool   `json:"orphan,omitempty"` // PhaseUnknown: it runs and its supervisor does not
	Exit        Exit   `json:"end"`              // PhaseExited
	Invocations int    `json:"picked"`           // invocations since its start
	Rejected    int    `json:"turned"`           // of them, throttled or answered with an error
	Level       string `json:"level,omitempty"`  // of degradation
	LevelCause  string `json:"why,omitempty"`    // cause of the latest change of Level
	Detail      Detail `json:"detail,omitempty"` // what a supervisor of another release may add; empty: nothing
}

// Detail is a JSON value of a form that this release does not know; empty: none. It is passed on as it came. A string,
// so that observations can be compared.
type Detail string

// MarshalJSON returns the value as it came.
func (d Detail) MarshalJSON() ([]byte, error) { return []byte(d), nil }

// UnmarshalJSON takes any value; null is none.
func (d *Detail) UnmarshalJSON(raw []byte) error {
	if *d = Detail(raw); *d == "null" {
		*d = ""
	}
	return nil
}

// Exit is how an incarnation ended.
type Exit struct {
	Code       int             `json:"code"`             // exit code; -1 if a signal ended it
	Signal     string          `json:"signal,omitempty"` // the signal that ended it
	KillReason string          `json:"killed,omitempty"` // why the supervisor or the agent killed it; empty: it did not
	Unobserved bool            `json:"unseen,omitempty"` // nobody was there to read the exit code
	Uptime     monotime.Micros `json:"lived,omitempty"`
	DrainTime  monotime.Micros `json:"after,omitempty"` // from the notice to the exit; 0: no notice
}

func (e Exit) String() string {
	switch {
	case e.KillReason != "":
		return "killed: " + e.KillReason
	case e.Signal != "":
		return "died of signal " + e.Signal
	case e.Unobserved:
		return "ended, its exit code was not seen"
	}
	return "exit code " + strconv.Itoa(e.Code)
}

// fullService is the degradation level of an instance without degradation.
const fullService = "full"

// unknownInvocations stands for a count from before a restart of the agent.
const unknownInvocations = -1

// Instance is the desired and the observed state of an instance. All that has a JSON name is stored by the agent.
type Instance struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Spare bool   `json:"spare,omitempty"`

	DesiredUp      bool       `json:"up"`                // the desired state
	RestartPending bool       `json:"recycle,omitempty"` // it is to exit and to be launched again
	CommandID      string     `json:"task,omitempty"`    // the command that waits for it; empty: none
	ActionCount    int        `json:"serial"`            // actions issued for it so far
	ActionID       string     `json:"step,omitempty"`    // the last of them
	LastAction     ActionKind `json:"doing,omitempty"`   // the kind of ActionID
	ActionPending  bool       `json:"pending,omitempty"` // ActionID is not known to have been taken

	Incarnation       string          `json:"run,omitempty"` // the ID of the action that launched it; empty: no process
	NoticeID          string          `json:"told,omitempty"`
	NotifiedAt        monotime.Micros `json:"told_at,omitempty"`
	PhaseDeadline     monotime.Micros `json:"deadline,omitempty"` // 0: none. Never 0 once it was notified
	GiveUpReason      string          `json:"gave_up,omitempty"`  // why it was notified though it is desired up
	LaunchesExhausted bool            `json:"spent,omitempty"`    // no further launch until a command asks for one
	LaunchRequested   bool            `json:"free,omitempty"`     // the next launch was asked for and is not counted by LaunchBudget
	KillAttempts      int             `json:"kills,omitempty"`    // in this incarnation
	LastExit          Exit            `json:"last"`               // of the incarnation before
	LaunchBudget      LaunchBudget    `json:"budget"`             // of launches that no command asked for
	Unit              Unit            `json:"unit,omitzero"`      // of a concurrency quota of the fleet
	UnitRequests      int             `json:"turns,omitempty"`    // unit requests so far
	Attempts          int             `json:"tries,omitempty"`    // of the pending action, or of launches in a row
	NextAttemptAt     monotime.Micros `json:"next,omitempty"`     // no attempt before

	Phase       Phase           `json:"phase"`
	PhaseSince  monotime.Micros `json:"since"`
	Cause       string          `json:"cause,omitempty"`
	ReadySince  monotime.Micros `json:"steady,omitempty"` // 0: not ready
	Invocations int             `json:"picked,omitempty"`
	Rejected    int             `json:"turned,omitempty"`
	Level       string          `json:"level,omitempty"` // of degradation, as it was last observed

	group     *GroupSpec
	shutdown  ShutdownWindow
	fileOrder int
}

// ShutdownWindow is the time that an instance has from the shutdown notice on, by its configuration.
type ShutdownWindow struct {
	Grace       monotime.Micros // work that arrives later is not run
	ExitTimeout monotime.Micros // the instance has exited by then
}

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

// HistoryEvent is an entry of the history that people read.
type HistoryEvent struct {
	At        monotime.Micros `json:"at"`
	Name      string          `json:"name,omitempty"`
	CommandID string          `json:"command,omitempty"`
	Event     string          `json:"event"`
	Cause     string          `json:"cause,omitempty"`
}

// setPhase enters a phase, or updates the cause of the present one.
func (inst *Instance) setPhase(now monotime.Micros, p Phase, cause string) {
	if inst.Phase != p {
		inst.Phase, inst.PhaseSince = p, now
	}
	inst.Cause = cause
	if p != PhaseReady {
		inst.ReadySince = 0
	} else if inst.ReadySince == 0 {
		inst.ReadySince = now
	}
}

// Settled reports whether the instance has been ready for as long as its group wants.
func (inst *Instance) Settled(now monotime.Micros) bool {
	return inst.Phase == PhaseReady && now-inst.ReadySince >= inst.group.Settle
}

// available reports whether a rolling update may count the instance as serving.
func (inst *Instance) available(now monotime.Micros) bool {
	return inst.DesiredUp && !inst.RestartPending && inst.NoticeID == "" && inst.Settled(now)
}
