package supervisor

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// TestFirstKillCauseStays checks that the cause of the first of two kill requests is kept, and that the kill is
// repeated until the exit.
func TestFirstKillCauseStays(t *testing.T) {
	m := &Monitor{Window: testWindow}
	m.RequestKill("first cause")
	m.RequestKill("second cause")
	if m.KillCause != "first cause" {
		t.Errorf("cause %q, want the first one", m.KillCause)
	}
	for now := monotime.Micros(0); now < second; now += 100 * millisecond {
		if actions := m.NextActions(now); !slices.Equal(actions, []Action{KillGroup}) {
			t.Fatalf("at %d: %v, want a repeated kill", now, actions)
		}
	}
}

// TestOnceReadyIsNeverStarting checks that an instance that is no longer ready is unready, not starting.
func TestOnceReadyIsNeverStarting(t *testing.T) {
	m := &Monitor{Window: testWindow}
	m.Observe(second, ready())
	m.Observe(2*second, Observation{State: &admin.State{}})
	if phase, _ := m.Phase(2 * second); phase != fleet.PhaseUnready {
		t.Errorf("phase %s, want %s", phase, fleet.PhaseUnready)
	}
}

// TestUnreadyAfterSilenceTimeout checks that an instance is unready later than silenceTimeout after its last response,
// and not earlier.
func TestUnreadyAfterSilenceTimeout(t *testing.T) {
	m := &Monitor{Window: testWindow}
	m.Observe(second, ready())
	for _, test := range []struct {
		name  string
		after monotime.Micros
		want  fleet.Phase
	}{
		{"at the timeout", silenceTimeout, fleet.PhaseReady},
		{"after the timeout", silenceTimeout + 1, fleet.PhaseUnready},
	} {
		m.Observe(second+test.after, Observation{}) // no response
		if phase, _ := m.Phase(second + test.after); phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// TestUnresponsiveAfterAcknowledgeTimeout checks that an instance that does not acknowledge a notice is
// unresponsive from acknowledgeTimeout on and not earlier.
func TestUnresponsiveAfterAcknowledgeTimeout(t *testing.T) {
	m := &Monitor{Window: testWindow}
	m.Observe(second, ready())
	m.RecordNotice(second, "s1")
	if phase, _ := m.Phase(second + acknowledgeTimeout - 1); phase != fleet.PhaseDraining {
		t.Errorf("before the timeout: %s, want %s", phase, fleet.PhaseDraining)
	}
	if phase, _ := m.Phase(second + acknowledgeTimeout); phase != fleet.PhaseUnresponsive {
		t.Errorf("at the timeout: %s, want %s", phase, fleet.PhaseUnresponsive)
	}
}

// TestShutdownIsSignalledOnce checks that the signal is sent once, however often the monitor is called.
func TestShutdownIsSignalledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Monitor{Window: testWindow}
		m.RecordNotice(second, "s1")
		signals := 0
		nextStep := func() monotime.Micros { return monotime.Micros(rapid.IntRange(1000, 200_000).Draw(t, "step")) }
		for now := second; now < second+testWindow.ExitTimeout; now += nextStep() {
			if rapid.Bool().Draw(t, "answers") {
				m.Observe(now, draining(second+testWindow.Grace))
			}
			for _, a := range m.NextActions(now) {
				if a == SignalShutdown {
					signals++
				}
			}
		}
		if signals != 1 {
			t.Fatalf("%d signals, want 1", signals)
		}
	})
}

// TestSocketNoticesAreSpaced checks that notices on the admin socket start at acknowledgeTimeout, are at least
// socketNoticeInterval apart, and are repeated.
func TestSocketNoticesAreSpaced(t *testing.T) {
	const step = 10 * millisecond
	m := &Monitor{Window: testWindow}
	m.RecordNotice(second, "s1")
	var notices []monotime.Micros
	for now := second; now < second+testWindow.Grace-killMargin; now += step {
		if slices.Contains(m.NextActions(now), NotifySocket) {
			notices = append(notices, now)
		}
	}
	for i := 1; i < len(notices); i++ {
		if apart := notices[i] - notices[i-1]; apart < socketNoticeInterval || apart > socketNoticeInterval+step {
			t.Errorf("notices %d us apart, want %d", apart, socketNoticeInterval)
		}
	}
	if len(notices) < 2 || notices[0] != second+acknowledgeTimeout {
		t.Errorf("notices at %v, want the first at %d", notices, second+acknowledgeTimeout)
	}
}

// TestLateDrainIsCorrectedAtOnce guards against the kill of an instance that received the signal late and has a short
// grace period: the notice on its socket, which corrects it, was sent only after the time of the kill.
func TestLateDrainIsCorrectedAtOnce(t *testing.T) {
	const reported = second + lateNoticeAllowance + 20*millisecond
	short := fleet.ShutdownWindow{Grace: 300 * millisecond, ExitTimeout: 600 * millisecond}
	m := &Monitor{Window: short}
	m.RecordNotice(second, "s1")
	m.NextActions(second)
	m.Observe(reported, Observation{RequestedAt: reported, State: draining(reported + short.Grace).State})
	if actions := m.NextActions(reported); !slices.Equal(actions, []Action{NotifySocket}) {
		t.Fatalf("%v, want a notice on the socket", actions)
	}
	corrected := reported + 10*millisecond
	m.Observe(corrected, Observation{RequestedAt: corrected, State: draining(second + short.Grace).State})
	for now := corrected; now < second+short.ExitTimeout; now += 10 * millisecond {
		if actions := m.NextActions(now); len(actions) > 0 {
			t.Fatalf("%d us after the notice: %v, want no action", now-second, actions)
		}
	}
}

