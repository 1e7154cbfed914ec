package supervisor

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// TestFirstKillCauseStays holds that of two requests to kill the first one's cause stays, and that the kill is repeated
// until the exit.
func TestFirstKillCauseStays(t *testing.T) {
	m := &Monitor{Window: usual}
	m.RequestKill("first cause")
	m.RequestKill("second cause")
	if m.KillCause != "first cause" {
		t.Errorf("cause %q, want the first one", m.KillCause)
	}
	for now := monotime.Micros(0); now < second; now += 100 * millisecond {
		if actions := m.NextActions(now); !slices.Equal(actions, []Action{KillGroup}) {
			t.Fatalf("at %d: %v, want the kill again", now, actions)
		}
	}
}

// TestOnceReadyIsNeverStarting holds that an instance that was ready is unready afterwards, not starting.
func TestOnceReadyIsNeverStarting(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	m.Observe(2*second, Observation{State: &admin.State{}})
	if phase, _ := m.Phase(2 * second); phase != fleet.PhaseUnready {
		t.Errorf("phase %s, want %s", phase, fleet.PhaseUnready)
	}
}

// TestUnreadyAfterSilenceTimeout holds that an instance is silent later than silenceTimeout after its last answer, and
// not before.
func TestUnreadyAfterSilenceTimeout(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	for _, test := range []struct {
		name  string
		after monotime.Micros
		want  fleet.Phase
	}{
		{"at the timeout", silenceTimeout, fleet.PhaseReady},
		{"later", silenceTimeout + 1, fleet.PhaseUnready},
	} {
		m.Observe(second+test.after, Observation{}) // no answer
		if phase, _ := m.Phase(second + test.after); phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// TestUnresponsiveAfterAcknowledgeTimeout holds that an instance that does not acknowledge a notice is unresponsive
// after acknowledgeTimeout and not before.
func TestUnresponsiveAfterAcknowledgeTimeout(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	m.RecordNotice(second, "s1")
	if phase, _ := m.Phase(second + acknowledgeTimeout - 1); phase != fleet.PhaseDraining {
		t.Errorf("before the timeout: %s, want %s", phase, fleet.PhaseDraining)
	}
	if phase, _ := m.Phase(second + acknowledgeTimeout); phase != fleet.PhaseUnresponsive {
		t.Errorf("at the timeout: %s, want %s", phase, fleet.PhaseUnresponsive)
	}
}

// TestShutdownIsSignalledOnce holds that the signal is sent once, however often the monitor is asked for actions.
func TestShutdownIsSignalledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Monitor{Window: usual}
		m.RecordNotice(second, "s1")
		signals := 0
		nextStep := func() monotime.Micros { return monotime.Micros(rapid.IntRange(1000, 200_000).Draw(t, "step")) }
		for now := second; now < second+usual.ExitTimeout; now += nextStep() {
			if rapid.Bool().Draw(t, "answers") {
				m.Observe(now, draining(second+usual.Grace))
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

// TestSocketNoticesAreSpaced holds that notices on the admin socket begin at acknowledgeTimeout, are at least
// socketNoticeInterval apart, and go on.
func TestSocketNoticesAreSpaced(t *testing.T) {
	const step = 10 * millisecond
	m := &Monitor{Window: usual}
	m.RecordNotice(second, "s1")
	var notices []monotime.Micros
	for now := second; now < second+usual.Grace-killLead; now += step {
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

// TestDrainWithoutNoticeEndsAtExitTimeout holds that an instance that drains without a notice is left alone until its
// exit timeout, counted from the start of its grace as it first reported it, and is killed then.
func TestDrainWithoutNoticeEndsAtExitTimeout(t *testing.T) {
	const (
		start    = 10 * second
		observed = start + 600*millisecond
	)
	m := &Monitor{Window: usual}
	m.Observe(9*second, ready())
	m.Observe(observed, draining(start+usual.Grace))
	if phase, _ := m.Phase(start + usual.Grace - 1); phase != fleet.PhaseDraining {
		t.Errorf("within its grace: %s, want %s", phase, fleet.PhaseDraining)
	}
	if phase, _ := m.Phase(start + usual.Grace); phase != fleet.PhaseStopping {
		t.Errorf("after its grace: %s, want %s", phase, fleet.PhaseStopping)
	}
	for now := observed; now < start+usual.ExitTimeout; now += 50 * millisecond {
		m.Observe(now, draining(start+usual.Grace+second)) // a later report does not move the start
		if actions := m.NextActions(now); len(actions) > 0 {
			t.Fatalf("%d us after its grace began: %v, want no action", now-start, actions)
		}
	}
	if actions := m.NextActions(start + usual.ExitTimeout); !slices.Equal(actions, []Action{KillGroup}) {
		t.Errorf("at its exit timeout: %v, want a kill", actions)
	}
}

// TestDrainingAfterNoticeCountsFromNotice holds that after a notice the window counts from it, whatever the instance
// reports.
func TestDrainingAfterNoticeCountsFromNotice(t *testing.T) {
	m := &Monitor{Window: usual}
	m.RecordNotice(second, "s1")
	m.NextActions(second)
	m.Observe(second+50*millisecond, draining(second+usual.Grace))
	if m.drainingSince != 0 {
		t.Errorf("counts as draining without a notice since %d", m.drainingSince)
	}
	if phase, _ := m.Phase(second + usual.Grace); phase != fleet.PhaseStopping {
		t.Errorf("phase %s, want %s", phase, fleet.PhaseStopping)
	}
}
