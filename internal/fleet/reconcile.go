package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// issueAction decides on an action; a new incarnation begins with each launch that adopts none.
func (m *Machine) issueAction(now monotime.Micros, inst *Instance, kind ActionKind, cause string) {
	inst.ActionCount++
	inst.ActionID, inst.LastAction = fmt.Sprintf("%s.%d", inst.Name, inst.ActionCount), kind
	inst.ActionPending = true
	inst.NextAttemptAt = now + monotime.FromDuration(m.config.ResendBackoff.Pause(2, m.random))
	switch kind {
	case ActionLaunch:
		if inst.Incarnation == "" {
			inst.Incarnation = inst.ActionID
			inst.Invocations, inst.Rejected = 0, 0
			inst.PhaseDeadline = now + m.readinessTimeout(inst)
			inst.setPhase(now, PhaseStarting, cause)
		}
	case ActionNotify:
		inst.NoticeID, inst.NotifiedAt = inst.ActionID, now
		inst.PhaseDeadline = now + inst.shutdown.ExitTimeout + m.config.KillDelay
		inst.setPhase(now, PhaseDraining, cause)
	case ActionKill:
		inst.KillAttempts++
		inst.PhaseDeadline = now + m.config.KillDelay*monotime.Micros(min(inst.KillAttempts, maxKillDelayFactor))
	}
	m.markInstanceChanged(inst)
	m.emitAction(inst, cause)
	m.recordEvent(now, inst, string(kind), cause)
}

// emitAction emits the pending action, for the first time or again.
func (m *Machine) emitAction(inst *Instance, cause string) {
	m.actions = append(m.actions, Action{
		Kind: inst.LastAction, ID: inst.ActionID, Name: inst.Name, Incarnation: inst.Incarnation, NotifiedAt: inst.NotifiedAt, Cause: cause,
		Adopt: inst.LastAction == ActionLaunch && inst.Incarnation != inst.ActionID,
	})
}

// launchPending reports whether a launch of the instance, or of a supervisor that adopts it, is not known to have been taken.
func (inst *Instance) launchPending() bool {
	return inst.ActionPending && inst.LastAction == ActionLaunch
}

// readinessTimeout is how long the instance may take from its launch to ready: the rolling update's value where one
// restarts it, else its group's.
func (m *Machine) readinessTimeout(inst *Instance) monotime.Micros {
	if command := m.commands[inst.CommandID]; command != nil && command.Kind == KindRollingUpdate && command.Rollout.ReadyWithin > 0 {
		return command.Rollout.ReadyWithin
	}
	return inst.group.StartWithin
}

// maxKillDelayFactor bounds the pause between two kills, as a multiple of Config.KillDelay.
const maxKillDelayFactor = 20

// reconcile takes the next action from the observed state to the desired one, if it is time for one.
func (m *Machine) reconcile(now monotime.Micros, inst *Instance) {
	if inst.ActionPending && now >= inst.NextAttemptAt { // it was lost, or the agent died before it carried it out
		inst.Attempts++
		inst.NextAttemptAt = now + monotime.FromDuration(m.config.ResendBackoff.Pause(inst.Attempts+2, m.random))
		m.emitAction(inst, "again")
	}
	switch inst.Phase {
	case PhaseAbsent, PhaseExited, PhaseFailed:
		m.reconcileDown(now, inst)
		return
	case PhaseStarting, PhaseReady, PhaseUnready:
		m.reconcileRunning(now, inst)
	case PhaseDraining, PhaseStopping, PhaseUnresponsive:
		if inst.shouldNotify() {
			m.issueAction(now, inst, ActionNotify, "asked for while it leaves by itself")
		}
	case PhaseUnknown:
		if inst.shouldNotify() { // the notice does not wait until the instance can be observed
			m.issueAction(now, inst, ActionNotify, "asked for while it can't be seen")
			inst.setPhase(now, PhaseUnknown, inst.Cause)
		}
	}
	if (inst.NoticeID != "" || inst.Phase.leaving()) && inst.PhaseDeadline != 0 && now >= inst.PhaseDeadline {
		m.issueAction(now, inst, ActionKill, "not gone by the end of its window")
	}
}

// shouldNotify reports whether the instance is to leave and has not been notified.
func (inst *Instance) shouldNotify() bool {
	return inst.NoticeID == "" && (!inst.DesiredUp || inst.RestartPending)
}

// reconcileDown launches an instance that is down, if it is desired and its launch budget allows it.
func (m *Machine) reconcileDown(now monotime.Micros, inst *Instance) {
	if !inst.DesiredUp || inst.LaunchesExhausted || now < inst.NextAttemptAt || inst.Incarnation != "" {
		return
	}
	inst.LaunchBudget.MaxAttempts, inst.LaunchBudget.Window = inst.group.MaxLaunches, inst.group.LaunchWindow
	if !inst.LaunchRequested && !inst.LaunchBudget.Take(now) {
		inst.LaunchesExhausted = true
		inst.setPhase(now, PhaseFailed, fmt.Sprintf("%s; launched %d times within %d s and stays down until asked for",
			inst.Cause, inst.LaunchBudget.MaxAttempts, inst.LaunchBudget.Window/1_000_000))
		m.recordEvent(now, inst, "given up", inst.Cause)
		m.markInstanceChanged(inst)
		return
	}
	cause := "asked for"
	if !inst.LaunchRequested {
		cause = inst.Cause
	}
	inst.LaunchRequested = false
	m.issueAction(now, inst, ActionLaunch, cause)
}

// reconcileRunning notifies an instance that is to leave, or that did not become ready in time.
func (m *Machine) reconcileRunning(now monotime.Micros, inst *Instance) {
	switch {
	case inst.NoticeID != "":
	case !inst.DesiredUp:
		m.issueAction(now, inst, ActionNotify, "asked for")
	case inst.RestartPending:
		m.issueAction(now, inst, ActionNotify, "to come up again")
	case inst.Phase == PhaseStarting && inst.PhaseDeadline != 0 && now >= inst.PhaseDeadline:
		inst.GiveUpReason = fmt.Sprintf("not ready within %d ms", m.readinessTimeout(inst)/1000)
		m.issueAction(now, inst, ActionNotify, inst.GiveUpReason)
	}
}
