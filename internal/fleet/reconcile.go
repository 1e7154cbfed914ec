package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// issueAction decides on an action; a new incarnation begins with each launch that adopts none.
func (m *Machine) issueAction(now monotime.Micros, in *Instance, kind ActionKind, cause string) {
	in.ActionCount++
	in.ActionID, in.LastAction = fmt.Sprintf("%s.%d", in.Name, in.ActionCount), kind
	in.ActionPending = true
	in.NextAttemptAt = now + monotime.FromDuration(m.config.ResendBackoff.Pause(2, m.random))
	switch kind {
	case ActionLaunch:
		if in.Incarnation == "" {
			in.Incarnation = in.ActionID
			in.Invocations, in.Rejected = 0, 0
			in.PhaseDeadline = now + m.readinessTimeout(in)
			in.setPhase(now, PhaseStarting, cause)
		}
	case ActionNotify:
		in.NoticeID, in.NotifiedAt = in.ActionID, now
		in.PhaseDeadline = now + in.shutdown.ExitTimeout + m.config.KillDelay
		in.setPhase(now, PhaseDraining, cause)
	case ActionKill:
		in.KillAttempts++
		in.PhaseDeadline = now + m.config.KillDelay*monotime.Micros(min(in.KillAttempts, maxKillDelayFactor))
	}
	m.markInstanceChanged(in)
	m.emitAction(in, cause)
	m.recordEvent(now, in, string(kind), cause)
}

// emitAction emits the pending action, for the first time or again.
func (m *Machine) emitAction(in *Instance, cause string) {
	m.actions = append(m.actions, Action{
		Kind: in.LastAction, ID: in.ActionID, Name: in.Name, Incarnation: in.Incarnation, NotifiedAt: in.NotifiedAt, Cause: cause,
		Adopt: in.LastAction == ActionLaunch && in.Incarnation != in.ActionID,
	})
}

// launchPending reports whether a launch of the instance, or of a supervisor that adopts it, is not known to have been taken.
func (in *Instance) launchPending() bool { return in.ActionPending && in.LastAction == ActionLaunch }

// readinessTimeout is how long the instance may take from its launch to ready: the rolling update's value where one
// restarts it, else its group's.
func (m *Machine) readinessTimeout(in *Instance) monotime.Micros {
	if c := m.commands[in.CommandID]; c != nil && c.Kind == KindRollingUpdate && c.Rollout.ReadyWithin > 0 {
		return c.Rollout.ReadyWithin
	}
	return in.group.StartWithin
}

// maxKillDelayFactor bounds the pause between two kills, as a multiple of Config.KillDelay.
const maxKillDelayFactor = 20

// reconcile takes the next action from the observed state to the desired one, if it is time for one.
func (m *Machine) reconcile(now monotime.Micros, in *Instance) {
	if in.ActionPending && now >= in.NextAttemptAt { // it was lost, or the agent died before it carried it out
		in.Attempts++
		in.NextAttemptAt = now + monotime.FromDuration(m.config.ResendBackoff.Pause(in.Attempts+2, m.random))
		m.emitAction(in, "again")
	}
	switch in.Phase {
	case PhaseAbsent, PhaseExited, PhaseFailed:
		m.reconcileDown(now, in)
		return
	case PhaseStarting, PhaseReady, PhaseUnready:
		m.reconcileRunning(now, in)
	case PhaseDraining, PhaseStopping, PhaseUnresponsive:
		if in.shouldNotify() {
			m.issueAction(now, in, ActionNotify, "asked for while it leaves by itself")
		}
	case PhaseUnknown:
		if in.shouldNotify() { // the notice does not wait until the instance can be observed
			m.issueAction(now, in, ActionNotify, "asked for while it can't be seen")
			in.setPhase(now, PhaseUnknown, in.Cause)
		}
	}
	if (in.NoticeID != "" || in.Phase.leaving()) && in.PhaseDeadline != 0 && now >= in.PhaseDeadline {
		m.issueAction(now, in, ActionKill, "not gone by the end of its window")
	}
}

// shouldNotify reports whether the instance is to leave and has not been notified.
func (in *Instance) shouldNotify() bool {
	return in.NoticeID == "" && (!in.DesiredUp || in.RestartPending)
}

// reconcileDown launches an instance that is down, if it is desired and its launch budget allows it.
func (m *Machine) reconcileDown(now monotime.Micros, in *Instance) {
	if !in.DesiredUp || in.LaunchesExhausted || now < in.NextAttemptAt || in.Incarnation != "" {
		return
	}
	in.LaunchBudget.MaxAttempts, in.LaunchBudget.Window = in.group.MaxLaunches, in.group.LaunchWindow
	if !in.LaunchRequested && !in.LaunchBudget.Take(now) {
		in.LaunchesExhausted = true
		in.setPhase(now, PhaseFailed, fmt.Sprintf("%s; launched %d times within %d s and stays down until asked for",
			in.Cause, in.LaunchBudget.MaxAttempts, in.LaunchBudget.Window/1_000_000))
		m.recordEvent(now, in, "given up", in.Cause)
		m.markInstanceChanged(in)
		return
	}
	cause := "asked for"
	if !in.LaunchRequested {
		cause = in.Cause
	}
	in.LaunchRequested = false
	m.issueAction(now, in, ActionLaunch, cause)
}

// reconcileRunning notifies an instance that is to leave, or that did not become ready in time.
func (m *Machine) reconcileRunning(now monotime.Micros, in *Instance) {
	switch {
	case in.NoticeID != "":
	case !in.DesiredUp:
		m.issueAction(now, in, ActionNotify, "asked for")
	case in.RestartPending:
		m.issueAction(now, in, ActionNotify, "to come up again")
	case in.Phase == PhaseStarting && in.PhaseDeadline != 0 && now >= in.PhaseDeadline:
		in.GiveUpReason = fmt.Sprintf("not ready within %d ms", m.readinessTimeout(in)/1000)
		m.issueAction(now, in, ActionNotify, in.GiveUpReason)
	}
}
