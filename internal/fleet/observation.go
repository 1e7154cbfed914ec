package fleet

import "milletbarrow/monotime"

// handleObservation takes in an observation. Those of other incarnations say nothing.
func (m *Machine) handleObservation(now monotime.Micros, in *Instance, o Observation) {
	if in.Incarnation == "" || o.Incarnation != in.Incarnation {
		return
	}
	if o.Phase == PhaseExited {
		m.handleExit(now, in, o.Exit)
		return
	}
	m.countInvocations(now, in, o)
	m.recordLevel(now, in, o)
	if o.Phase != PhaseUnknown {
		m.acknowledgeActions(now, in, o)
	}
	before := in.Phase
	m.applyPhase(now, in, o)
	if before != in.Phase {
		m.recordEvent(now, in, string(in.Phase), o.Cause)
	}
	if in.Phase == PhaseReady && in.Attempts > 0 && now-in.ReadySince >= in.group.LaunchWindow {
		in.Attempts = 0
	}
}

// countInvocations adds what was invoked and rejected since the last observation to the machine's rate.
func (m *Machine) countInvocations(now monotime.Micros, in *Instance, o Observation) {
	if o.Phase == PhaseUnknown {
		return
	}
	if in.Invocations != unknownInvocations && o.Invocations >= in.Invocations && o.Rejected >= in.Rejected {
		m.rejections.add(now, o.Invocations-in.Invocations, o.Rejected-in.Rejected)
	}
	in.Invocations, in.Rejected = o.Invocations, o.Rejected
}

// recordLevel writes a change of the degradation level into the history, so that it outlives the instance.
func (m *Machine) recordLevel(now monotime.Micros, in *Instance, o Observation) {
	if o.Level == "" || o.Level == in.Level {
		return
	}
	if in.Level != "" || o.Level != fullService {
		m.recordEvent(now, in, "level "+o.Level, o.LevelCause)
	}
	in.Level = o.Level
	m.markInstanceChanged(in)
}

// acknowledgeActions compares the pending action with what the supervisor has taken. A supervisor that took over
// from another may not know of the notice; it gets the same one again.
func (m *Machine) acknowledgeActions(now monotime.Micros, in *Instance, o Observation) {
	if in.ActionPending && (in.LastAction == ActionLaunch || in.LastAction == ActionNotify && o.NoticeID == in.NoticeID) {
		in.ActionPending, in.Attempts = false, 0
		m.markInstanceChanged(in)
	}
	if in.NoticeID != "" && o.NoticeID != in.NoticeID && in.KillAttempts == 0 && !in.ActionPending {
		in.ActionID, in.LastAction, in.ActionPending, in.NextAttemptAt = in.NoticeID, ActionNotify, true, now
		m.markInstanceChanged(in)
	}
}

// applyPhase moves the instance into the phase observed and sets the phase's deadline.
func (m *Machine) applyPhase(now monotime.Micros, in *Instance, o Observation) {
	switch o.Phase {
	case PhaseStarting, PhaseReady, PhaseUnready:
		if in.NoticeID != "" { // the notice is on its way, or the instance has not reacted yet
			return
		}
		in.setPhase(now, o.Phase, o.Cause)
		switch {
		case o.Phase != PhaseStarting:
			in.PhaseDeadline = 0
		case in.PhaseDeadline == 0:
			in.PhaseDeadline = now + m.readinessTimeout(in)
		}
	case PhaseUnknown:
		in.setPhase(now, PhaseUnknown, o.Cause)
		if o.Orphaned && !in.launchPending() { // a new supervisor adopts it
			m.issueAction(now, in, ActionLaunch, "its keeper is gone")
		}
	default: // it leaves, whoever notified it, and has a deadline from here on
		wasLeaving := in.Phase.leaving()
		in.setPhase(now, o.Phase, o.Cause)
		if in.PhaseDeadline == 0 || in.NoticeID == "" && !wasLeaving {
			in.PhaseDeadline = now + in.shutdown.ExitTimeout + m.config.KillDelay
		}
	}
}

// clearIncarnation forgets all that belonged to the incarnation that has ended.
func (in *Instance) clearIncarnation() {
	in.Incarnation, in.NoticeID, in.NotifiedAt, in.GiveUpReason = "", "", 0, ""
	in.PhaseDeadline, in.ActionPending, in.KillAttempts = 0, false, 0
}

// handleExit closes an incarnation.
func (m *Machine) handleExit(now monotime.Micros, in *Instance, exit Exit) {
	notified, giveUpReason := in.NoticeID != "" || in.KillAttempts > 0, in.GiveUpReason
	in.LastExit = exit
	in.clearIncarnation()
	in.Invocations, in.Rejected, in.Level = 0, 0, ""
	restart := in.RestartPending
	in.RestartPending = false
	switch {
	case giveUpReason != "":
		in.setPhase(now, PhaseFailed, giveUpReason)
		in.LaunchesExhausted = true
	case notified:
		in.setPhase(now, PhaseExited, exit.String())
		if restart {
			in.LaunchRequested, in.NextAttemptAt, in.Attempts = true, now, 0
		}
	default:
		in.setPhase(now, PhaseFailed, exit.String()+", and nobody had told it to leave")
		m.delayRelaunch(now, in)
	}
	m.recordEvent(now, in, string(in.Phase), in.Cause)
	m.markInstanceChanged(in)
}

// delayRelaunch counts a launch that came to nothing and puts the next one off.
func (m *Machine) delayRelaunch(now monotime.Micros, in *Instance) {
	in.Attempts++
	in.NextAttemptAt = now + monotime.FromDuration(m.config.RelaunchBackoff.Pause(in.Attempts+1, m.random))
}
