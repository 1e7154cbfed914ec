package quota

import (
	"strings"
	"testing"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

func newColdStartState(tb testing.TB) *State {
	tb.Helper()
	return newTestState(tb, Config{
		Version: 1,
		Limits:  []Limit{{Name: testPermits, Kind: Concurrency, Total: 4, Reserved: 1}},
	})
}

// beginCommand returns a command that begins a cold start of the members a, b, c and d.
func beginCommand(id string) *ColdStartCommand {
	command := &ColdStartCommand{
		Limit: testPermits,
		ID:    id,
		Config: &coldstart.Config{
			MaxConcurrent:     9,
			InitialConcurrent: 9,
			MinServing:        0,
			MaxFailures:       9,
			SlowFactor:        3,
			MaxRejected:       0.1,
		},
	}
	for _, name := range []coldstart.MemberName{"a", "b", "c", "d"} {
		command.Members = append(command.Members, coldstart.Member{Name: name, Group: "g", Host: "h"})
	}
	return command
}

func TestInvalidColdStartCommandsAreRejected(t *testing.T) {
	without := func(change func(*ColdStartCommand)) *ColdStartCommand {
		command := beginCommand("1")
		change(command)
		return command
	}
	for _, test := range []struct {
		name    string
		begun   bool // cold start 1
		command *ColdStartCommand
		want    string // part of the rejection; empty: accepted
	}{
		{
			"unknown limit", false,
			without(func(c *ColdStartCommand) { c.Limit = "x" }), `budget: "x" is not a count in version 1`,
		},
		{"without a configuration", false, without(func(c *ColdStartCommand) { c.Config = nil }), "terms: missing"},
		{"without members", false, without(func(c *ColdStartCommand) { c.Members = nil }), "0 members"},
		{"begin", false, beginCommand("1"), ""},
		{"begin again", true, beginCommand("1"), ""},
		{"begin another one", true, beginCommand("2"), "cold start 1 is in progress"},
		{
			"resume another one", true,
			&ColdStartCommand{Limit: testPermits, ID: "2", Action: actionResume}, `id: unknown cold start "2"`,
		},
		{
			"unknown action", true,
			&ColdStartCommand{Limit: testPermits, ID: "1", Action: "pause"}, `verb: "pause" is not one of go-on, end`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := newColdStartState(t)
			if test.begun {
				state.Apply(Command{ColdStart: beginCommand("1")})
			}
			rejection := state.Apply(Command{ColdStart: test.command}).Rejection
			if (test.want == "") != (rejection == "") || !strings.Contains(rejection, test.want) {
				t.Errorf("rejection %q, want %q", rejection, test.want)
			}
		})
	}
}

func TestColdStartConcurrencyExcludesReservedPermits(t *testing.T) {
	state := newColdStartState(t)
	state.Apply(Command{ColdStart: beginCommand("1")})
	if most := state.ColdStartStatuses()[0].MaxConcurrent; most != 3 {
		t.Errorf("%d members may start at once, want 3: one permit of 4 is reserved", most)
	}
}

// TestEachLeaderTimesPausesInFull checks that a new leader does not count the part of a pause that the former leader
// has timed, as their clocks can't be compared.
func TestEachLeaderTimesPausesInFull(t *testing.T) {
	state := newColdStartState(t)
	state.Apply(Command{ColdStart: beginCommand("1")})
	permit := func(name InstanceName, id string) *PermitCommand {
		return &PermitCommand{Limit: testPermits, Name: name, Host: "h", AcquireID: id}
	}
	for _, id := range []string{"1", "2"} { // two consecutive failures begin a pause
		if rejection := state.Apply(Command{Acquire: permit("a", id)}).Rejection; rejection != "" {
			t.Fatal(rejection)
		}
		release := permit("a", id)
		release.Outcome = &coldstart.Outcome{Cause: "x"}
		state.Apply(Command{Release: release})
	}
	rejection := state.Apply(Command{Acquire: permit("b", "1")}).Rejection
	if !strings.Contains(rejection, "nothing starts") {
		t.Fatalf("after two failures: rejection %q, want a pause", rejection)
	}

	const firstSeen, secondSeen = 1000, 500 * monotime.Second // each by its own clock
	pause := state.ColdStarts[testPermits].Pause
	first, second := &LeaseTracker{}, &LeaseTracker{}
	first.BecomeLeader(0, state, false)
	first.ElapsedPauses(firstSeen, state)
	second.BecomeLeader(secondSeen, state, false)
	for _, early := range []struct {
		name    string
		tracker *LeaseTracker
		at      monotime.Micros
	}{
		{"second leader, at its election", second, secondSeen},
		{"first leader", first, firstSeen + pause - 1},
		{"second leader", second, secondSeen + pause - 1},
	} {
		if elapsed := early.tracker.ElapsedPauses(early.at, state); len(elapsed) != 0 {
			t.Errorf("%s: the pause elapsed before its time: %v", early.name, elapsed)
		}
	}
	elapsed := second.ElapsedPauses(secondSeen+pause, state)
	if len(elapsed) != 1 {
		t.Fatalf("elapsed pauses: %v, want one", elapsed)
	}
	state.Apply(Command{ElapsedPauses: elapsed})
	if rejection := state.Apply(Command{Acquire: permit("b", "2")}).Rejection; rejection != "" {
		t.Errorf("after the pause: %s", rejection)
	}
}
