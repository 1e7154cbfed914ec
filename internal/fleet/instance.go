package fleet

import "milletbarrow/monotime"

// Phase is the observed stage of an instance's lifecycle, from its launch to its exit.
type Phase string

// The phases. The desired state is separate: Instance.DesiredUp.
const (
	PhaseAbsent       Phase = "absent"   // never started
	PhaseStarting     Phase = "starting" // launched, not ready yet
	PhaseReady        Phase = "ready"    // passes its health checks
	PhaseUnready      Phase = "unready"  // was ready, and fails its health checks though it was not notified
	PhaseDraining     Phase = "draining" // notified, within its grace period
	PhaseStopping     Phase = "stopping" // past its grace period; completes the requests in flight
	PhaseUnresponsive Phase = "deaf"     // does not react to its notice; killed before its grace period ends
	PhaseExited       Phase = "gone"     // exited after it was notified
	PhaseFailed       Phase = "failed"   // exited unexpectedly, could not be launched, or did not become ready
	PhaseUnknown      Phase = "unknown"  // can't be observed; may still run
)

// shuttingDown reports whether the instance is in one of the phases of its shutdown.
func (p Phase) shuttingDown() bool {
	return p == PhaseDraining || p == PhaseStopping || p == PhaseUnresponsive
}

// Down reports whether no process of the instance is left.
func (p Phase) Down() bool { return p == PhaseAbsent || p == PhaseExited || p == PhaseFailed }

// fullService is the degradation level of an instance that is not degraded.
const fullService = "full"

// unknownInvocations is the value of Instance.Invocations after a restart of the agent until the first observation.
const unknownInvocations = -1

// Instance is the desired and the observed state of an instance. The agent stores the fields with a JSON name.
type Instance struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Spare bool   `json:"spare,omitempty"` // runs only while a rolling update with surge needs it

	// The desired state, and the latest action.

	DesiredUp      bool       `json:"up"`
	RestartPending bool       `json:"recycle,omitempty"` // it has to exit and be launched again
	CommandID      string     `json:"task,omitempty"`    // the command that it is assigned to; empty: none
	ActionCount    int        `json:"serial"`            // actions issued for it so far
	ActionID       string     `json:"step,omitempty"`    // of the latest action; empty: none yet
	LastAction     ActionKind `json:"doing,omitempty"`   // of the latest action
	ActionPending  bool       `json:"pending,omitempty"` // the latest action is not known to have been carried out

	// The current incarnation, and the launch of the next one.

	Incarnation       string          `json:"run,omitempty"`      // ID of its launch; empty: no process
	NoticeID          string          `json:"told,omitempty"`     // ID of the shutdown notice; empty: not notified
	NotifiedAt        monotime.Micros `json:"told_at,omitempty"`  // when NoticeID was issued; 0: not notified
	PhaseDeadline     monotime.Micros `json:"deadline,omitempty"` // 0: none; never 0 after a notice
	GiveUpReason      string          `json:"gave_up,omitempty"`  // why it was notified though desired up; empty: no
	LaunchesExhausted bool            `json:"spent,omitempty"`    // no further launch until a command requests one
	LaunchRequested   bool            `json:"free,omitempty"`     // the next launch is not counted by LaunchBudget
	KillAttempts      int             `json:"kills,omitempty"`    // in this incarnation
	Window            ShutdownWindow  `json:"window,omitzero"`    // that it runs with; zero: not reported yet
	LastExit          Exit            `json:"last"`               // of the previous incarnation
	LaunchBudget      LaunchBudget    `json:"budget"`             // of launches that no command requested
	Unit              Unit            `json:"unit,omitzero"`      // of a concurrency quota of the fleet
	UnitRequests      int             `json:"turns,omitempty"`    // requests for a unit so far
	Attempts          int             `json:"tries,omitempty"`    // resends of the action, or failed launches in a row
	NextAttemptAt     monotime.Micros `json:"next,omitempty"`     // earliest resend or launch

	// The observed state.

	Phase       Phase           `json:"phase"`
	PhaseSince  monotime.Micros `json:"since"`
	Cause       string          `json:"cause,omitempty"`  // of Phase
	ReadySince  monotime.Micros `json:"steady,omitempty"` // 0: not ready
	Invocations int             `json:"picked,omitempty"` // of this incarnation; unknownInvocations: not known
	Rejected    int             `json:"turned,omitempty"` // of Invocations
	Level       string          `json:"level,omitempty"`  // of degradation, as last observed; empty: not known

	// From the spec.

	group        *GroupSpec
	configWindow ShutdownWindow // of the configuration file when the spec was read
	fileOrder    int            // position among the host's instances in the file
}

// ShutdownWindow holds the times that an instance has from the shutdown notice on, by the configuration with which it
// was started. Supervisors store it with the JSON names.
type ShutdownWindow struct {
	Grace       monotime.Micros `json:"grace_us"` // a request that arrives later is rejected
	ExitTimeout monotime.Micros `json:"stop_us"`  // the instance has to have exited by then
}

// setPhase enters a phase, or updates the cause of the current one.
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

// requestLaunch requests a launch, which follows as soon as the instance is down. LaunchBudget does not count it and is
// reset.
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

// requestRelaunch requests the launch that completes a restart, without a delay.
func (inst *Instance) requestRelaunch(now monotime.Micros) {
	inst.LaunchRequested = true
	inst.NextAttemptAt = now
	inst.Attempts = 0
}

// abandonLaunch clears an incarnation whose process was never started.
func (inst *Instance) abandonLaunch() {
	inst.Incarnation = ""
	inst.ActionPending = false
	inst.PhaseDeadline = 0
}

// clearIncarnation clears the notice, the kills and the deadline of an incarnation that has ended.
func (inst *Instance) clearIncarnation() {
	inst.Incarnation = ""
	inst.NoticeID = ""
	inst.NotifiedAt = 0
	inst.GiveUpReason = ""
	inst.PhaseDeadline = 0
	inst.ActionPending = false
	inst.KillAttempts = 0
}

// clearObservations clears the observations of an incarnation that has ended.
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

// resetAfterReboot clears the incarnation, whose process a reboot of the host has ended. If the instance is desired up,
// it is launched at once.
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

// awaitObservation makes the phase of a running instance unknown after a restart of the agent. A pending action is
// sent again at once.
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

// available reports whether the instance counts towards the minimum that a rolling update keeps ready.
func (inst *Instance) available(now monotime.Micros) bool {
	return inst.DesiredUp && !inst.RestartPending && inst.NoticeID == "" && inst.Settled(now)
}

// backInService reports whether the instance serves again, or is down as desired.
func (inst *Instance) backInService(now monotime.Micros) bool {
	return inst.available(now) || !inst.DesiredUp && inst.Phase.Down()
}

// servesNormally reports whether the instance is ready, was not notified and has no restart pending.
func (inst *Instance) servesNormally() bool {
	return inst.Phase == PhaseReady && !inst.RestartPending && inst.NoticeID == ""
}

// failedForGood reports whether the instance has failed and will not be launched again without a command.
func (inst *Instance) failedForGood() bool {
	return inst.Phase == PhaseFailed && inst.LaunchesExhausted
}

// shouldNotify reports whether the instance has to exit and was not notified yet.
func (inst *Instance) shouldNotify() bool {
	return inst.NoticeID == "" && (!inst.DesiredUp || inst.RestartPending)
}

// launchPending reports whether a launch of the instance, or of a supervisor that adopts it, is not known to have been
// carried out.
func (inst *Instance) launchPending() bool {
	return inst.ActionPending && inst.LastAction == ActionLaunch
}
