package coldstart

import (
	"fmt"
	"testing"
)

func testConfig(maxConcurrent int64) Config {
	return Config{
		MaxConcurrent:     maxConcurrent,
		InitialConcurrent: min(2, maxConcurrent),
		MinServing:        0.25,
		MaxFailures:       5,
		SlowFactor:        3,
		MaxRejected:       0.1,
	}
}

// testMembers returns perGroup members in each of the given number of groups, spread over hosts.
func testMembers(groups, perGroup, hosts int) []Member {
	members := make([]Member, 0, groups*perGroup)
	for group := range groups {
		for n := range perGroup {
			members = append(members, Member{
				Name:  MemberName(fmt.Sprintf("g%d-%02d", group, n)),
				Group: GroupName(fmt.Sprint("g", group)),
				Host:  fmt.Sprint("h", n%hosts),
			})
		}
	}
	return members
}

func newTestState(tb testing.TB, config Config, members []Member) *State {
	tb.Helper()
	s, err := New("r", config, members)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// newSingleGroupState returns a cold start of members of one group on one host.
func newSingleGroupState(tb testing.TB, maxConcurrent int64, names ...MemberName) *State {
	tb.Helper()
	members := make([]Member, 0, len(names))
	for _, name := range names {
		members = append(members, Member{Name: name, Group: "g", Host: "h"})
	}
	return newTestState(tb, testConfig(maxConcurrent), members)
}

// mustStart fails unless a member may start.
func mustStart(tb testing.TB, s *State, name MemberName) {
	tb.Helper()
	if ok, reason := s.RequestStart(name); !ok {
		tb.Fatalf("%s may not start: %s", name, reason)
	}
}

// startRound requests a start for each pending member in order, reports an outcome for each that was granted, and
// returns their number. outcome is called with the index of a granted start.
func startRound(s *State, outcome func(i int) Outcome) int {
	var started []MemberName
	for _, member := range s.Members {
		if ok, _ := s.RequestStart(member.Name); ok && s.Pending(member.Name) {
			started = append(started, member.Name)
		}
	}
	for i, name := range started {
		s.Report(name, outcome(i))
	}
	return len(started)
}
