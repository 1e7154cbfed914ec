package coldstart

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func terms(most int64) Terms {
	return Terms{Most: most, First: min(2, most), Least: 0.25, Failures: 5, Slow: 3, Refused: 0.1}
}

func members(groups, each, hosts int) (all []Member) {
	for g := range groups {
		for n := range each {
			all = append(all, Member{fmt.Sprintf("g%d-%02d", g, n), fmt.Sprint("g", g), fmt.Sprint("h", n%hosts)})
		}
	}
	return all
}

// TestNeverMore: whatever comes back and whoever asks, no more are under way than may be; and once faults end everyone who
// goes on asking comes up, the least of each group before the rest of any that asks beside it.
func TestNeverMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := int64(rapid.IntRange(1, 12).Draw(t, "most"))
		s, err := Begin("r", terms(most), members(rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 12).Draw(t, "each"), 3))
		if err != nil {
			t.Fatal(err)
		}
		under := map[string]bool{}
		step := func(well bool) {
			name := rapid.SampledFrom(s.Order).Draw(t, "who").Name
			if under[name] {
				e := End{Warm: well || rapid.Bool().Draw(t, "warm"), Took: Micros(rapid.IntRange(1, 9_000_000).Draw(t, "took")), Cause: "x"}
				if !well {
					e.Refused = rapid.Float64Range(0, 1).Draw(t, "refused")
				}
				s.Ended(name, e)
				delete(under, name)
			} else if s.Concerns(name) {
				if ok, why := s.Ask(name); ok {
					under[name] = true
				} else if why == "" {
					t.Fatal("turned away without a word")
				}
			}
			if int64(len(s.Under)) > most || len(s.Under) != len(under) {
				t.Fatalf("%d under way, %d may be; %d are known here", len(s.Under), most, len(under))
			}
			if p := s.Pace / pacePart; p < 1 || p > most {
				t.Fatalf("pace %d of %d", p, most)
			}
			if raw, err := json.Marshal(s); err != nil {
				t.Fatal(err)
			} else if rapid.IntRange(0, 9).Draw(t, "read back") == 0 {
				s = &State{}
				json.Unmarshal(raw, s)
				s.Restored()
			}
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			step(false)
		}
		s.GoOn()
		for range 200 * len(s.Order) { // all ask in turn and come up well
			s.Rested(s.RestNo)
			for _, m := range s.Order {
				if s.Halted != "" {
					s.GoOn()
				}
				if under[m.Name] {
					s.Ended(m.Name, End{Warm: true, Took: 1_000_000})
					delete(under, m.Name)
				} else if ok, _ := s.Ask(m.Name); ok && s.Concerns(m.Name) {
					under[m.Name] = true
				}
			}
			if s.Over() {
				break
			}
		}
		if !s.Over() || len(s.Warm) != len(s.Order) {
			t.Fatalf("%d of %d came up, %d under way, halted %q", len(s.Warm), len(s.Order), len(s.Under), s.Halted)
		}
	})
}

// TestLeastFirst: once all have asked, none of a group's rest begins while one of any group's least is left waiting.
func TestLeastFirst(t *testing.T) {
	s, err := Begin("r", terms(4), members(3, 8, 2))
	if err != nil {
		t.Fatal(err)
	}
	if s.First != 6 {
		t.Fatalf("%d come first, want 6", s.First)
	}
	for round := 0; !s.Over(); round++ {
		var now []string
		rest := 0
		for i := len(s.Order) - 1; i >= 0; i-- { // the last in order asks first
			if m := s.Order[i]; s.Concerns(m.Name) {
				if ok, _ := s.Ask(m.Name); ok {
					now = append(now, m.Name)
					if i >= s.First {
						rest++
					}
				}
			}
		}
		for _, m := range s.Order[:s.First] {
			if _, under := s.Under[m.Name]; round > 0 && rest > 0 && !under && !s.Warm[m.Name] {
				t.Errorf("round %d: %s waits while %v begin", round, m.Name, now)
			}
		}
		for _, n := range now {
			s.Ended(n, End{Warm: true, Took: 1000})
		}
		if len(now) == 0 {
			t.Fatal("nobody may begin")
		}
	}
}

// TestPace: it doubles with each round while all goes well, falls at once and once for all that was started before, and
// stops after a row of failures with the cause.
func TestPace(t *testing.T) {
	s, _ := Begin("r", terms(64), members(1, 200, 4))
	round := func(e func(i int) End) (n int) {
		var now []string
		for _, m := range s.Order {
			if ok, _ := s.Ask(m.Name); ok && s.Concerns(m.Name) {
				now = append(now, m.Name)
			}
		}
		for i, name := range now {
			s.Ended(name, e(i))
		}
		return len(now)
	}
	well := func(int) End { return End{Warm: true, Took: 1_000_000} }
	for i, want := range []int{2, 4, 8, 16} {
		if n := round(well); n != want {
			t.Fatalf("round %d: %d started, want %d", i, n, want)
		}
	}
	if round(func(i int) End { return End{Warm: true, Took: 1_000_000, Refused: 0.5} }); s.Pace != 16*pacePart {
		t.Fatalf("32 that found it crowded: pace %d, want 16000: one fall for all", s.Pace)
	}
	before := s.Pace
	if round(well); s.Pace <= before || s.Pace > before+1100 {
		t.Fatalf("a round after a fall: pace from %d to %d, want one more", before, s.Pace)
	}
	// A release of which each start fails: halves of the pace, rests that grow, and after five in a row the end.
	before, rested := s.Pace, Micros(0)
	for i := range 5 {
		n := round(func(int) End { return End{Cause: "its configuration can't be read"} })
		if n == 0 || s.Halted == "" && s.Pace > before {
			t.Fatalf("fall %d: %d started, pace from %d to %d", i, n, before, s.Pace)
		}
		if ok, why := s.Ask(s.Order[199].Name); ok && s.Rest > 0 {
			t.Fatalf("started while it rests: %s", why)
		}
		if s.Halted == "" && i > 0 && s.Rest <= rested {
			t.Fatalf("fall %d: it rests for %d us, before for %d", i, s.Rest, rested)
		}
		before, rested = s.Pace, s.Rest
		s.Rested(s.RestNo - 1) // of another time
		if s.Rest != rested {
			t.Fatal("an older rest's end ended this one")
		}
		s.Rested(s.RestNo)
	}
	if s.Halted == "" {
		t.Fatal("a release of which each start fails goes on")
	}
	if n := round(well); n != 0 {
		t.Fatalf("%d started after the halt", n)
	}
	s.GoOn()
	if n := round(well); n != 2 {
		t.Fatalf("%d started after an operator had it go on, want 2", n)
	}
}
