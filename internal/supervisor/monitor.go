package supervisor

import (
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Time limits of a shutdown, counted from the shutdown notice unless stated otherwise.
const (
	// acknowledgeTimeout is how long an instance may take to acknowledge the signal. After that, or once it reports
	// that it received the signal late, it is also notified on its admin socket, every socketNoticeInterval.
	acknowledgeTimeout   = 250 * monotime.Millisecond
	socketNoticeInterval = 200 * monotime.Millisecond
	// lateNoticeAllowance is how long after the notice an instance may start its grace period. The instance shortens
	// the grace period that it uses by as much (limits.Bounds.NoticeDelay).
	lateNoticeAllowance = 100 * monotime.Millisecond
	// killMargin is how long before the end of its grace period an unresponsive instance is killed, because a kill
	// takes time.
	killMargin = 150 * monotime.Millisecond
	// silenceTimeout is how long after its last response an instance counts as silent.
	silenceTimeout = 1500 * monotime.Millisecond
)

// Causes of kills and phases. They are stored, and sent to agents of other releases: their texts must not change.
const (
	causeNoticeNotAcknowledged = "deaf to the notice"
	causeExitTimeout           = "not ended by its stop"
	causeUnacknowledged        = "it shows no sign of having heard the notice"
	causeSilent                = "its socket does not answer"
	causeNotReady              = "it is not ready"
	causeHealthCheckFails      = "health checks are answered with bad"
)

// Action is an action on the instance that the monitor decides and the supervisor performs.
type Action int

// The actions.
const (
	SignalShutdown Action = iota // send SIGTERM, which is the shutdown notice
	NotifySocket                 // send the notice to the admin socket, with the time since the first notice
	KillGroup                    // kill the instance's process group
)

// Observation is the outcome of one health check of the instance.
type Observation struct {
	RequestedAt monotime.Micros // when the health check was sent
	State       *admin.State    // nil: the instance did not respond
}

// Monitor decides when an incarnation of an instance is notified of its shutdown and when it is killed. It is not safe
// for concurrent use.
//
// Its invariants, with the tests that check each of them:
//   - An instance admits no request later than lateNoticeAllowance after its grace period, has exited shortly after its
//     exit timeout, and is not killed if it obeys the notice: TestShutdownWindowIsKept.
//   - Only the first notice counts: TestMonitorTraceForEachInstanceFault, TestAdoptionKeepsRecordedNotice. The signal
//     is sent once: TestShutdownIsSignalledOnce.
//   - Notices on the admin socket are at least socketNoticeInterval apart: TestSocketNoticesAreSpaced.
//   - An instance is killed as unresponsive only after a health check that was sent after the notice:
//     TestAdoptedInstanceIsCheckedBeforeKill, TestKillAwaitsCheckAfterNotice.
//   - The window that the instance reports counts, not the one that its configuration file has by now:
//     TestReportedWindowCounts, TestAdoptionKeepsWindowOfLaunch.
//   - The first cause of a kill is kept, and the kill is repeated until the exit: TestFirstKillCauseStays.
//   - An instance that has been ready does not return to the starting phase: TestOnceReadyIsNeverStarting.
//   - An instance that drains without a notice is killed at its exit timeout and not earlier:
//     TestDrainWithoutNoticeEndsAtExitTimeout, TestDrainingAfterNoticeCountsFromNotice.
type Monitor struct {
	Window     fleet.ShutdownWindow // the one that the instance reports replaces it
	NoticeID   string               // ID of the action that delivered the shutdown notice; empty: no notice
	NotifiedAt monotime.Micros      // valid with NoticeID
	// Acknowledged is set once the instance has reported that it drains within the window of the notice.
	Acknowledged bool
	KillCause    string // why the instance was killed; empty: it was not

	signalSent       bool            // SignalShutdown was returned
	socketNotifiedAt monotime.Micros // the latest notice on the admin socket; 0: none
	wasReady         bool            // the instance has been ready at least once
	lastState        *admin.State    // from the latest response; nil: none yet
	lastStateAt      monotime.Micros // when lastState was observed
	lastCheckAt      monotime.Micros // when the latest health check with an outcome was sent; 0: none yet
	drainingSince    monotime.Micros // when the instance began to drain without a notice; 0: it has not
}

// RecordNotice records a shutdown notice and reports whether it is the first one. Later notices change nothing.
func (m *Monitor) RecordNotice(now monotime.Micros, id string) bool {
	if m.NoticeID != "" {
		return false
	}
	m.NoticeID = id
	m.NotifiedAt = now
	return true
}

// RequestKill records that the instance is to be killed. The cause of the first request is kept.
func (m *Monitor) RequestKill(cause string) {
	if m.KillCause == "" {
		m.KillCause = cause
	}
}

// Observe records the outcome of a health check.
func (m *Monitor) Observe(now monotime.Micros, o Observation) {
	m.lastCheckAt = o.RequestedAt
	if o.State == nil {
		return
	}
	m.lastState = o.State
	m.lastStateAt = now
	if o.State.ExitTimeout != 0 {
		m.Window = fleet.ShutdownWindow{Grace: o.State.Grace, ExitTimeout: o.State.ExitTimeout}
	}
	m.wasReady = m.wasReady || o.State.Ready
	if o.State.Draining && m.NoticeID == "" && m.drainingSince == 0 {
		m.drainingSince = min(now, o.State.GraceEnds-m.Window.Grace)
	}
	m.Acknowledged = m.Acknowledged || m.NoticeID != "" && m.drainsInWindow()
}

// drainsInWindow reports whether the instance, by its latest response, drains within the window of the notice.
func (m *Monitor) drainsInWindow() bool {
	return m.lastState != nil && m.lastState.Draining &&
		m.lastState.GraceEnds <= m.NotifiedAt+m.Window.Grace+lateNoticeAllowance
}

// drainsLate reports whether the instance, by its latest response, drains beyond the window of the notice. It counts
// from a later time, and a notice on its socket corrects that.
func (m *Monitor) drainsLate() bool {
	return m.lastState != nil && m.lastState.Draining && !m.drainsInWindow()
}

// checkedSinceNotice reports whether a health check that was sent after the notice has an outcome. Without one, nothing
// is known of the instance's reaction, for example right after its adoption.
func (m *Monitor) checkedSinceNotice() bool { return m.lastCheckAt >= m.NotifiedAt }

// shutdownStart returns when the shutdown began, by a notice or by the instance itself, or 0 if it has not begun.
func (m *Monitor) shutdownStart() monotime.Micros {
	if m.NoticeID != "" {
		return m.NotifiedAt
	}
	return m.drainingSince
}

// NextActions returns the actions that are due, in the order in which the caller must perform them. The caller calls it
// after every observation, and at intervals that are short compared to the time limits.
func (m *Monitor) NextActions(now monotime.Micros) (actions []Action) {
	if m.KillCause != "" {
		return []Action{KillGroup} // repeated until the instance has exited
	}
	if m.NoticeID == "" && m.drainingSince == 0 {
		return nil
	}
	elapsed := now - m.shutdownStart()
	if m.NoticeID != "" && !m.signalSent {
		m.signalSent = true
		actions = append(actions, SignalShutdown)
	}
	acknowledged := m.NoticeID == "" || m.Acknowledged
	switch {
	case !acknowledged && m.checkedSinceNotice() && elapsed >= m.Window.Grace-killMargin:
		// The instance would admit requests after its grace period, whose callers may be gone. That is worse than
		// losing the requests in flight.
		m.KillCause = causeNoticeNotAcknowledged
		return append(actions, KillGroup)
	case elapsed >= m.Window.ExitTimeout:
		m.KillCause = causeExitTimeout
		return append(actions, KillGroup)
	case !acknowledged && (elapsed >= acknowledgeTimeout || m.drainsLate()) &&
		(m.socketNotifiedAt == 0 || now-m.socketNotifiedAt >= socketNoticeInterval):
		m.socketNotifiedAt = now
		actions = append(actions, NotifySocket)
	}
	return actions
}

// Phase returns the instance's phase and its cause, which is empty for phases without one.
func (m *Monitor) Phase(now monotime.Micros) (phase fleet.Phase, cause string) {
	start := m.shutdownStart()
	silent := m.lastState == nil || now-m.lastStateAt > silenceTimeout
	switch {
	case m.KillCause != "":
		return fleet.PhaseUnresponsive, m.KillCause
	case m.NoticeID != "" && !m.Acknowledged && now-start >= acknowledgeTimeout:
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
