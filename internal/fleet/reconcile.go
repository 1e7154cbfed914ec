package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// maxKillDelayFactor bounds the pause between two kills, as a multiple of Config.KillDelay.
const maxKillDelayFactor = 20

// reconcile issues the next action that brings the observed state to the desired one, if one is due.
func (m *Machine) reconcile(now monotime.Micros, inst *Instance) {
	if inst.ActionPending && now >= inst.NextAttemptAt { // it was lost, or the agent crashed before carrying it out
		m.resendAction(now, inst)
	}
	switch inst.Phase {
	case PhaseAbsent, PhaseExited, PhaseFailed:
		m.reconcileDown(now, inst)
		return
	case PhaseStarting, PhaseReady, PhaseUnready:
		m.reconcileRunning(now, inst)
	case PhaseDraining, PhaseStopping, PhaseUnresponsive:
		if inst.shouldNotify() {
			m.issueAction(now, inst, ActionNotify, causeRequestedWhileExiting)
		}
	case PhaseUnknown:
		if inst.shouldNotify() { // the notice must not wait until the instance can be observed again
			m.issueAction(now, inst, ActionNotify, causeRequestedUnobserved)
			inst.setPhase(now, PhaseUnknown, inst.Cause)
		}
	}
	shuttingDown := inst.NoticeID != "" || inst.Phase.shuttingDown()
	if shuttingDown && inst.PhaseDeadline != 0 && now >= inst.PhaseDeadline {
		m.issueAction(now, inst, ActionKill, causeKillDeadline)
	}
}

// reconcileDown launches an instance that is down, if it is desired up and its launch budget allows it.
func (m *Machine) reconcileDown(now monotime.Micros, inst *Instance) {
	if !inst.DesiredUp || inst.LaunchesExhausted || now < inst.NextAttemptAt || inst.Incarnation != "" {
		return
	}
	budget := &inst.LaunchBudget
	budget.MaxAttempts = inst.group.MaxLaunches
	budget.Window = inst.group.LaunchWindow
	if !inst.LaunchRequested && !budget.Take(now) {
		m.giveUp(now, inst)
		return
	}
	cause := causeRequested
	if !inst.LaunchRequested {
		cause = inst.Cause
	}
	inst.LaunchRequested = false
	m.issueAction(now, inst, ActionLaunch, cause)
}

// giveUp stops the launches of an instance until a command requests one.
func (m *Machine) giveUp(now monotime.Micros, inst *Instance) {
	inst.LaunchesExhausted = true
	inst.setPhase(now, PhaseFailed, fmt.Sprintf("%s; launched %d times within %d s and stays down until asked for",
		inst.Cause, inst.LaunchBudget.MaxAttempts, inst.LaunchBudget.Window/monotime.Second))
	m.recordEvent(now, inst, eventGivenUp, inst.Cause)
	m.markInstanceChanged(inst)
}

// reconcileRunning notifies an instance that has to exit, or that did not become ready in time.
func (m *Machine) reconcileRunning(now monotime.Micros, inst *Instance) {
	switch {
	case inst.NoticeID != "":
	case !inst.DesiredUp:
		m.issueAction(now, inst, ActionNotify, causeRequested)
	case inst.RestartPending:
		m.issueAction(now, inst, ActionNotify, causeRestart)
	case inst.Phase == PhaseStarting && inst.PhaseDeadline != 0 && now >= inst.PhaseDeadline:
		inst.GiveUpReason = fmt.Sprintf("not ready within %d ms", m.readinessTimeout(inst)/monotime.Millisecond)
		m.issueAction(now, inst, ActionNotify, inst.GiveUpReason)
	}
}

// issueAction issues a new action. A launch begins a new incarnation unless it adopts the running one.
func (m *Machine) issueAction(now monotime.Micros, inst *Instance, kind ActionKind, cause string) {
	inst.ActionCount++
	inst.ActionID = fmt.Sprintf("%s.%d", inst.Name, inst.ActionCount)
	inst.LastAction = kind
	inst.ActionPending = true
	inst.NextAttemptAt = now + m.resendPause(0)
	switch kind {
	case ActionLaunch:
		if inst.Incarnation == "" {
			m.beginIncarnation(now, inst, cause)
		}
	case ActionNotify:
		inst.NoticeID = inst.ActionID
		inst.NotifiedAt = now
		inst.PhaseDeadline = m.exitDeadline(now, inst)
		inst.setPhase(now, PhaseDraining, cause)
	case ActionKill:
		inst.KillAttempts++
		inst.PhaseDeadline = now + m.config.KillDelay*monotime.Micros(min(inst.KillAttempts, maxKillDelayFactor))
	case ActionAcquireUnit, ActionReleaseUnit: // issued by requestUnit and releaseUnit instead
	}
	m.markInstanceChanged(inst)
	m.emitAction(inst, cause)
	m.recordEvent(now, inst, string(kind), cause)
}

// beginIncarnation begins an incarnation, which takes the ID of the action that launches it.
func (m *Machine) beginIncarnation(now monotime.Micros, inst *Instance, cause string) {
	inst.Incarnation = inst.ActionID
	inst.Invocations = 0
	inst.Rejected = 0
	inst.Window = ShutdownWindow{}
	inst.PhaseDeadline = now + m.readinessTimeout(inst)
	inst.setPhase(now, PhaseStarting, cause)
}

// resendAction emits the pending action again and schedules the next attempt.
func (m *Machine) resendAction(now monotime.Micros, inst *Instance) {
	inst.Attempts++
	inst.NextAttemptAt = now + m.resendPause(inst.Attempts)
	m.emitAction(inst, causeResent)
}

// resendPause returns the pause before the next attempt at an action that was sent again resends times.
func (m *Machine) resendPause(resends int) monotime.Micros {
	const firstRetry = 2 // the backoff counts the first attempt as 1
	return monotime.FromDuration(m.config.ResendBackoff.Pause(firstRetry+resends, m.random))
}

// emitAction emits the pending action, for the first time or again.
func (m *Machine) emitAction(inst *Instance, cause string) {
	m.actions = append(m.actions, Action{
		Kind:        inst.LastAction,
		ID:          inst.ActionID,
		Name:        inst.Name,
		Incarnation: inst.Incarnation,
		Adopt:       inst.LastAction == ActionLaunch && inst.Incarnation != inst.ActionID,
		NotifiedAt:  inst.NotifiedAt,
		Cause:       cause,
	})
}

// exitDeadline returns the time at which the agent kills an instance that was notified at notifiedAt. The window that
// the instance runs with counts; the configuration file may have another one, for the next incarnation.
func (m *Machine) exitDeadline(notifiedAt monotime.Micros, inst *Instance) monotime.Micros {
	window := inst.Window
	if window == (ShutdownWindow{}) {
		window = inst.configWindow
	}
	return notifiedAt + window.ExitTimeout + m.config.KillDelay
}

// readinessTimeout returns how long the instance may take from its launch until it is ready: the value of the rolling
// update that restarts it, if there is one, else its group's.
func (m *Machine) readinessTimeout(inst *Instance) monotime.Micros {
	command := m.commands[inst.CommandID]
	if command != nil && command.Kind == KindRollingUpdate && command.Rollout.ReadyWithin > 0 {
		return command.Rollout.ReadyWithin
	}
	return inst.group.StartWithin
}
