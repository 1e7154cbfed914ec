package schedule

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestRandomRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		drawn := Random(seed, 5, 20, 24, 40*time.Second)
		read, err := Read("t.sx", []byte(drawn.String()))
		if err != nil {
			t.Fatalf("seed %d: %v\n%v", seed, err, drawn)
		}
		if !reflect.DeepEqual(drawn, read) {
			t.Fatalf("seed %d: written\n%vread\n%v", seed, drawn, read)
		}
		kinds := map[Kind]bool{}
		for _, f := range drawn.Faults {
			kinds[f.Kind] = true
		}
		if len(kinds) != len(Kinds()) {
			t.Fatalf("seed %d has %d kinds of %d", seed, len(kinds), len(Kinds()))
		}
	}
}

func TestUnusableSchedules(t *testing.T) {
	for text, wanted := range map[string]string{
		"(trial a (cut (at 1s) (on h1)))":           "t.sx:1:23: trial.cut.on: number of names is 1, expected 2: host, host",
		"(trial a (kill (at 1s) (on h9)))":          `unknown host "h9", expected h1 to h5`,
		"(trial a (death (at 1s) (on h1)))":         `unknown backend "h1", expected n1 to n20`,
		"(trial a (backends 0))":                    `found "0", wanted a whole number from 1 to 400`,
		"(trial a (quake (at 1s)))":                 "no such field",
		"(trial a (leader (at 1s) (on h1)))":        "number of names is 1, expected 0",
		"(trial a (stall (at 2h) (on h1) (on h2)))": "wanted a time from 0s to 1h0m0s",
		"(fleet a)": "expected exactly one list that begins with trial",
		"(trial a (point (at 1s) (on h1) (for 1s)))": "expected 2: host, word",
	} {
		if _, err := Read("t.sx", []byte(text)); err == nil || !strings.Contains(err.Error(), wanted) {
			t.Errorf("%s: %v, wanted %q", text, err, wanted)
		}
	}
}

func TestSmaller(t *testing.T) {
	drawn := Random(1, 5, 20, 24, time.Minute)
	all := drawn.Smaller()
	if n := len(all[0].Faults); n != 12 {
		t.Errorf("the first has %d faults of 24", n)
	}
	if n := len(all[len(all)-1].Faults); n != 23 || len(all) < 24 {
		t.Errorf("the last of %d has %d faults of 24", len(all), n)
	}
	if (&Schedule{Faults: drawn.Faults[:1]}).Smaller()[0].Faults == nil && len((&Schedule{Faults: drawn.Faults[:1]}).Smaller()) != 1 {
		t.Error("one fault alone can be taken out once")
	}
}

