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
func (inst *Instance) setPhase(now monotime.Micros, phase Phase, cause string) {
	if inst.Phase != phase {
		inst.Phase = phase
		inst.PhaseSince = now
	}
	inst.Cause = cause
	if phase != PhaseReady {
		inst.ReadySince = 0
	} else if inst.ReadySince == 0 {
		inst.ReadySince = now
	}
}

// requestLaunch has a command's launch follow as soon as the instance is down. It is not counted by LaunchBudget,
// which starts anew.
func (inst *Instance) requestLaunch(now monotime.Micros) {
	inst.DesiredUp = true
	inst.LaunchesExhausted = false
	inst.LaunchRequested = true
	inst.Attempts = 0
	inst.LaunchBudget = LaunchBudget{}
	if inst.Phase.Down() {
		inst.NextAttemptAt = now
	}
}

// requestRelaunch has the launch that a restart asked for follow at once.
func (inst *Instance) requestRelaunch(now monotime.Micros) {
	inst.LaunchRequested = true
	inst.NextAttemptAt = now
	inst.Attempts = 0
}

// abandonLaunch forgets an incarnation of which no process came.
func (inst *Instance) abandonLaunch() {
	inst.Incarnation = ""
	inst.ActionPending = false
	inst.PhaseDeadline = 0
}

// clearIncarnation forgets the notice, the kills and the deadline of an incarnation that has ended.
func (inst *Instance) clearIncarnation() {
	inst.Incarnation = ""
	inst.NoticeID = ""
	inst.NotifiedAt = 0
	inst.GiveUpReason = ""
	inst.PhaseDeadline = 0
	inst.ActionPending = false
	inst.KillAttempts = 0
}

// clearObservations forgets what was observed of an incarnation that has ended.
func (inst *Instance) clearObservations() {
	inst.Invocations = 0
	inst.Rejected = 0
	inst.Level = ""
}

// resendNotice makes the notice the pending action again, due at once.
func (inst *Instance) resendNotice(now monotime.Micros) {
	inst.ActionID = inst.NoticeID
	inst.LastAction = ActionNotify
	inst.ActionPending = true
	inst.NextAttemptAt = now
}

// resetAfterReboot forgets the process, which a reboot of the host has ended. If the instance is desired up, it is
// launched at once.
func (inst *Instance) resetAfterReboot(now monotime.Micros) {
	inst.clearIncarnation()
	inst.RestartPending = false
	inst.LaunchesExhausted = false
	inst.LaunchRequested = true
	inst.NextAttemptAt = 0
	inst.Attempts = 0
	inst.LaunchBudget = LaunchBudget{}
	inst.setPhase(now, PhaseAbsent, causeRebooted)
}

// awaitObservation makes the phase of a running instance unknown after a restart of the agent. A pending action goes
// out again at once.
func (inst *Instance) awaitObservation(now monotime.Micros) {
	inst.Phase = PhaseUnknown
	inst.PhaseSince = now
	inst.Cause = causeAgentRestarted
	inst.NextAttemptAt = now
}

// Settled reports whether the instance has been ready for at least its group's Settle time.
func (inst *Instance) Settled(now monotime.Micros) bool {
	return inst.Phase == PhaseReady && now-inst.ReadySince >= inst.group.Settle
}

// available reports whether a rolling update may count the instance as serving.
func (inst *Instance) available(now monotime.Micros) bool {
	return inst.DesiredUp && !inst.RestartPending && inst.NoticeID == "" && inst.Settled(now)
}

// backInService reports whether an instance serves again, or is down as desired.
func (inst *Instance) backInService(now monotime.Micros) bool {
	return inst.available(now) || !inst.DesiredUp && inst.Phase.Down()
}

// runsUndisturbed reports whether the instance is ready and is not about to leave.
func (inst *Instance) runsUndisturbed() bool {
	return inst.Phase == PhaseReady && !inst.RestartPending && inst.NoticeID == ""
}

// failedForGood reports whether the instance is down and is not launched again without a command.
func (inst *Instance) failedForGood() bool {
	return inst.Phase == PhaseFailed && inst.LaunchesExhausted
}

// shouldNotify reports whether the instance is to leave and has not been notified.
func (inst *Instance) shouldNotify() bool {
	return inst.NoticeID == "" && (!inst.DesiredUp || inst.RestartPending)
}

// launchPending reports whether a launch of the instance, or of a supervisor that adopts it, is not known to have been
// carried out.
func (inst *Instance) launchPending() bool {
	return inst.ActionPending && inst.LastAction == ActionLaunch
}
