package fleet

import (
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