// TestBounds: of each field the first and last value that can be used, and the one beyond.
func TestBounds(t *testing.T) {
	cold := func(text string) string { return "(trial a (cold " + text + "))" }
	for _, c := range []struct{ good, bad, wanted string }{
		{"(trial a (hosts 1))", "(trial a (hosts 0))", "trial.hosts: found \"0\", wanted a whole number from 1 to 15"},
		{"(trial a (hosts 15))", "(trial a (hosts 16))", "trial.hosts"},
		{"(trial a (backends 400))", "(trial a (backends 401))", "trial.backends"},
		{"(trial a (seed 0))", "(trial a (seed -1))", "trial.seed"},
		{"(trial a (seed 4611686018427387904))", "(trial a (seed 4611686018427387905))", "trial.seed"},
		{"(trial a (span 1s))", "(trial a (span 999ms))", "trial.span: found \"999ms\", wanted a time from 1s to 1h0m0s"},
		{"(trial a (span 1h))", "(trial a (span 3601s))", "trial.span"},
		{"(trial a (load 0))", "(trial a (load -0.1))", "trial.load"},
		{"(trial a (load 4))", "(trial a (load 4.1))", "trial.load"},
		{"(trial a (skew 0))", "(trial a (skew -1))", "trial.skew"},
		{"(trial a (skew 45000))", "(trial a (skew 45001))", "trial.skew"},
		{"(trial a (wave 1h))", "(trial a (wave 3601s))", "trial.wave"},
		{"(trial a (wave 0s))", "(trial a (wave -1s))", "trial.wave"},
		{"(trial a (blackout (at 1h)))", "(trial a (blackout (at 3601s)))", "trial.blackout.at"},
		{"(trial a (blackout (for 1h)))", "(trial a (blackout (for 3601s)))", "trial.blackout.for"},
		{"(trial a (delay (on h1) (on h2) (by 1h)))", "(trial a (delay (on h1) (on h2) (by 3601s)))", "trial.delay.by"},
		{"(trial a (whole (on acme) (to 1073741824)))", "(trial a (whole (on acme) (to 1073741825)))", "trial.whole.to"},
		{"(trial a (whole (on acme) (to 0)))", "(trial a (whole (on acme) (to -1)))", "trial.whole.to"},
		{cold("(crowd 100000)"), cold("(crowd 100001)"), "trial.cold.crowd"},
		{cold("(crowd 0)"), cold("(crowd -1)"), "trial.cold.crowd"},
		{cold("(needs 1h)"), cold("(needs 3601s)"), "trial.cold.needs"},
		{cold("(rise 100000)"), cold("(rise 100001)"), "trial.cold.rise"},
		{cold("(rise 0)"), cold("(rise -1)"), "trial.cold.rise"},
		{cold("(reports fixed)"), cold("(reports never)"), "trial.cold.reports"},
		{cold("(phase (from 1h) (is down))"), cold("(phase (from 3601s) (is down))"), "trial.cold.phase.from"},
		{cold("(phase (is half) (takes 1m))"), cold("(phase (is half) (takes 61s))"), "trial.cold.phase.takes"},
		{cold("(phase (is refuses) (advice 1h))"), cold("(phase (is refuses) (advice 3601s))"), "trial.cold.phase.advice"},
		{cold("(phase (is silent))"), cold("(phase (is asleep))"), "trial.cold.phase.is"},
		{cold("(phase (is down)) (phase (from 1ns) (is takes))"), cold("(phase (is down)) (phase (from 0s) (is takes))"), "trial.cold.phase.from: 0s is not after the previous phase's start"},
		{cold("(phase (from 0s) (is down))"), cold("(phase (from 2s) (is down)) (phase (from 1s) (is takes))"), "1s is not after the previous phase's start"},
		{cold("(bounds (refusing 100) (first 100) (peak 100) (connections 1000) (listed 1h))"), cold("(bounds (refusing 101))"), "trial.cold.bounds.refusing"},
		{cold("(bounds)"), cold("(bounds (first 101))"), "trial.cold.bounds.first"},
		{cold("(bounds)"), cold("(bounds (peak 101))"), "trial.cold.bounds.peak"},
		{cold("(bounds)"), cold("(bounds (connections 1001))"), "trial.cold.bounds.connections"},
		{cold("(bounds)"), cold("(bounds (listed 3601s))"), "trial.cold.bounds.listed"},
		{cold("(bounds)"), cold("(bounds (most 1))"), "no such field"},
		{cold(""), cold("(pace 1)"), "no such field"},
		{cold("(phase (is down))"), cold("(phase (is down) (till 3s))"), "no such field"},
		{"(trial a (kill (on h1)))", "(trial a (kill (on h1) (till 3s)))", "no such field"},
		{"(trial a (kill (on h1)))", "(trial a (kill (on h1 (at 1s))))", "no field can stand here"},
		{"(trial a)", "(trial a (till 3s))", "no such field"},
		{"(trial a)", "(trial a) (trial b)", "expected exactly one list that begins with trial"},
		{"(trial a)", "", "expected exactly one list that begins with trial"},
		{"(trial a)", "(trial)", "found 0 words, wanted 1"},
	} {
		if _, err := Read("t.sx", []byte(c.good)); err != nil {
			t.Errorf("%s: %v", c.good, err)
		}
		if _, err := Read("t.sx", []byte(c.bad)); err == nil || !strings.Contains(err.Error(), c.wanted) {
			t.Errorf("%s: %v, wanted %q", c.bad, err, c.wanted)
		}
	}
}

