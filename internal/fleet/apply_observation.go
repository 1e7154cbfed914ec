package fleet

import (
	"milletbarrow/monotime"
)

// handleObservation takes in an observation. Those of other incarnations say nothing.
func (m *Machine) handleObservation(now monotime.Micros, inst *Instance, o Observation) {
	if inst.Incarnation == "" || o.Incarnation != inst.Incarnation {
		return
	}
	if o.Phase == PhaseExited {
		m.handleExit(now, inst, o.Exit)
		return
	}
	m.countInvocations(now, inst, o)
	m.recordLevel(now, inst, o)
	if o.Phase != PhaseUnknown {
		m.acknowledgeActions(now, inst, o)
	}
	before := inst.Phase
	m.applyPhase(now, inst, o)
	if before != inst.Phase {
		m.recordEvent(now, inst, string(inst.Phase), o.Cause)
	}
	if inst.Phase == PhaseReady && inst.Attempts > 0 && now-inst.ReadySince >= inst.group.LaunchWindow {
		inst.Attempts = 0
	}
}

// countInvocations adds what was invoked and rejected since the last observation to the machine's rate.
func (m *Machine) countInvocations(now monotime.Micros, inst *Instance, o Observation) {
	if o.Phase == PhaseUnknown {
		return
	}
	if inst.Invocations != unknownInvocations && o.Invocations >= inst.Invocations && o.Rejected >= inst.Rejected {
		m.rejections.add(now, o.Invocations-inst.Invocations, o.Rejected-inst.Rejected)
	}
	inst.Invocations, inst.Rejected = o.Invocations, o.Rejected
}

// recordLevel writes a change of the degradation level into the history, so that it outlives the instance.
func (m *Machine) recordLevel(now monotime.Micros, inst *Instance, o Observation) {
	if o.Level == "" || o.Level == inst.Level {
		return
	}
	if inst.Level != "" || o.Level != fullService {
		m.recordEvent(now, inst, "level "+o.Level, o.LevelCause)
	}
	inst.Level = o.Level
	m.markInstanceChanged(inst)
}

// acknowledgeActions compares the pending action with what the supervisor has taken. A supervisor that took over
// from another may not know of the notice; it gets the same one again.
func (m *Machine) acknowledgeActions(now monotime.Micros, inst *Instance, o Observation) {
	if inst.ActionPending && (inst.LastAction == ActionLaunch || inst.LastAction == ActionNotify && o.NoticeID == inst.NoticeID) {
		inst.ActionPending, inst.Attempts = false, 0
		m.markInstanceChanged(inst)
	}
	if inst.NoticeID != "" && o.NoticeID != inst.NoticeID && inst.KillAttempts == 0 && !inst.ActionPending {
		inst.ActionID, inst.LastAction, inst.ActionPending, inst.NextAttemptAt = inst.NoticeID, ActionNotify, true, now
		m.markInstanceChanged(inst)
	}
}

// applyPhase moves the instance into the phase observed and sets the phase's deadline.
func (m *Machine) applyPhase(now monotime.Micros, inst *Instance, o Observation) {
	switch o.Phase {
	case PhaseStarting, PhaseReady, PhaseUnready:
		if inst.NoticeID != "" { // the notice is on its way, or the instance has not reacted yet
			return
		}
		inst.setPhase(now, o.Phase, o.Cause)
		switch {
		case o.Phase != PhaseStarting:
			inst.PhaseDeadline = 0
		case inst.PhaseDeadline == 0:
			inst.PhaseDeadline = now + m.readinessTimeout(inst)
		}
	case PhaseUnknown:
		inst.setPhase(now, PhaseUnknown, o.Cause)
		if o.Orphaned && !inst.launchPending() { // a new supervisor adopts it
			m.issueAction(now, inst, ActionLaunch, "its keeper is gone")
		}
	default: // it leaves, whoever notified it, and has a deadline from here on
		wasLeaving := inst.Phase.leaving()
		inst.setPhase(now, o.Phase, o.Cause)
		if inst.PhaseDeadline == 0 || inst.NoticeID == "" && !wasLeaving {
			inst.PhaseDeadline = now + inst.shutdown.ExitTimeout + m.config.KillDelay
		}
	}
}

// clearIncarnation forgets all that belonged to the incarnation that has ended.
func (inst *Instance) clearIncarnation() {
	inst.Incarnation, inst.NoticeID, inst.NotifiedAt, inst.GiveUpReason = "", "", 0, ""
	inst.PhaseDeadline, inst.ActionPending, inst.KillAttempts = 0, false, 0
}

// handleExit closes an incarnation.
func (m *Machine) handleExit(now monotime.Micros, inst *Instance, exit Exit) {
	notified, giveUpReason := inst.NoticeID != "" || inst.KillAttempts > 0, inst.GiveUpReason
	inst.LastExit = exit
	inst.clearIncarnation()
	inst.Invocations, inst.Rejected, inst.Level = 0, 0, ""
	restart := inst.RestartPending
	inst.RestartPending = false
	switch {
	case giveUpReason != "":
		inst.setPhase(now, PhaseFailed, giveUpReason)
		inst.LaunchesExhausted = true
	case notified:
		inst.setPhase(now, PhaseExited, exit.String())
		if restart {
			inst.LaunchRequested, inst.NextAttemptAt, inst.Attempts = true, now, 0
		}
	default:
		inst.setPhase(now, PhaseFailed, exit.String()+", and nobody had told it to leave")
		m.delayRelaunch(now, inst)
	}
	m.recordEvent(now, inst, string(inst.Phase), inst.Cause)
	m.markInstanceChanged(inst)
}

// delayRelaunch counts a launch that came to nothing and puts the next one off.
func (m *Machine) delayRelaunch(now monotime.Micros, inst *Instance) {
	inst.Attempts++
	inst.NextAttemptAt = now + monotime.FromDuration(m.config.RelaunchBackoff.Pause(inst.Attempts+1, m.random))
}
