package coldstart

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func terms(most int64) Config {
	return Config{MaxConcurrent: most, InitialConcurrent: min(2, most), MinServing: 0.25, MaxFailures: 5, SlowFactor: 3, MaxRejected: 0.1}
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
		s, err := New("r", terms(most), members(rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 12).Draw(t, "each"), 3))
		if err != nil {
			t.Fatal(err)
		}
		under := map[string]bool{}
		step := func(well bool) {
			name := rapid.SampledFrom(s.Members).Draw(t, "who").Name
			if under[name] {
				e := Outcome{Ready: well || rapid.Bool().Draw(t, "warm"), Took: Micros(rapid.IntRange(1, 9_000_000).Draw(t, "took")), Cause: "x"}
				if !well {
					e.Rejected = rapid.Float64Range(0, 1).Draw(t, "refused")
				}
				s.Report(name, e)
				delete(under, name)
			} else if s.Pending(name) {
				if ok, why := s.RequestStart(name); ok {
					under[name] = true
				} else if why == "" {
					t.Fatal("turned away without a word")
				}
			}
			if int64(len(s.Starting)) > most || len(s.Starting) != len(under) {
				t.Fatalf("%d under way, %d may be; %d are known here", len(s.Starting), most, len(under))
			}
			if p := s.ScaledLimit / limitScale; p < 1 || p > most {
				t.Fatalf("pace %d of %d", p, most)
			}
			if raw, err := json.Marshal(s); err != nil {
				t.Fatal(err)
			} else if rapid.IntRange(0, 9).Draw(t, "read back") == 0 {
				s = &State{}
				if err := json.Unmarshal(raw, s); err != nil {
					t.Fatal(err)
				}
				s.RebuildIndex()
			}
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			step(false)
		}
		s.Resume()
		for range 200 * len(s.Members) { // all ask in turn and come up well
			s.EndPause(s.PauseNumber)
			for _, m := range s.Members {
				if s.HaltReason != "" {
					s.Resume()
				}
				if under[m.Name] {
					s.Report(m.Name, Outcome{Ready: true, Took: 1_000_000})
					delete(under, m.Name)
				} else if ok, _ := s.RequestStart(m.Name); ok && s.Pending(m.Name) {
					under[m.Name] = true
				}
			}
			if s.Done() {
				break
			}
		}
		if !s.Done() || len(s.Ready) != len(s.Members) {
			t.Fatalf("%d of %d came up, %d under way, halted %q", len(s.Ready), len(s.Members), len(s.Starting), s.HaltReason)
		}
	})
}

// TestLeastFirst: once all have asked, none of a group's rest begins while one of any group's least is left waiting.
func TestLeastFirst(t *testing.T) {
	s, err := New("r", terms(4), members(3, 8, 2))
	if err != nil {
		t.Fatal(err)
	}
	if s.Essential != 6 {
		t.Fatalf("%d come first, want 6", s.Essential)
	}
	for round := 0; !s.Done(); round++ {
		var now []string
		rest := 0
		for i := len(s.Members) - 1; i >= 0; i-- { // the last in order asks first
			if m := s.Members[i]; s.Pending(m.Name) {
				if ok, _ := s.RequestStart(m.Name); ok {
					now = append(now, m.Name)
					if i >= s.Essential {
						rest++
					}
				}
			}
		}
		for _, m := range s.Members[:s.Essential] {
			if _, under := s.Starting[m.Name]; round > 0 && rest > 0 && !under && !s.Ready[m.Name] {
				t.Errorf("round %d: %s waits while %v begin", round, m.Name, now)
			}
		}
		for _, n := range now {
			s.Report(n, Outcome{Ready: true, Took: 1000})
		}
		if len(now) == 0 {
			t.Fatal("nobody may begin")
		}
	}
}

// TestPace: it doubles with each round while all goes well, falls at once and once for all that was started before, and
// stops after a row of failures with the cause.
func TestPace(t *testing.T) {
	s, _ := New("r", terms(64), members(1, 200, 4))
	round := func(e func(i int) Outcome) (n int) {
		var now []string
		for _, m := range s.Members {
			if ok, _ := s.RequestStart(m.Name); ok && s.Pending(m.Name) {
				now = append(now, m.Name)
			}
		}
		for i, name := range now {
			s.Report(name, e(i))
		}
		return len(now)
	}
	well := func(int) Outcome { return Outcome{Ready: true, Took: 1_000_000} }
	for i, want := range []int{2, 4, 8, 16} {
		if n := round(well); n != want {
			t.Fatalf("round %d: %d started, want %d", i, n, want)
		}
	}
	if round(func(int) Outcome { return Outcome{Ready: true, Took: 1_000_000, Rejected: 0.5} }); s.ScaledLimit != 16*limitScale {
		t.Fatalf("32 that found it crowded: pace %d, want 16000: one fall for all", s.ScaledLimit)
	}
	before := s.ScaledLimit
	if round(well); s.ScaledLimit <= before || s.ScaledLimit > before+1100 {
		t.Fatalf("a round after a fall: pace from %d to %d, want one more", before, s.ScaledLimit)
	}
	// A release of which each start fails: halves of the pace, rests that grow, and after five in a row the end.
	before, rested := s.ScaledLimit, Micros(0)
	for i := range 5 {
		n := round(func(int) Outcome { return Outcome{Cause: "its configuration can't be read"} })
		if n == 0 || s.HaltReason == "" && s.ScaledLimit > before {
			t.Fatalf("fall %d: %d started, pace from %d to %d", i, n, before, s.ScaledLimit)
		}
		if ok, why := s.RequestStart(s.Members[199].Name); ok && s.Pause > 0 {
			t.Fatalf("started while it rests: %s", why)
		}
		if s.HaltReason == "" && i > 0 && s.Pause <= rested {
			t.Fatalf("fall %d: it rests for %d us, before for %d", i, s.Pause, rested)
		}
		before, rested = s.ScaledLimit, s.Pause
		s.EndPause(s.PauseNumber - 1) // of another time
		if s.Pause != rested {
			t.Fatal("an older rest's end ended this one")
		}
		s.EndPause(s.PauseNumber)
	}
	if s.HaltReason == "" {
		t.Fatal("a release of which each start fails goes on")
	}
	if n := round(well); n != 0 {
		t.Fatalf("%d started after the halt", n)
	}
	s.Resume()
	if n := round(well); n != 2 {
		t.Fatalf("%d started after an operator had it go on, want 2", n)
	}
}
