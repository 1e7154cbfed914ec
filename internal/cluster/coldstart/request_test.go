package coldstart

import (
	"slices"
	"strings"
	"testing"
)

func TestNothingStartsDuringAPause(t *testing.T) {
	s := newSingleGroupState(t, 4, "a", "b", "c")
	for range pauseAfterFailures {
		mustStart(t, s, "a")
		s.Report("a", Outcome{Cause: "x"})
	}
	if ok, reason := s.RequestStart("b"); ok || !strings.Contains(reason, "nothing starts") {
		t.Fatalf("during a pause: %v, reason %q", ok, reason)
	}
	s.EndPause(s.PauseNumber)
	mustStart(t, s, "b")
}

func TestRequestAtTheLimitIsRejectedWithTheLimitAsReason(t *testing.T) {
	s := newSingleGroupState(t, 1, "a", "b")
	mustStart(t, s, "a")
	if ok, reason := s.RequestStart("b"); ok || !strings.Contains(reason, "1 are starting, the limit is 1") {
		t.Fatalf("with a full limit: %v, reason %q", ok, reason)
	}
}

// TestSilentMemberIsOvertaken checks that a waiting member that has stopped requesting delays others for a bounded
// number of requests.
func TestSilentMemberIsOvertaken(t *testing.T) {
	s := newSingleGroupState(t, 1, "a", "b", "c")
	mustStart(t, s, "c")
	silent, waiting := s.Members[0].Name, s.Members[1].Name
	s.RequestStart(silent) // waits while c is starting
	s.Report("c", Outcome{Ready: true, Took: 1000})
	for n := range 2 * requestWindow {
		if ok, _ := s.RequestStart(waiting); !ok {
			continue
		}
		if n < requestWindow-1 {
			t.Fatalf("overtaken after %d requests, want at least %d", n, requestWindow-1)
		}
		return
	}
	t.Fatalf("%s still waits for %s after %d requests", waiting, silent, 2*requestWindow)
}

// TestEssentialMembersStartFirst checks that no other member starts while an essential one of any group waits, from the
// second round of requests on: in the first, the other members request before the essential ones.
func TestEssentialMembersStartFirst(t *testing.T) {
	s := newTestState(t, testConfig(4), testMembers(3, 8, 2))
	if s.Essential != 6 {
		t.Fatalf("%d members are essential, want 6", s.Essential)
	}
	for round := 0; !s.Done(); round++ {
		var started []MemberName
		othersStarted := 0
		for i, member := range slices.Backward(s.Members) { // the last in order request first
			if !s.Pending(member.Name) {
				continue
			}
			if ok, _ := s.RequestStart(member.Name); !ok {
				continue
			}
			started = append(started, member.Name)
			if i >= s.Essential {
				othersStarted++
			}
		}
		if len(started) == 0 {
			t.Fatal("no member may start")
		}
		for _, member := range s.Members[:s.Essential] {
			_, starting := s.Starting[member.Name]
			if round > 0 && othersStarted > 0 && !starting && !s.Ready[member.Name] {
				t.Errorf("round %d: %s waits while %v start", round, member.Name, started)
			}
		}
		for _, name := range started {
			s.Report(name, Outcome{Ready: true, Took: 1000})
		}
	}
}
