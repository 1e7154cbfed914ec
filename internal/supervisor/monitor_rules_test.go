package supervisor

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

func ready() Observation { return Observation{&admin.State{Ready: true}} }

func draining(graceEnds monotime.Micros) Observation {
	return Observation{&admin.State{Draining: true, GraceEnds: graceEnds}}
}

// TestFirstKillCauseStays: a kill that is asked for twice is told with its first cause, and repeated until the end.
func TestFirstKillCauseStays(t *testing.T) {
	m := &Monitor{Window: usual}
	m.RequestKill("asked for by a person")
	m.RequestKill("asked for again")
	if m.KillCause != "asked for by a person" {
		t.Errorf("cause %q, want the first one", m.KillCause)
	}
	for now := monotime.Micros(0); now < second; now += 100_000 {
		if actions := m.NextActions(now); !slices.Equal(actions, []Action{KillGroup}) {
			t.Fatalf("at %d: %v, want the kill again until it is gone", now, actions)
		}
	}
}

// TestOnceReadyIsNeverStarting: an instance that has been ready and is not any more is unready, not starting.
func TestOnceReadyIsNeverStarting(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	m.Observe(2*second, Observation{&admin.State{}})
	if phase, _ := m.Phase(2 * second); phase != fleet.PhaseUnready {
		t.Errorf("phase %s, want %s", phase, fleet.PhaseUnready)
	}
}

// TestSilence: an instance counts as silent once silenceTimeout has passed since its last answer, and not before.
func TestSilence(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	for _, c := range []struct {
		after monotime.Micros
		want  fleet.Phase
	}{{silenceTimeout, fleet.PhaseReady}, {silenceTimeout + 1, fleet.PhaseUnready}} {
		m.Observe(second+c.after, Observation{}) // no answer
		if phase, _ := m.Phase(second + c.after); phase != c.want {
			t.Errorf("%d us after its last answer: %s, want %s", c.after, phase, c.want)
		}
	}
}

// TestUnacknowledgedOnlyAfterItsTimeout: a notice makes an instance unresponsive after acknowledgeTimeout, not at once.
func TestUnacknowledgedOnlyAfterItsTimeout(t *testing.T) {
	m := &Monitor{Window: usual}
	m.Observe(second, ready())
	m.RecordNotice(second, "s1")
	if phase, _ := m.Phase(second + acknowledgeTimeout - 1); phase != fleet.PhaseDraining {
		t.Errorf("before the timeout: %s, want %s", phase, fleet.PhaseDraining)
	}
	if phase, _ := m.Phase(second + acknowledgeTimeout); phase != fleet.PhaseUnresponsive {
		t.Errorf("after it: %s, want %s", phase, fleet.PhaseUnresponsive)
	}
}

// TestOneSignal: the notice by signal is given once, however often the monitor is asked.
func TestOneSignal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Monitor{Window: usual}
		m.RecordNotice(second, "s1")
		signals := 0
		for now := second; now < second+usual.ExitTimeout; now += monotime.Micros(rapid.IntRange(1000, 200_000).Draw(t, "step")) {
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

// TestSocketNoticesAreSpaced: notices on the admin socket are socketNoticeInterval apart at least, and go on.
func TestSocketNoticesAreSpaced(t *testing.T) {
	m := &Monitor{Window: usual}
	m.RecordNotice(second, "s1")
	var notices []monotime.Micros
	for now := second; now < second+usual.Grace-killLead; now += 10_000 {
		if slices.Contains(m.NextActions(now), NotifySocket) {
			notices = append(notices, now)
		}
	}
	for i := 1; i < len(notices); i++ {
		if apart := notices[i] - notices[i-1]; apart < socketNoticeInterval || apart > socketNoticeInterval+10_000 {
			t.Errorf("notices %d us apart, want %d", apart, socketNoticeInterval)
		}
	}
	if len(notices) < 2 || notices[0] != second+acknowledgeTimeout {
		t.Errorf("notices at %v, the first wanted at %d", notices, second+acknowledgeTimeout)
	}
}

// TestDrainsByItself: an instance that drains without a notice is left alone until its stop, which counts from when
// its grace began by its own word; then it is killed.
func TestDrainsByItself(t *testing.T) {
	began := 10 * second
	m := &Monitor{Window: usual}
	m.Observe(9*second, ready())
	m.Observe(began+600_000, draining(began+usual.Grace)) // seen late
	if phase, _ := m.Phase(began + usual.Grace - 1); phase != fleet.PhaseDraining {
		t.Errorf("within its grace: %s", phase)
	}
	if phase, _ := m.Phase(began + usual.Grace); phase != fleet.PhaseStopping {
		t.Errorf("after its grace: %s", phase)
	}
	for now := began + 600_000; now < began+usual.ExitTimeout; now += 50_000 {
		m.Observe(now, draining(began+usual.Grace+second)) // a later word of it moves nothing
		if actions := m.NextActions(now); len(actions) > 0 {
			t.Fatalf("%d us after its grace began: %v", now-began, actions)
		}
	}
	if actions := m.NextActions(began + usual.ExitTimeout); !slices.Equal(actions, []Action{KillGroup}) {
		t.Errorf("at its stop: %v, want a kill", actions)
	}
}

// TestDrainingAfterTheNoticeIsNoOwnDecision: once notified the window counts from the notice, whatever was seen after.
func TestDrainingAfterTheNoticeIsNoOwnDecision(t *testing.T) {
	m := &Monitor{Window: usual}
	m.RecordNotice(second, "s1")
	m.NextActions(second)
	m.Observe(second+50_000, draining(second+usual.Grace))
	if m.drainingSince != 0 {
		t.Errorf("counts as draining by itself since %d", m.drainingSince)
	}
	if phase, _ := m.Phase(second + usual.Grace); phase != fleet.PhaseStopping {
		t.Errorf("phase %s", phase)
	}
}
