package coldstart

import (
	"strings"
	"testing"

	"milletbarrow/monotime"
)

func newTestStart(t *testing.T, config Config, names ...MemberName) *State {
	t.Helper()
	all := make([]Member, 0, len(names))
	for _, n := range names {
		all = append(all, Member{Name: n, Group: "g", Host: "h"})
	}
	s, err := New("r", config, all)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestPauseIsKept: after failures in a row nothing starts until the pause is ended.
func TestPauseIsKept(t *testing.T) {
	s := newTestStart(t, testConfig(4), "a", "b", "c")
	for range pauseAfterFailures {
		if ok, why := s.RequestStart("a"); !ok {
			t.Fatal(why)
		}
		s.Report("a", Outcome{Cause: "x"})
	}
	if ok, why := s.RequestStart("b"); ok || !strings.Contains(why, "nothing starts") {
		t.Fatalf("started in a pause: %v %q", ok, why)
	}
	s.EndPause(s.PauseNumber)
	if ok, why := s.RequestStart("b"); !ok {
		t.Fatalf("after the pause: %s", why)
	}
}

// TestFullSaysSo: who finds no capacity is told that, and who stands ahead of it is not blamed.
func TestFullSaysSo(t *testing.T) {
	s := newTestStart(t, testConfig(1), "a", "b")
	s.RequestStart("a")
	if ok, why := s.RequestStart("b"); ok || !strings.Contains(why, "1 are starting, the limit is 1") {
		t.Fatalf("%v %q", ok, why)
	}
}

// TestSlowStartDecreases: a start that takes a multiple of its group's fastest halves the limit.
func TestSlowStartDecreases(t *testing.T) {
	s := newTestStart(t, testConfig(8), "a", "b", "c", "d", "e")
	for i, took := range []monotime.Micros{1000, 1000, 3001} {
		name := MemberName(rune('a' + i))
		if ok, why := s.RequestStart(name); !ok {
			t.Fatal(why)
		}
		before := s.ScaledLimit
		s.Report(name, Outcome{Ready: true, Took: took})
		if slow := took > 3000; slow != (s.ScaledLimit < before) {
			t.Fatalf("start %d took %d us: limit from %d to %d", i, took, before, s.ScaledLimit)
		}
	}
}

// TestDuplicateName: a cold start has no two members of one name.
func TestDuplicateName(t *testing.T) {
	m := Member{Name: "a", Group: "g", Host: "h"}
	if _, err := New("r", testConfig(4), []Member{m, m}); err == nil {
		t.Fatal("a duplicate name was accepted")
	}
}

// TestLimitBounded: the limit grows to the configured one and by no thousandth further.
func TestLimitBounded(t *testing.T) {
	s := newTestStart(t, testConfig(2), "a", "b")
	s.ScaledLimit = 2*limitScale - 1
	s.RequestStart("a")
	if s.Report("a", Outcome{Ready: true, Took: 1000}); s.ScaledLimit != 2*limitScale {
		t.Fatalf("limit %d of %d", s.ScaledLimit, 2*limitScale)
	}
}

// TestSilentMemberIsPassed: a member that stopped requesting delays those behind it for a bounded time.
func TestSilentMemberIsPassed(t *testing.T) {
	s := newTestStart(t, testConfig(1), "a", "b", "c")
	s.RequestStart("c")
	first := s.Members[0].Name
	s.RequestStart(first) // it waits while c is starting
	s.Report("c", Outcome{Ready: true, Took: 1000})
	last := s.Members[1].Name
	for n := range 2 * requestWindow {
		if ok, _ := s.RequestStart(last); ok {
			if n < requestWindow-1 {
				t.Fatalf("passed after %d requests", n)
			}
			return
		}
	}
	t.Fatalf("%s waits for %s for ever", last, first)
}