// TestTargets: each kind names as many hosts and backends of the trial as it acts on, and keeps their order.
func TestTargets(t *testing.T) {
	for _, kind := range append(Kinds(), CrashPoint) {
		names := make([]string, 0, 2)
		for _, word := range kind.targets() {
			names = append(names, map[target]string{hostTarget: "h3", backendTarget: "n9", nameTarget: "acme"}[word])
		}
		if len(names) == 2 && names[1] == "h3" {
			names[1] = "h1"
		}
		read := func(names []string) (Fault, error) {
			text := "(trial a (hosts 3) (backends 9) (" + string(kind)
			for _, name := range names {
				text += " (on " + name + ")"
			}
			s, err := Read("t.sx", []byte(text+"))"))
			if err != nil {
				return Fault{}, err
			}
			return s.Faults[0], nil
		}
		f, err := read(names)
		if got := strings.Fields(f.Target + " " + f.Peer + " " + f.Name); err != nil || !slices.Equal(got, names) {
			t.Errorf("%s on %q: read as on %q, %v", kind, names, got, err)
		}
		if _, err := read(append(slices.Clone(names), "h1")); err == nil {
			t.Errorf("%s: one name too many was read", kind)
		}
		for i, word := range kind.targets() {
			if _, err := read(slices.Delete(slices.Clone(names), i, i+1)); err == nil {
				t.Errorf("%s: one name too few was read", kind)
			}
			bad := map[target][]string{hostTarget: {"h4", "h0", "n1", "h", "acme", "h-1", "hh1", "h01", "h+1", "hn1", "1", "\"\""}, backendTarget: {"n10", "n0", "h1", "n", "acme", "n-1", "nn1", "n01", "n+1", "hn1", "1", "\"\""}}[word]
			for _, name := range bad {
				wrong := slices.Clone(names)
				wrong[i] = name
				if _, err := read(wrong); err == nil {
					t.Errorf("%s on %q was read", kind, wrong)
				}
			}
		}
	}
}

// TestReadOrder: faults come in order of time, those of one time in the order of kinds; what is left out has its default.
func TestReadOrder(t *testing.T) {
	s, err := Read("t.sx", []byte("(trial a (kill (at 2s) (on h1)) (cut (at 2s) (on h1) (on h2)) (point (at 1s) (on h1) (on stored)))"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Schedule{Name: "a", Seed: 1, Hosts: 5, Backends: 20, Span: time.Minute, Load: 0.3, Faults: []Fault{
		{Kind: CrashPoint, At: time.Second, Target: "h1", Name: "stored"},
		{Kind: Cut, At: 2 * time.Second, Target: "h1", Peer: "h2"},
		{Kind: KillAgent, At: 2 * time.Second, Target: "h1"},
	}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("read\n%vwanted\n%v", s, want)
	}
	s, err = Read("t.sx", []byte("(trial a (cold))"))
	if err != nil || s.ColdStart.RecoveryTime != 5*time.Second || s.ColdStart.FixedReports || s.ColdStart.MaxConcurrent != 0 {
		t.Errorf("a cold start's defaults: %+v, %v", s.ColdStart, err)
	}
}

// TestRandomBounds: drawn faults begin and end so that a trial has time before and after them, and the faults that stop the
// quota store are not drawn without bound.
func TestRandomBounds(t *testing.T) {
	for seed := range uint64(20) {
		s := Random(seed, 1, 1, 120, 10*time.Second)
		hard := 0
		for _, f := range s.Faults {
			if f.At < 2*time.Second || f.At > 6*time.Second {
				t.Errorf("seed %d: %v, wanted from 2 s on, 4 s before the end", seed, f)
			}
			if f.Kind == Blackout || f.Kind == StaleStore {
				hard++
			}
		}
		if hard > 3 || len(s.Faults) != 120 {
			t.Errorf("seed %d: %d blackouts and stale stores, at most three; %d faults", seed, hard, len(s.Faults))
		}
		if !slices.IsSortedFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) }) {
			t.Errorf("seed %d: not in order of time: %v", seed, s)
		}
		if _, err := Read("t.sx", []byte(Random(seed, 2, 1, 19, time.Second).String())); err != nil {
			t.Errorf("seed %d: a span shorter than the quiet end: %v", seed, err)
		}
	}
}

// TestSmallerKeepsTheRest: each smaller schedule lacks one run of faults and is otherwise the same; the original stays.
func TestSmallerKeepsTheRest(t *testing.T) {
	drawn := Random(3, 5, 20, 21, time.Minute)
	before := drawn.String()
	for _, smaller := range drawn.Smaller() {
		rest := *smaller
		rest.Faults = drawn.Faults
		if !reflect.DeepEqual(&rest, drawn) || len(smaller.Faults) >= len(drawn.Faults) {
			t.Errorf("%v is not %v with fewer faults", smaller, drawn)
		}
	}
	if drawn.String() != before {
		t.Error("the schedule itself has changed")
	}
	if all := (&Schedule{}).Smaller(); len(all) != 0 {
		t.Errorf("%d smaller schedules of one without faults", len(all))
	}
}
