package quota

import (
	"strings"
	"testing"

	"milletbarrow/internal/cluster/coldstart"
)

// TestRiseWords: one rise at a time under a count; the same one asked for again changes nothing; a word about another is
// refused; and a rest ends by a leader's own count, of a new leader counted anew.
func TestRiseWords(t *testing.T) {
	l := NewLedger()
	l.Apply(Command{Terms: &Terms{Version: 1, Budgets: []Budget{{Name: "s", Kind: Count, Whole: 4, Aside: 1}}}})
	terms := &coldstart.Terms{Most: 9, First: 9, Least: 0, Failures: 9, Slow: 3, Refused: 0.1}
	members := []coldstart.Member{{Name: "a", Group: "g", Host: "h"}, {Name: "b", Group: "g", Host: "h"}, {Name: "c", Group: "g", Host: "h"}, {Name: "d", Group: "g", Host: "h"}}
	for _, c := range []struct {
		r    Rise
		want string
	}{
		{Rise{Budget: "x", ID: "1", Terms: terms, Members: members}, "no count"},
		{Rise{Budget: "s", ID: "1", Members: members}, "terms"},
		{Rise{Budget: "s", ID: "1", Terms: terms}, "0 members"},
		{Rise{Budget: "s", ID: "1", Terms: terms, Members: members}, ""},
		{Rise{Budget: "s", ID: "1", Terms: terms, Members: members}, ""},
		{Rise{Budget: "s", ID: "2", Terms: terms, Members: members}, "rise 1 is open"},
		{Rise{Budget: "s", ID: "2", Verb: "go-on"}, "no rise that is known"},
		{Rise{Budget: "s", ID: "1", Verb: "dance"}, "none of go-on, end"},
	} {
		if no := l.Apply(Command{Rise: &c.r}).No; (c.want == "") != (no == "") || !strings.Contains(no, c.want) {
			t.Errorf("%+v: %q, want %q", c.r, no, c.want)
		}
	}
	if m := l.Risings()[0].Most; m != 3 {
		t.Errorf("%d may be under way, of 4 with one set aside", m)
	}
	turn := func(name, n string) *Take { return &Take{Budget: "s", Name: name, Host: "h", Turn: n} }
	for _, n := range []string{"1", "2"} { // two falls in a row
		if no := l.Apply(Command{Take: turn("a", n)}).No; no != "" {
			t.Fatal(no)
		}
		back := turn("a", n)
		back.End = &coldstart.End{Cause: "x"}
		l.Apply(Command{Give: back})
	}
	if no := l.Apply(Command{Take: turn("b", "1")}).No; !strings.Contains(no, "nothing starts") {
		t.Fatalf("after two falls: %q", no)
	}
	old, later := &Clerk{}, &Clerk{}
	old.Elected(0, l, false)
	rest := l.Rises["s"].Rest
	old.Rested(1000, l)
	later.Elected(500_000_000, l, false) // another's clock, and nothing is known of before
	if len(later.Rested(500_000_000, l)) != 0 || len(old.Rested(1000+rest-1, l)) != 0 || len(later.Rested(500_000_000+rest-1, l)) != 0 {
		t.Error("a rest ended before it was counted")
	}
	if over := later.Rested(500_000_000+rest, l); len(over) != 1 {
		t.Errorf("a rest that was counted: %v", over)
	} else if l.Apply(Command{Rested: over}); l.Apply(Command{Take: turn("b", "2")}).No != "" {
		t.Error("nothing starts after the rest")
	}
}
