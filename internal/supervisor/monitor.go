package supervisor

import (
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Time limits of a shutdown, counted from its notice unless noted.
const (
	// acknowledgeTimeout is how long an instance may take to acknowledge the signal. After that it is notified on its
	// admin socket too, every socketNoticeInterval.
	acknowledgeTimeout   = 250 * monotime.Millisecond
	socketNoticeInterval = 200 * monotime.Millisecond
	// lateNoticeAllowance is by how much later than the notice an instance may begin its grace: its module shortens
	// the grace by that much (limits.Bounds.NoticeDelay).
	lateNoticeAllowance = 100 * monotime.Millisecond
	// killLead is how long before the end of its grace an unresponsive instance is killed: a kill takes time.
	killLead = 150 * monotime.Millisecond
	// silenceTimeout is how long after its last answer an instance counts as silent.
	silenceTimeout = 1500 * monotime.Millisecond
)

// Causes of kills and phases. They are stored and sent to agents of other releases.
const (
	causeNoticeNotAcknowledged = "deaf to the notice"
	causeExitTimeout           = "not ended by its stop"
	causeUnacknowledged        = "it shows no sign of having heard the notice"
	causeSilent                = "its socket does not answer"
	causeNotReady              = "it is not ready"
	causeHealthCheckFails      = "health checks are answered with bad"
)

// Action is what the monitor has the supervisor do to the instance.
type Action int

// The actions.
const (
	SignalShutdown Action = iota // give the shutdown notice by SIGTERM
	NotifySocket                 // give the notice on the admin socket, with the time since it was first given
	KillGroup                    // kill the instance's process group
)

// Observation is the outcome of one health check of the instance.
type Observation struct {
	State *admin.State // nil: the instance did not answer
}

// Monitor decides when one incarnation of an instance is notified and killed. It is not safe for concurrent use.
//
// Its invariants, each with the tests that hold it:
//   - An instance admits nothing later than lateNoticeAllowance after its grace, has exited shortly after its exit
//     timeout, and is not killed if it obeys the notice: TestShutdownWindowIsKept.
//   - Only the first notice counts: TestMonitorTrace, TestClaimKeepsTheNotice. The signal is sent once:
//     TestShutdownIsSignalledOnce.
//   - Notices on the admin socket are at least socketNoticeInterval apart: TestSocketNoticesAreSpaced.
//   - The first cause of a kill stays, and the kill is repeated until the exit: TestFirstKillCauseStays.
//   - An instance that was ready is never starting again: TestOnceReadyIsNeverStarting.
//   - An instance that drains without a notice is killed at its exit timeout and not before:
//     TestDrainWithoutNoticeEndsAtExitTimeout, TestDrainingAfterNoticeCountsFromNotice.
type Monitor struct {
	Window     fleet.ShutdownWindow
	NoticeID   string          // the action that brought the shutdown notice; empty: no notice
	NotifiedAt monotime.Micros // valid with NoticeID
	KillCause  string          // why the instance was killed; empty: it was not

	signalSent       bool            // SignalShutdown was returned
	socketNotifiedAt monotime.Micros // the latest notice on the admin socket; 0: none
	wasReady         bool            // the instance has been ready at least once
	lastState        *admin.State    // the latest answer; nil: none yet
	lastStateAt      monotime.Micros // when lastState came
	drainingSince    monotime.Micros // when it began to drain without a notice; 0: it did not
}

// RecordNotice takes a shutdown notice and reports whether it is the first one; later ones change nothing.
func (m *Monitor) RecordNotice(now monotime.Micros, id string) bool {
	if m.NoticeID != "" {
		return false
	}
	m.NoticeID = id
	m.NotifiedAt = now
	return true
}

// RequestKill records that the instance is to be killed. The first cause stays.
func (m *Monitor) RequestKill(cause string) {
	if m.KillCause == "" {
		m.KillCause = cause
	}
}

// Observe takes the outcome of a health check.
func (m *Monitor) Observe(now monotime.Micros, o Observation) {
	if o.State == nil {
		return
	}
	m.lastState = o.State
	m.lastStateAt = now
	m.wasReady = m.wasReady || o.State.Ready
	if o.State.Draining && m.NoticeID == "" && m.drainingSince == 0 {
		m.drainingSince = min(now, o.State.GraceEnds-m.Window.Grace)
	}
}

// acknowledged reports whether the instance drains, by its latest answer, within the window of the notice.
func (m *Monitor) acknowledged() bool {
	return m.lastState != nil && m.lastState.Draining &&
		m.lastState.GraceEnds <= m.NotifiedAt+m.Window.Grace+lateNoticeAllowance
}

// shutdownStart returns when the shutdown began, by notice or by the instance itself; 0: it has not.
func (m *Monitor) shutdownStart() monotime.Micros {
	if m.NoticeID != "" {
		return m.NotifiedAt
	}
	return m.drainingSince
}

// NextActions returns the actions that are due, in their order. The caller performs them, and calls it after every
// observation and at intervals that are short beside the time limits.
func (m *Monitor) NextActions(now monotime.Micros) (actions []Action) {
	if m.KillCause != "" {
		return []Action{KillGroup} // until the instance has exited
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
		// It would admit requests after its grace, whose callers may be gone. That is worse than the loss of those in
		// flight.
		m.KillCause = causeNoticeNotAcknowledged
		return append(actions, KillGroup)
	case elapsed >= m.Window.ExitTimeout:
		m.KillCause = causeExitTimeout
		return append(actions, KillGroup)
	case !acknowledged && elapsed >= acknowledgeTimeout &&
		(m.socketNotifiedAt == 0 || now-m.socketNotifiedAt >= socketNoticeInterval):
		m.socketNotifiedAt = now
		actions = append(actions, NotifySocket)
	}
	return actions
}

// Phase returns the instance's phase and its cause; empty: the phase needs none.
func (m *Monitor) Phase(now monotime.Micros) (phase fleet.Phase, cause string) {
	start := m.shutdownStart()
	silent := m.lastState == nil || now-m.lastStateAt > silenceTimeout
	switch {
	case m.KillCause != "":
		return fleet.PhaseUnresponsive, m.KillCause
	case m.NoticeID != "" && !m.acknowledged() && now-start >= acknowledgeTimeout:
		return fleet.PhaseUnresponsive, causeUnacknowledged
	case start != 0 && now-start >= m.Window.Grace:
		return fleet.PhaseStopping, ""
	case start != 0:
		return fleet.PhaseDraining, ""
	case !m.wasReady && silent:
		return fleet.PhaseStarting, causeSilent
	case !m.wasReady:
		return fleet.PhaseStarting, causeNotReady
	case silent:
		return fleet.PhaseUnready, causeSilent
	case !m.lastState.Ready:
		return fleet.PhaseUnready, causeHealthCheckFails
	}
	return fleet.PhaseReady, ""
}