// TestDrainWithoutNoticeEndsAtExitTimeout checks that an instance that drains without a notice is killed at its exit
// timeout and not earlier. The timeout counts from the start of the grace period as the instance first reported it.
func TestDrainWithoutNoticeEndsAtExitTimeout(t *testing.T) {
	const (
		start    = 10 * second
		observed = start + 600*millisecond
	)
	m := &Monitor{Window: testWindow}
	m.Observe(9*second, ready())
	m.Observe(observed, draining(start+testWindow.Grace))
	if phase, _ := m.Phase(start + testWindow.Grace - 1); phase != fleet.PhaseDraining {
		t.Errorf("within its grace period: %s, want %s", phase, fleet.PhaseDraining)
	}
	if phase, _ := m.Phase(start + testWindow.Grace); phase != fleet.PhaseStopping {
		t.Errorf("after its grace period: %s, want %s", phase, fleet.PhaseStopping)
	}
	for now := observed; now < start+testWindow.ExitTimeout; now += 50 * millisecond {
		m.Observe(now, draining(start+testWindow.Grace+second)) // a later report does not move the start
		if actions := m.NextActions(now); len(actions) > 0 {
			t.Fatalf("%d us after the start of its grace period: %v, want no action", now-start, actions)
		}
	}
	if actions := m.NextActions(start + testWindow.ExitTimeout); !slices.Equal(actions, []Action{KillGroup}) {
		t.Errorf("at its exit timeout: %v, want a kill", actions)
	}
}

// TestDrainingAfterNoticeCountsFromNotice checks that after a notice the shutdown window counts from the notice,
// whatever the instance reports.
func TestDrainingAfterNoticeCountsFromNotice(t *testing.T) {
	m := &Monitor{Window: testWindow}
	m.RecordNotice(second, "s1")
	m.NextActions(second)
	m.Observe(second+50*millisecond, draining(second+testWindow.Grace))
	if m.drainingSince != 0 {
		t.Errorf("counts as draining without a notice since %d", m.drainingSince)
	}
	if phase, _ := m.Phase(second + testWindow.Grace); phase != fleet.PhaseStopping {
		t.Errorf("phase %s, want %s", phase, fleet.PhaseStopping)
	}
}

// TestReportedWindowCounts guards against the kill of an instance that obeys its notice and was started with a longer
// window than the supervisor was given.
func TestReportedWindowCounts(t *testing.T) {
	reported := fleet.ShutdownWindow{Grace: testWindow.Grace + second, ExitTimeout: testWindow.ExitTimeout + second}
	m := &Monitor{Window: testWindow}
	m.Observe(second, Observation{State: &admin.State{
		Ready: true, Grace: reported.Grace, ExitTimeout: reported.ExitTimeout,
	}})
	m.RecordNotice(second, "s1")
	m.NextActions(second)
	for now := second + 50*millisecond; now < second+reported.ExitTimeout; now += 50 * millisecond {
		m.Observe(now, draining(second+reported.Grace))
		if actions := m.NextActions(now); len(actions) > 0 {
			t.Fatalf("%d us after the notice: %v, want no action", now-second, actions)
		}
	}
	if actions := m.NextActions(second + reported.ExitTimeout); !slices.Equal(actions, []Action{KillGroup}) {
		t.Errorf("at its exit timeout: %v, want a kill", actions)
	}
}

// TestAdoptedInstanceIsCheckedBeforeKill guards against the kill of an adopted instance that obeys its notice: at the
// supervisor's first step, when most of the grace period was over, it had no response of the instance yet.
func TestAdoptedInstanceIsCheckedBeforeKill(t *testing.T) {
	const notifiedAt, adoptedAt = second, 4 * second
	for _, test := range []struct {
		name    string
		outcome Observation
		killed  bool
	}{
		{"drains", Observation{RequestedAt: adoptedAt, State: draining(notifiedAt + testWindow.Grace).State}, false},
		{"serves", Observation{RequestedAt: adoptedAt, State: ready().State}, true},
		{"does not respond", Observation{RequestedAt: adoptedAt}, true},
	} {
		window := fleet.ShutdownWindow{Grace: testWindow.Grace, ExitTimeout: 10 * second}
		m := &Monitor{Window: window, NoticeID: "s1", NotifiedAt: notifiedAt}
		if actions := m.NextActions(adoptedAt); slices.Contains(actions, KillGroup) {
			t.Errorf("%s: killed before the first health check", test.name)
		}
		m.Observe(adoptedAt+50*millisecond, test.outcome)
		actions := m.NextActions(adoptedAt + 50*millisecond)
		if killed := slices.Contains(actions, KillGroup); killed != test.killed {
			t.Errorf("%s: killed %t after the first health check, want %t", test.name, killed, test.killed)
		}
	}
}

// TestKillAwaitsCheckAfterNotice checks that the outcome of a health check that was sent before the notice is no ground
// for a kill, however late it comes.
func TestKillAwaitsCheckAfterNotice(t *testing.T) {
	const notifiedAt = second
	killAt := notifiedAt + testWindow.Grace - killMargin
	m := &Monitor{Window: testWindow}
	m.RecordNotice(notifiedAt, "s1")
	m.Observe(killAt, Observation{RequestedAt: notifiedAt - 1, State: ready().State})
	if actions := m.NextActions(killAt); slices.Contains(actions, KillGroup) {
		t.Error("killed by a response to a health check before the notice")
	}
	m.Observe(killAt+1, Observation{RequestedAt: notifiedAt, State: ready().State})
	if actions := m.NextActions(killAt + 1); !slices.Contains(actions, KillGroup) {
		t.Errorf("%v after the response to a health check since the notice, want a kill", actions)
	}
}
