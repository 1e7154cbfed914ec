package coldstart

import (
	"math"
	"testing"

	"milletbarrow/monotime"
)

func TestPauseDoublesUpToAMinute(t *testing.T) {
	for failures, seconds := range map[int64]monotime.Micros{
		0: 2, 1: 4, 2: 8, 3: 16, 4: 32, 5: 60, 6: 60, math.MaxInt64: 60,
	} {
		if got, want := pauseDuration(failures), seconds*monotime.Second; got != want {
			t.Errorf("after %d further failures: %d us, want %d us", failures, got, want)
		}
	}
}

// TestSlowStartDecreasesTheLimit checks that a start is slow if it takes more than SlowFactor times as long as its
// group's fastest.
func TestSlowStartDecreasesTheLimit(t *testing.T) {
	s := newSingleGroupState(t, 8, "a", "b", "c", "d", "e")
	for _, test := range []struct {
		name      MemberName
		took      monotime.Micros
		decreases bool
	}{
		{"a", 1000, false},
		{"b", 1000, false},
		{"c", 3001, true},
	} {
		mustStart(t, s, test.name)
		before := s.ScaledLimit
		s.Report(test.name, Outcome{Ready: true, Took: test.took})
		if decreased := s.ScaledLimit < before; decreased != test.decreases {
			t.Fatalf("%s took %d us: limit from %d to %d", test.name, test.took, before, s.ScaledLimit)
		}
	}
}

func TestLimitDoesNotGrowBeyondMaxConcurrent(t *testing.T) {
	s := newSingleGroupState(t, 2, "a", "b")
	s.ScaledLimit = 2*limitScale - 1
	mustStart(t, s, "a")
	s.Report("a", Outcome{Ready: true, Took: 1000})
	if s.ScaledLimit != 2*limitScale {
		t.Fatalf("limit %d, want %d", s.ScaledLimit, 2*limitScale)
	}
}

// TestLimitFollowsOutcomes checks that the limit doubles with each round of good starts before the first decrease, that
// starts granted before a decrease halve it only once, and that the cold start halts after consecutive failures.
func TestLimitFollowsOutcomes(t *testing.T) {
	s := newTestState(t, testConfig(64), testMembers(1, 200, 4))
	ready := func(int) Outcome { return Outcome{Ready: true, Took: monotime.Second} }
	for i, want := range []int{2, 4, 8, 16} {
		if started := startRound(s, ready); started != want {
			t.Fatalf("round %d: %d started, want %d", i, started, want)
		}
	}
	startRound(s, func(int) Outcome { return Outcome{Ready: true, Took: monotime.Second, Rejected: 0.5} })
	if s.ScaledLimit != 16*limitScale {
		t.Fatalf("after 32 starts with rejected calls: limit %d, want %d", s.ScaledLimit, 16*limitScale)
	}
	before := s.ScaledLimit
	startRound(s, ready)
	if s.ScaledLimit <= before || s.ScaledLimit > before+1100 {
		t.Fatalf("a good round after a decrease: limit from %d to %d, want one more", before, s.ScaledLimit)
	}
	failUntilHalted(t, s)
	if started := startRound(s, ready); started != 0 {
		t.Fatalf("%d started after the halt", started)
	}
	s.Resume()
	if started := startRound(s, ready); started != 2 {
		t.Fatalf("%d started after Resume, want 2", started)
	}
}

// failUntilHalted reports a failure of every start, and checks the limit and the pauses until the cold start halts.
func failUntilHalted(t *testing.T, s *State) {
	t.Helper()
	limit, pause := s.ScaledLimit, monotime.Micros(0)
	last := s.Members[len(s.Members)-1].Name
	for i := range testConfig(1).MaxFailures {
		started := startRound(s, func(int) Outcome { return Outcome{Cause: "invalid configuration"} })
		halted := s.HaltReason != ""
		if started == 0 || !halted && s.ScaledLimit > limit {
			t.Fatalf("failure %d: %d started, limit from %d to %d", i, started, limit, s.ScaledLimit)
		}
		if ok, reason := s.RequestStart(last); ok && s.Pause > 0 {
			t.Fatalf("started during a pause: %s", reason)
		}
		if !halted && i > 0 && s.Pause <= pause {
			t.Fatalf("failure %d: pause of %d us, not longer than the former one of %d us", i, s.Pause, pause)
		}
		limit = s.ScaledLimit
		pause = s.Pause
		s.EndPause(s.PauseNumber - 1)
		if s.Pause != pause {
			t.Fatal("the end of an earlier pause ended this one")
		}
		s.EndPause(s.PauseNumber)
	}
	if s.HaltReason == "" {
		t.Fatalf("not halted after %d consecutive failures", testConfig(1).MaxFailures)
	}
}
