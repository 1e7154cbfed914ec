package quota

import (
	"strings"
	"testing"

	"milletbarrow/internal/cluster/coldstart"
)

// TestRiseWords: one rise at a time under a count; the same one asked for again changes nothing; a word about another is
// refused; and a rest ends by a leader's own count, of a new leader counted anew.
func TestRiseWords(t *testing.T) {
	l := NewState()
	l.Apply(Command{Config: &Config{Version: 1, Limits: []Limit{{Name: "s", Kind: Concurrency, Total: 4, Reserved: 1}}}})
	terms := &coldstart.Config{MaxConcurrent: 9, InitialConcurrent: 9, MinServing: 0, MaxFailures: 9, SlowFactor: 3, MaxRejected: 0.1}
	members := []coldstart.Member{{Name: "a", Group: "g", Host: "h"}, {Name: "b", Group: "g", Host: "h"}, {Name: "c", Group: "g", Host: "h"}, {Name: "d", Group: "g", Host: "h"}}
	for _, c := range []struct {
		r    ColdStartCommand
		want string
	}{
		{ColdStartCommand{Limit: "x", ID: "1", Config: terms, Members: members}, "no count"},
		{ColdStartCommand{Limit: "s", ID: "1", Members: members}, "terms"},
		{ColdStartCommand{Limit: "s", ID: "1", Config: terms}, "0 members"},
		{ColdStartCommand{Limit: "s", ID: "1", Config: terms, Members: members}, ""},
		{ColdStartCommand{Limit: "s", ID: "1", Config: terms, Members: members}, ""},
		{ColdStartCommand{Limit: "s", ID: "2", Config: terms, Members: members}, "rise 1 is open"},
		{ColdStartCommand{Limit: "s", ID: "2", Action: "go-on"}, "no rise that is known"},
		{ColdStartCommand{Limit: "s", ID: "1", Action: "dance"}, "none of go-on, end"},
	} {
		if no := l.Apply(Command{ColdStart: &c.r}).Rejection; (c.want == "") != (no == "") || !strings.Contains(no, c.want) {
			t.Errorf("%+v: %q, want %q", c.r, no, c.want)
		}
	}
	if m := l.ColdStartStatuses()[0].MaxConcurrent; m != 3 {
		t.Errorf("%d may be under way, of 4 with one set aside", m)
	}
	turn := func(name, n string) *PermitCommand {
		return &PermitCommand{Limit: "s", Name: name, Host: "h", AcquireID: n}
	}
	for _, n := range []string{"1", "2"} { // two falls in a row
		if no := l.Apply(Command{Acquire: turn("a", n)}).Rejection; no != "" {
			t.Fatal(no)
		}
		back := turn("a", n)
		back.Outcome = &coldstart.Outcome{Cause: "x"}
		l.Apply(Command{Release: back})
	}
	if no := l.Apply(Command{Acquire: turn("b", "1")}).Rejection; !strings.Contains(no, "nothing starts") {
		t.Fatalf("after two falls: %q", no)
	}
	old, later := &LeaseTracker{}, &LeaseTracker{}
	old.BecomeLeader(0, l, false)
	rest := l.ColdStarts["s"].Pause
	old.ElapsedPauses(1000, l)
	later.BecomeLeader(500_000_000, l, false) // another's clock, and nothing is known of before
	if len(later.ElapsedPauses(500_000_000, l)) != 0 || len(old.ElapsedPauses(1000+rest-1, l)) != 0 || len(later.ElapsedPauses(500_000_000+rest-1, l)) != 0 {
		t.Error("a rest ended before it was counted")
	}
	if over := later.ElapsedPauses(500_000_000+rest, l); len(over) != 1 {
		t.Errorf("a rest that was counted: %v", over)
	} else if l.Apply(Command{ElapsedPauses: over}); l.Apply(Command{Acquire: turn("b", "2")}).Rejection != "" {
		t.Error("nothing starts after the rest")
	}
}
