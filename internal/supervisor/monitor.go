// Package supervisor is the small process beside each instance that outlives the agent: it starts the instance,
// passes the shutdown notice on, enforces the shutdown window, and records how the instance ended. What it decides
// stands in Monitor, which does no I/O and holds no clock.
package supervisor

import (
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Time limits of a shutdown, counted from its notice unless noted.
const (
	// acknowledgeTimeout is how long an instance may take to show that it has the signal; from then on it is
	// notified on its admin socket as well, every socketNoticeInterval.
	acknowledgeTimeout   monotime.Micros = 250_000
	socketNoticeInterval monotime.Micros = 200_000
	// lateNoticeAllowance is by how much later than the notice an instance may begin its grace: its module shortens
	// the grace by that much (limits.Bounds.NoticeDelay).
	lateNoticeAllowance monotime.Micros = 100_000
	// killLead is how long before the end of its grace an unresponsive instance is killed: a kill takes time.
	killLead monotime.Micros = 150_000
	// stopMargin is how long after its stop an instance that has the notice is killed; it should end by itself before.
	stopMargin monotime.Micros = 0
	// silenceTimeout is how long after its last answer an instance counts as silent.
	silenceTimeout monotime.Micros = 1_500_000
)

// Action is what the monitor wants done to the instance.
type Action int

// The actions.
const (
	SignalShutdown Action = iota // give the notice by SIGTERM
	NotifySocket                 // give the notice on the admin socket, with how long ago it was first given
	KillGroup                    // kill the instance and all of its process group
)

// Observation is the outcome of one health check of the instance; State is nil if it did not answer.
type Observation struct{ State *admin.State }

// Monitor decides about one incarnation of one instance. It is not safe for concurrent use.
type Monitor struct {
	Window     fleet.ShutdownWindow
	NoticeID   string // the step whose shutdown notice was taken; empty: none
	NotifiedAt monotime.Micros
	KillCause  string // why the instance was killed; empty: it was not

	socketNotifiedAt monotime.Micros // the latest notice on the admin socket; 0: none
	signalSent       bool
	answered         bool // the instance has answered at least once
	wasReady         bool
	lastState        *admin.State
	lastStateAt      monotime.Micros
	drainingSince    monotime.Micros // it drains without a notice from here, since then; 0: it does not
}

// RecordNotice takes the shutdown notice of a step and reports whether it is the first: one notice an incarnation counts.
func (m *Monitor) RecordNotice(now monotime.Micros, step string) bool {
	if m.NoticeID != "" {
		return false
	}
	m.NoticeID, m.NotifiedAt = step, now
	return true
}

// RequestKill takes a kill that was asked for. The first cause stays.
func (m *Monitor) RequestKill(cause string) []Action {
	if m.KillCause == "" {
		m.KillCause = cause
	}
	return []Action{KillGroup}
}

// Observe takes in the outcome of a health check.
func (m *Monitor) Observe(now monotime.Micros, o Observation) {
	if o.State == nil {
		return
	}
	m.answered, m.lastState, m.lastStateAt = true, o.State, now
	m.wasReady = m.wasReady || o.State.Ready
	if o.State.Draining && m.NoticeID == "" && m.drainingSince == 0 {
		m.drainingSince = min(now, o.State.GraceEnds-m.Window.Grace)
	}
}

// acknowledged reports whether the instance has said that it drains within the window of the notice.
func (m *Monitor) acknowledged() bool {
	return m.lastState != nil && m.lastState.Draining &&
		m.lastState.GraceEnds <= m.NotifiedAt+m.Window.Grace+lateNoticeAllowance
}

// shutdownStart is when the shutdown began, by notice or by the instance itself; 0: it has not.
func (m *Monitor) shutdownStart() monotime.Micros {
	if m.NoticeID != "" {
		return m.NotifiedAt
	}
	return m.drainingSince
}

// NextActions returns what is to be done now. It is called after every observation, and as often as the time limits
// need.
func (m *Monitor) NextActions(now monotime.Micros) (actions []Action) {
	if m.KillCause != "" {
		return []Action{KillGroup} // again, until it is gone
	}
	if m.NoticeID == "" && m.drainingSince == 0 {
		return nil
	}
	elapsed := now - m.shutdownStart()
	if m.NoticeID != "" && !m.signalSent {
		m.signalSent = true
		actions = append(actions, SignalShutdown)
	}
	acknowledged := m.NoticeID == "" || m.acknowledged()
	switch {
	case !acknowledged && elapsed >= m.Window.Grace-killLead:
		// It would admit work after its grace. What it has in flight is lost with it; work that runs when nobody may
		// wait for it any more is worse.
		m.KillCause = "deaf to the notice"
		return append(actions, KillGroup)
	case elapsed >= m.Window.ExitTimeout+stopMargin:
		m.KillCause = "not ended by its stop"
		return append(actions, KillGroup)
	case !acknowledged && elapsed >= acknowledgeTimeout &&
		(m.socketNotifiedAt == 0 || now-m.socketNotifiedAt >= socketNoticeInterval):
		m.socketNotifiedAt = now
		actions = append(actions, NotifySocket)
	}
	return actions
}

// Phase returns the instance's phase, with the cause where the phase alone does not say it.
func (m *Monitor) Phase(now monotime.Micros) (fleet.Phase, string) {
	start := m.shutdownStart()
	silent := !m.answered || now-m.lastStateAt > silenceTimeout
	switch {
	case m.KillCause != "":
		return fleet.PhaseUnresponsive, m.KillCause
	case m.NoticeID != "" && !m.acknowledged() && now-start >= acknowledgeTimeout:
		return fleet.PhaseUnresponsive, "it shows no sign of having heard the notice"
	case start != 0 && now-start >= m.Window.Grace:
		return fleet.PhaseStopping, ""
	case start != 0:
		return fleet.PhaseDraining, ""
	case !m.wasReady && silent:
		return fleet.PhaseStarting, "its socket does not answer"
	case !m.wasReady:
		return fleet.PhaseStarting, "it is not ready"
	case silent:
		return fleet.PhaseUnready, "its socket does not answer"
	case !m.lastState.Ready:
		return fleet.PhaseUnready, "health checks are answered with bad"
	}
	return fleet.PhaseReady, ""
}
