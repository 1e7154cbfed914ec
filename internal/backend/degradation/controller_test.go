package degradation

import (
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestControllerDecisions compares the decisions of a controller under several kinds of load with the recorded ones.
func TestControllerDecisions(t *testing.T) {
	trace := fakes.NewTrace(t)

	s := newScenario(t, trace, "load rises to each level and falls step by step")
	s.runUntil(10*second, queueSignals(1))
	s.runUntil(100*second, queueSignals(1.7))
	s.runUntil(200*second, queueSignals(2.2))
	s.runUntil(400*second, queueSignals(0.5))

	s = newScenario(t, trace, "sudden overload enters several levels in quick succession")
	s.runUntil(10*second, queueSignals(1))
	s.runUntil(20*second, queueSignals(8))
	s.runUntil(300*second, queueSignals(8))

	s = newScenario(t, trace, "a recovery that worsens a signal is aborted at once, and the next one starts later")
	s.runUntil(10*second, queueSignals(1.7))
	s.runUntil(70*second, queueSignals(1))
	s.runUntil(75*second, queueSignals(1.45))
	s.runUntil(130*second, queueSignals(1))
	s.runUntil(140*second, queueSignals(1))
	s.runUntil(144*second, queueSignals(1.45))
	s.runUntil(250*second, queueSignals(1))
	s.runUntil(300*second, queueSignals(1))

	s = newScenario(t, trace, "each relapse after a recovery extends the backoff of the next recovery")
	for start := monotime.Micros(0); start < 1600*second; start += 400 * second {
		s.runUntil(start+100*second, queueSignals(1.7))
		s.runUntil(start+220*second, queueSignals(0.5))
		s.runUntil(start+240*second, queueSignals(6))
		s.runUntil(start+400*second, queueSignals(0.5))
	}

	s = newScenario(t, trace, "a missing signal neither enters nor leaves a level")
	s.runUntil(10*second, queueSignals(1.7))
	missing := queueSignals(0)
	missing[Queue] = Missing
	s.runUntil(200*second, missing)
	s.runUntil(400*second, queueSignals(0.5))

	s = newScenario(t, trace, "no readings for minutes, then high load")
	s.runUntil(10*second, queueSignals(0.5))
	afterGap := *s.controller
	if change, changed := afterGap.Update(300*second, queueSignals(9)); changed {
		trace.Say("  changed by the first reading: %v", change)
	}
	trace.Say("  level %d after the first reading", afterGap.Level())
	if _, changed := afterGap.Update(20*second, queueSignals(9)); changed {
		trace.Say("  changed by a reading before the last one")
	}

	s = newScenario(t, trace, "override above and below the level that the signals call for, until it expires")
	s.runUntil(10*second, queueSignals(1))
	unknownLevel := s.controller.Override(10*second, 9, 20*second, "operator 1", false)
	tooLong := s.controller.Override(10*second, 1, 20*60*second, "operator 1", false)
	trace.Say("  %v, %v", unknownLevel, tooLong)
	trace.Say("  %v", s.controller.Override(10*second, 2, 200*second, "operator 1", true))
	s.runUntil(100*second, queueSignals(1))
	s.runUntil(150*second, queueSignals(4))
	trace.Say("  %v", s.controller.Override(150*second, 0, 160*second, "operator 2", false))
	s.runUntil(159*second, queueSignals(4))
	s.runUntil(240*second, queueSignals(4))

	s = newScenario(t, trace, "any of two signals enters a level, both must recover to leave it")
	late := queueSignals(0.5)
	late[Late] = 0.2
	s.runUntil(10*second, late)
	s.runUntil(100*second, late)
	s.runUntil(200*second, queueSignals(1.4))
	s.runUntil(300*second, queueSignals(1))

	s = newScenario(t, trace,
		"a host that restarts during overload enters the level again within the entry condition's duration")
	s.runUntil(10*second, queueSignals(2.5))
	s.controller = NewController(mustParse(t, billingPolicy))
	warmingUp := queueSignals(2.5)
	warmingUp[WarmingUp] = 1
	s.runUntil(11*second, warmingUp)
	s.runUntil(14*second, warmingUp)

	s = newScenario(t, trace, "the policy is replaced while a level is in force")
	s.runUntil(10*second, queueSignals(2.5))
	renamed := strings.Replace(billingPolicy, "half-lookups", "most-lookups", 1)
	s.controller = s.controller.WithPolicy(mustParse(t, renamed))
	s.runUntil(11*second, queueSignals(2.5))
	s.runUntil(12*second, queueSignals(2.5))
}

// TestEarlierReadingsAreIgnored checks that a reading whose time is not after the last one changes nothing.
func TestEarlierReadingsAreIgnored(t *testing.T) {
	c := NewController(mustParse(t, billingPolicy))
	c.Update(10*second, queueSignals(1))
	for _, at := range []monotime.Micros{10 * second, 9 * second, 1} {
		if c.Update(at, queueSignals(9)); c.Smoothed()[Queue] != 1 || c.lastUpdate != 10*second {
			t.Errorf("at %d: queue %v, last update at %d", at, c.Smoothed()[Queue], c.lastUpdate)
		}
	}
}

// TestGapRestartsSmoothingAndTerms checks that after a gap in the readings smoothing starts at the first reading, and
// terms must hold for their full duration again.
func TestGapRestartsSmoothingAndTerms(t *testing.T) {
	c := NewController(mustParse(t, billingPolicy))
	c.Update(second, queueSignals(1.6))
	if change, changed := c.Update(10*second, queueSignals(9)); changed || c.Smoothed()[Queue] != 9 {
		t.Errorf("after the gap: queue %v, %v", c.Smoothed()[Queue], change)
	}
	if _, changed := c.Update(12*second, queueSignals(9)); !changed {
		t.Error("the level is not entered although its terms have held since the gap")
	}
}

// TestLevelIsInForceForMinDuration checks that a level stays in force for its MinDuration even if its exit condition is
// met and ChangeInterval is shorter.
func TestLevelIsInForceForMinDuration(t *testing.T) {
	c := NewController(mustParse(t, `(degradation d (change-interval 1s) (recovery-ramp 0s) (smoothing (queue 0s))
		(level a (shed) (enter (queue 2)) (exit (queue 1)) (min-duration 60s)))`))
	c.Update(second, queueSignals(2))
	for now := 2 * second; now < 61*second; now += second {
		if change, changed := c.Update(now, queueSignals(0)); changed {
			t.Fatalf("at %d: %v", now, change)
		}
	}
	if _, changed := c.Update(61*second, queueSignals(0)); !changed {
		t.Error("the level is not left after its MinDuration")
	}
}

// TestMissingSignalAbortsRecovery checks that a recovery is aborted, and full depth restored, when a signal of the exit
// condition goes missing.
func TestMissingSignalAbortsRecovery(t *testing.T) {
	c := NewController(mustParse(t, `(degradation d (change-interval 1s) (recovery-ramp 20s) (smoothing (queue 0s))
		(level a (shed) (enter (queue 2)) (exit (queue 1)) (min-duration 1s)))`))
	c.Update(second, queueSignals(2))
	now := 2 * second
	for ; now <= 12*second; now += second {
		c.Update(now, queueSignals(0))
	}
	if depth := c.Depth(now); depth <= 0 || depth >= 1 {
		t.Fatalf("depth %v during the ramp, want between 0 and 1", depth)
	}
	for ; now < 60*second; now += second {
		if change, changed := c.Update(now, queueSignals(Missing)); changed || c.Depth(now) != 1 {
			t.Fatalf("at %d: depth %v, %v", now, c.Depth(now), change)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	const interval = 20 * monotime.Millisecond
	controller := NewController(mustParse(b, billingPolicy))
	b.ReportAllocs()
	for now := monotime.Micros(1); b.Loop(); now += interval {
		controller.Update(now, queueSignals(1.3))
	}
}
