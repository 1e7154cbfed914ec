package fleet

import "milletbarrow/monotime"

// handleObservation applies an observation of the present incarnation. Observations of other incarnations are ignored.
func (m *Machine) handleObservation(now monotime.Micros, inst *Instance, observed Observation) {
	if inst.Incarnation == "" || observed.Incarnation != inst.Incarnation {
		return
	}
	if observed.Phase == PhaseExited {
		m.handleExit(now, inst, observed.Exit)
		return
	}
	m.recordShutdownTimes(inst, observed)
	m.countInvocations(now, inst, observed)
	m.recordLevel(now, inst, observed)
	if observed.Phase != PhaseUnknown {
		m.acknowledgeActions(now, inst, observed)
	}
	before := inst.Phase
	m.applyPhase(now, inst, observed)
	if before != inst.Phase {
		m.recordEvent(now, inst, string(inst.Phase), observed.Cause)
	}
	if inst.Phase == PhaseReady && inst.Attempts > 0 && now-inst.ReadySince >= inst.group.LaunchWindow {
		inst.Attempts = 0
	}
}

// recordShutdownTimes records the window that the instance runs with, and when the notice reached its supervisor.
// Both may become known only after the notice was issued, and the deadline follows them.
func (m *Machine) recordShutdownTimes(inst *Instance, observed Observation) {
	windowKnown := observed.Window != (ShutdownWindow{}) && observed.Window != inst.Window
	noticeReached := inst.NoticeID != "" && observed.NoticeID == inst.NoticeID && observed.NotifiedAt > inst.NotifiedAt
	if !windowKnown && !noticeReached {
		return
	}
	if windowKnown {
		inst.Window = observed.Window
	}
	if noticeReached {
		inst.NotifiedAt = observed.NotifiedAt
	}
	if inst.NoticeID != "" && inst.KillAttempts == 0 {
		inst.PhaseDeadline = m.exitDeadline(inst.NotifiedAt, inst)
	}
	m.markInstanceChanged(inst)
}

// countInvocations adds the invocations and rejections since the last observation to the host's rejection rate.
func (m *Machine) countInvocations(now monotime.Micros, inst *Instance, observed Observation) {
	if observed.Phase == PhaseUnknown {
		return
	}
	known := inst.Invocations != unknownInvocations
	if known && observed.Invocations >= inst.Invocations && observed.Rejected >= inst.Rejected {
		m.rejections.add(now, observed.Invocations-inst.Invocations, observed.Rejected-inst.Rejected)
	}
	inst.Invocations = observed.Invocations
	inst.Rejected = observed.Rejected
}

// recordLevel writes a change of the degradation level into the history, which outlives the instance.
func (m *Machine) recordLevel(now monotime.Micros, inst *Instance, observed Observation) {
	if observed.Level == "" || observed.Level == inst.Level {
		return
	}
	if inst.Level != "" || observed.Level != fullService {
		m.recordEvent(now, inst, eventLevelPrefix+observed.Level, observed.LevelCause)
	}
	inst.Level = observed.Level
	m.markInstanceChanged(inst)
}

// acknowledgeActions marks the pending action as carried out if the observation shows its effect. A supervisor that
// replaced another one may not know the notice; it gets the same notice again.
func (m *Machine) acknowledgeActions(now monotime.Micros, inst *Instance, observed Observation) {
	noticeTaken := inst.LastAction == ActionNotify && observed.NoticeID == inst.NoticeID
	if inst.ActionPending && (inst.LastAction == ActionLaunch || noticeTaken) {
		inst.ActionPending = false
		inst.Attempts = 0
		m.markInstanceChanged(inst)
	}
	noticeLost := inst.NoticeID != "" && observed.NoticeID != inst.NoticeID
	if noticeLost && inst.KillAttempts == 0 && !inst.ActionPending {
		inst.resendNotice(now)
		m.markInstanceChanged(inst)
	}
}

// applyPhase moves the instance into the observed phase and sets the phase's deadline.
func (m *Machine) applyPhase(now monotime.Micros, inst *Instance, observed Observation) {
	switch observed.Phase {
	case PhaseStarting, PhaseReady, PhaseUnready:
		m.applyRunning(now, inst, observed)
	case PhaseUnknown:
		inst.setPhase(now, PhaseUnknown, observed.Cause)
		if observed.Orphaned && !inst.launchPending() { // a new supervisor adopts it
			m.issueAction(now, inst, ActionLaunch, causeSupervisorGone)
		}
	default: // the instance is shutting down, whether or not this agent notified it
		wasShuttingDown := inst.Phase.shuttingDown()
		inst.setPhase(now, observed.Phase, observed.Cause)
		if inst.PhaseDeadline == 0 || inst.NoticeID == "" && !wasShuttingDown {
			inst.PhaseDeadline = m.exitDeadline(now, inst)
		}
	}
}

// applyRunning moves an instance that was not notified into a phase in which it runs.
func (m *Machine) applyRunning(now monotime.Micros, inst *Instance, observed Observation) {
	if inst.NoticeID != "" { // the notice has not arrived, or the instance has not reacted yet
		return
	}
	inst.setPhase(now, observed.Phase, observed.Cause)
	switch {
	case observed.Phase != PhaseStarting:
		inst.PhaseDeadline = 0
	case inst.PhaseDeadline == 0:
		inst.PhaseDeadline = now + m.readinessTimeout(inst)
	}
}

// handleExit ends an incarnation and decides whether the instance is launched again.
func (m *Machine) handleExit(now monotime.Micros, inst *Instance, exit Exit) {
	notified := inst.NoticeID != "" || inst.KillAttempts > 0
	giveUpReason := inst.GiveUpReason
	restart := inst.RestartPending
	inst.LastExit = exit
	inst.clearIncarnation()
	inst.clearObservations()
	inst.RestartPending = false
	switch {
	case giveUpReason != "":
		inst.setPhase(now, PhaseFailed, giveUpReason)
		inst.LaunchesExhausted = true
	case notified:
		inst.setPhase(now, PhaseExited, exit.String())
		if restart {
			inst.requestRelaunch(now)
		}
	default:
		inst.setPhase(now, PhaseFailed, exit.String()+", and nobody had told it to leave")
		m.delayRelaunch(now, inst)
	}
	m.recordEvent(now, inst, string(inst.Phase), inst.Cause)
	m.markInstanceChanged(inst)
}

// delayRelaunch counts a failed incarnation and delays the next launch by the backoff.
func (m *Machine) delayRelaunch(now monotime.Micros, inst *Instance) {
	inst.Attempts++
	pause := m.config.RelaunchBackoff.Pause(inst.Attempts+1, m.random)
	inst.NextAttemptAt = now + monotime.FromDuration(pause)
}
