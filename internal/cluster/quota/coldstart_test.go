package quota

import (
	"strings"
	"testing"

	"milletbarrow/internal/cluster/coldstart"
)

// TestColdStartCommands: there is one cold start at a time under a limit; the same one begun again changes nothing; a
// command about another is rejected; and a pause ends by the leader's own clock, which a new leader starts anew.
func TestColdStartCommands(t *testing.T) {
	l := NewState()
	l.Apply(Command{Config: &Config{Version: 1, Limits: []Limit{{Name: "s", Kind: Concurrency, Total: 4, Reserved: 1}}}})
	config := &coldstart.Config{MaxConcurrent: 9, InitialConcurrent: 9, MinServing: 0, MaxFailures: 9, SlowFactor: 3, MaxRejected: 0.1}
	members := []coldstart.Member{{Name: "a", Group: "g", Host: "h"}, {Name: "b", Group: "g", Host: "h"}, {Name: "c", Group: "g", Host: "h"}, {Name: "d", Group: "g", Host: "h"}}
	for _, c := range []struct {
		r    ColdStartCommand
		want string
	}{
		{ColdStartCommand{Limit: "x", ID: "1", Config: config, Members: members}, `"x" is not a count`},
		{ColdStartCommand{Limit: "s", ID: "1", Members: members}, "terms"},
		{ColdStartCommand{Limit: "s", ID: "1", Config: config}, "0 members"},
		{ColdStartCommand{Limit: "s", ID: "1", Config: config, Members: members}, ""},
		{ColdStartCommand{Limit: "s", ID: "1", Config: config, Members: members}, ""},
		{ColdStartCommand{Limit: "s", ID: "2", Config: config, Members: members}, "cold start 1 is in progress"},
		{ColdStartCommand{Limit: "s", ID: "2", Action: "go-on"}, `unknown cold start "2"`},
		{ColdStartCommand{Limit: "s", ID: "1", Action: "dance"}, "not one of go-on, end"},
	} {
		if rejection := l.Apply(Command{ColdStart: &c.r}).Rejection; (c.want == "") != (rejection == "") || !strings.Contains(rejection, c.want) {
			t.Errorf("%+v: %q, want %q", c.r, rejection, c.want)
		}
	}
	if m := l.ColdStartStatuses()[0].MaxConcurrent; m != 3 {
		t.Errorf("%d may be under way, of 4 with one reserved", m)
	}
	acquisition := func(name InstanceName, n string) *PermitCommand {
		return &PermitCommand{Limit: "s", Name: name, Host: "h", AcquireID: n}
	}
	for _, n := range []string{"1", "2"} { // two failures in a row
		if rejection := l.Apply(Command{Acquire: acquisition("a", n)}).Rejection; rejection != "" {
			t.Fatal(rejection)
		}
		release := acquisition("a", n)
		release.Outcome = &coldstart.Outcome{Cause: "x"}
		l.Apply(Command{Release: release})
	}
	if rejection := l.Apply(Command{Acquire: acquisition("b", "1")}).Rejection; !strings.Contains(rejection, "nothing starts") {
		t.Fatalf("after two failures: %q", rejection)
	}
	first, second := &LeaseTracker{}, &LeaseTracker{}
	first.BecomeLeader(0, l, false)
	pause := l.ColdStarts["s"].Pause
	first.ElapsedPauses(1000, l)
	second.BecomeLeader(500_000_000, l, false) // by a clock of its own, without what the first one saw
	if len(second.ElapsedPauses(500_000_000, l)) != 0 || len(first.ElapsedPauses(1000+pause-1, l)) != 0 || len(second.ElapsedPauses(500_000_000+pause-1, l)) != 0 {
		t.Error("a pause ended before its time")
	}
	if over := second.ElapsedPauses(500_000_000+pause, l); len(over) != 1 {
		t.Errorf("pauses that have elapsed: %v", over)
	} else if l.Apply(Command{ElapsedPauses: over}); l.Apply(Command{Acquire: acquisition("b", "2")}).Rejection != "" {
		t.Error("nothing starts after the pause")
	}
}
