package schedule

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRandomRoundTrip verifies that a drawn schedule is the same after it is written and read, and has each kind.
func TestRandomRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		drawn := Random(seed, 5, 20, 24, 40*time.Second)
		read, err := Read("t.sx", []byte(drawn.String()))
		if err != nil {
			t.Fatalf("seed %d: %v\n%v", seed, err, drawn)
		}
		if !reflect.DeepEqual(drawn, read) {
			t.Fatalf("seed %d: drawn\n%vread\n%v", seed, drawn, read)
		}
		kinds := map[Kind]bool{}
		for _, f := range drawn.Faults {
			kinds[f.Kind] = true
		}
		if len(kinds) != len(Kinds()) {
			t.Fatalf("seed %d: got %d kinds, want %d", seed, len(kinds), len(Kinds()))
		}
	}
}

// TestInvalidSchedulesAreRejected verifies that Read rejects invalid schedules and names the cause.
func TestInvalidSchedulesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"(trial a (cut (at 1s) (on h1)))":           "t.sx:1:23: trial.cut.on: names: 1, expected 2: host, host",
		"(trial a (kill (at 1s) (on h9)))":          `unknown host "h9", expected h1 to h5`,
		"(trial a (death (at 1s) (on h1)))":         `unknown backend "h1", expected n1 to n20`,
		"(trial a (backends 0))":                    `found "0", wanted a whole number from 1 to 400`,
		"(trial a (quake (at 1s)))":                 "no such field",
		"(trial a (leader (at 1s) (on h1)))":        "names: 1, expected 0",
		"(trial a (stall (at 2h) (on h1) (on h2)))": "wanted a time from 0s to 1h0m0s",
		"(fleet a)": "expected exactly one list that begins with trial",
		"(trial a (point (at 1s) (on h1) (for 1s)))": "expected 2: host, word",
	} {
		if _, err := Read("t.sx", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// TestSmallerRemovesHalfFirst verifies that the first smaller schedule lacks half of the faults and the last one lacks
// one.
func TestSmallerRemovesHalfFirst(t *testing.T) {
	drawn := Random(1, 5, 20, 24, time.Minute)
	all := drawn.Smaller()
	if n := len(all[0].Faults); n != 12 {
		t.Errorf("the first smaller schedule has %d faults, want 12", n)
	}
	if n := len(all[len(all)-1].Faults); n != 23 || len(all) < 24 {
		t.Errorf("the last of %d smaller schedules has %d faults, want 24 or more schedules and 23 faults", len(all), n)
	}
	single := &Schedule{Faults: drawn.Faults[:1]}
	if shrunk := single.Smaller(); len(shrunk) != 1 || len(shrunk[0].Faults) != 0 {
		t.Errorf("a schedule with one fault has the smaller ones %v, want one without faults", shrunk)
	}
}

// cold returns a trial with fields of a cold start.
func cold(fields string) string {
	return "(trial a (cold " + fields + "))"
}

// fieldBounds lists forms with a valid value of a field and the same forms with an invalid one.
var fieldBounds = []struct{ valid, invalid, want string }{
	{
		valid:   "(trial a (hosts 1))",
		invalid: "(trial a (hosts 0))",
		want:    "trial.hosts: found \"0\", wanted a whole number from 1 to 15",
	},
	{
		valid:   "(trial a (hosts 15))",
		invalid: "(trial a (hosts 16))",
		want:    "trial.hosts",
	},
	{
		valid:   "(trial a (backends 400))",
		invalid: "(trial a (backends 401))",
		want:    "trial.backends",
	},
	{
		valid:   "(trial a (seed 0))",
		invalid: "(trial a (seed -1))",
		want:    "trial.seed",
	},
	{
		valid:   "(trial a (seed 4611686018427387904))",
		invalid: "(trial a (seed 4611686018427387905))",
		want:    "trial.seed",
	},
	{
		valid:   "(trial a (span 1s))",
		invalid: "(trial a (span 999ms))",
		want:    "trial.span: found \"999ms\", wanted a time from 1s to 1h0m0s",
	},
	{
		valid:   "(trial a (span 1h))",
		invalid: "(trial a (span 3601s))",
		want:    "trial.span",
	},
	{
		valid:   "(trial a (load 0))",
		invalid: "(trial a (load -0.1))",
		want:    "trial.load",
	},
	{
		valid:   "(trial a (load 4))",
		invalid: "(trial a (load 4.1))",
		want:    "trial.load",
	},
	{
		valid:   "(trial a (skew 0))",
		invalid: "(trial a (skew -1))",
		want:    "trial.skew",
	},
	{
		valid:   "(trial a (skew 45000))",
		invalid: "(trial a (skew 45001))",
		want:    "trial.skew",
	},
	{
		valid:   "(trial a (wave 1h))",
		invalid: "(trial a (wave 3601s))",
		want:    "trial.wave",
	},
	{
		valid:   "(trial a (wave 0s))",
		invalid: "(trial a (wave -1s))",
		want:    "trial.wave",
	},
	{
		valid:   "(trial a (blackout (at 1h)))",
		invalid: "(trial a (blackout (at 3601s)))",
		want:    "trial.blackout.at",
	},
	{
		valid:   "(trial a (blackout (for 1h)))",
		invalid: "(trial a (blackout (for 3601s)))",
		want:    "trial.blackout.for",
	},
	{
		valid:   "(trial a (delay (on h1) (on h2) (by 1h)))",
		invalid: "(trial a (delay (on h1) (on h2) (by 3601s)))",
		want:    "trial.delay.by",
	},
	{
		valid:   "(trial a (whole (on acme) (to 1073741824)))",
		invalid: "(trial a (whole (on acme) (to 1073741825)))",
		want:    "trial.whole.to",
	},
	{
		valid:   "(trial a (whole (on acme) (to 0)))",
		invalid: "(trial a (whole (on acme) (to -1)))",
		want:    "trial.whole.to",
	},
	{
		valid:   cold("(crowd 100000)"),
		invalid: cold("(crowd 100001)"),
		want:    "trial.cold.crowd",
	},
	{
		valid:   cold("(crowd 0)"),
		invalid: cold("(crowd -1)"),
		want:    "trial.cold.crowd",
	},
	{
		valid:   cold("(needs 1h)"),
		invalid: cold("(needs 3601s)"),
		want:    "trial.cold.needs",
	},
	{
		valid:   cold("(rise 100000)"),
		invalid: cold("(rise 100001)"),
		want:    "trial.cold.rise",
	},
	{
		valid:   cold("(rise 0)"),
		invalid: cold("(rise -1)"),
		want:    "trial.cold.rise",
	},
	{
		valid:   cold("(reports fixed)"),
		invalid: cold("(reports never)"),
		want:    "trial.cold.reports",
	},
	{
		valid:   cold("(phase (from 1h) (is down))"),
		invalid: cold("(phase (from 3601s) (is down))"),
		want:    "trial.cold.phase.from",
	},
	{
		valid:   cold("(phase (is half) (takes 1m))"),
		invalid: cold("(phase (is half) (takes 61s))"),
		want:    "trial.cold.phase.takes",
	},
	{
		valid:   cold("(phase (is refuses) (advice 1h))"),
		invalid: cold("(phase (is refuses) (advice 3601s))"),
		want:    "trial.cold.phase.advice",
	},
	{
		valid:   cold("(phase (is silent))"),
		invalid: cold("(phase (is asleep))"),
		want:    "trial.cold.phase.is",
	},
	{
		valid:   cold("(phase (is down)) (phase (from 1ns) (is takes))"),
		invalid: cold("(phase (is down)) (phase (from 0s) (is takes))"),
		want:    "trial.cold.phase.from: 0s is not after the previous phase's start",
	},
	{
		valid:   cold("(phase (from 0s) (is down))"),
		invalid: cold("(phase (from 2s) (is down)) (phase (from 1s) (is takes))"),
		want:    "1s is not after the previous phase's start",
	},
	{
		valid:   cold("(bounds (refusing 100) (first 100) (peak 100) (connections 1000) (listed 1h))"),
		invalid: cold("(bounds (refusing 101))"),
		want:    "trial.cold.bounds.refusing",
	},
	{
		valid:   cold("(bounds)"),
		invalid: cold("(bounds (first 101))"),
		want:    "trial.cold.bounds.first",
	},
	{
		valid:   cold("(bounds)"),
		invalid: cold("(bounds (peak 101))"),
		want:    "trial.cold.bounds.peak",
	},
	{
		valid:   cold("(bounds)"),
		invalid: cold("(bounds (connections 1001))"),
		want:    "trial.cold.bounds.connections",
	},
	{
		valid:   cold("(bounds)"),
		invalid: cold("(bounds (listed 3601s))"),
		want:    "trial.cold.bounds.listed",
	},
	{
		valid:   cold("(bounds)"),
		invalid: cold("(bounds (most 1))"),
		want:    "no such field",
	},
	{
		valid:   cold(""),
		invalid: cold("(pace 1)"),
		want:    "no such field",
	},
	{
		valid:   cold("(phase (is down))"),
		invalid: cold("(phase (is down) (till 3s))"),
		want:    "no such field",
	},
	{
		valid:   "(trial a (kill (on h1)))",
		invalid: "(trial a (kill (on h1) (till 3s)))",
		want:    "no such field",
	},
	{
		valid:   "(trial a (kill (on h1)))",
		invalid: "(trial a (kill (on h1 (at 1s))))",
		want:    "fields are not allowed here",
	},
	{
		valid:   "(trial a)",
		invalid: "(trial a (till 3s))",
		want:    "no such field",
	},
	{
		valid:   "(trial a)",
		invalid: "(trial a) (trial b)",
		want:    "expected exactly one list that begins with trial",
	},
	{
		valid:   "(trial a)",
		invalid: "",
		want:    "expected exactly one list that begins with trial",
	},
	{
		valid:   "(trial a)",
		invalid: "(trial)",
		want:    "found 0 words, wanted 1",
	},
}

// TestReadChecksFieldBounds verifies that Read accepts the bounds of each field and rejects the values beyond them.
func TestReadChecksFieldBounds(t *testing.T) {
	for _, c := range fieldBounds {
		if _, err := Read("t.sx", []byte(c.valid)); err != nil {
			t.Errorf("%s: %v", c.valid, err)
		}
		if _, err := Read("t.sx", []byte(c.invalid)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.invalid, err, c.want)
		}
	}
}

// TestReadChecksTargets verifies that each kind takes the hosts and backends that it acts on, in order, and no others.
func TestReadChecksTargets(t *testing.T) {
	invalidNames := map[target][]string{
		hostTarget:    {"h4", "h0", "n1", "h", "acme", "h-1", "hh1", "h01", "h+1", "hn1", "1", "\"\""},
		backendTarget: {"n10", "n0", "h1", "n", "acme", "n-1", "nn1", "n01", "n+1", "hn1", "1", "\"\""},
	}
	for _, kind := range append(Kinds(), CrashPoint) {
		names := make([]string, 0, 2)
		for _, want := range kind.targets() {
			names = append(names, map[target]string{hostTarget: "h3", backendTarget: "n9", nameTarget: "acme"}[want])
		}
		if len(names) == 2 && names[1] == "h3" {
			names[1] = "h1"
		}
		readFault := func(names []string) (Fault, error) {
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
		f, err := readFault(names)
		if got := strings.Fields(f.Target + " " + f.Peer + " " + f.Name); err != nil || !slices.Equal(got, names) {
			t.Errorf("%s on %q: got targets %q, error %v", kind, names, got, err)
		}
		if _, err := readFault(append(slices.Clone(names), "h1")); err == nil {
			t.Errorf("%s: an extra name was accepted", kind)
		}
		for i, want := range kind.targets() {
			if _, err := readFault(slices.Delete(slices.Clone(names), i, i+1)); err == nil {
				t.Errorf("%s: a missing name was accepted", kind)
			}
			for _, name := range invalidNames[want] {
				wrong := slices.Clone(names)
				wrong[i] = name
				if _, err := readFault(wrong); err == nil {
					t.Errorf("%s on %q was accepted", kind, wrong)
				}
			}
		}
	}
}

// TestReadSortsFaultsAndSetsDefaults verifies that faults are sorted by time and then by kind, and that omitted fields
// have their defaults.
func TestReadSortsFaultsAndSetsDefaults(t *testing.T) {
	s, err := Read("t.sx", []byte(`(trial a
		(kill (at 2s) (on h1))
		(cut (at 2s) (on h1) (on h2))
		(point (at 1s) (on h1) (on stored)))`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Schedule{Name: "a", Seed: 1, Hosts: 5, Backends: 20, Span: time.Minute, Load: 0.3, Faults: []Fault{
		{Kind: CrashPoint, At: time.Second, Target: "h1", Name: "stored"},
		{Kind: Cut, At: 2 * time.Second, Target: "h1", Peer: "h2"},
		{Kind: KillAgent, At: 2 * time.Second, Target: "h1"},
	}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got\n%vwant\n%v", s, want)
	}
	s, err = Read("t.sx", []byte("(trial a (cold))"))
	if err != nil || s.ColdStart.RecoveryTime != 5*time.Second ||
		s.ColdStart.FixedReports || s.ColdStart.MaxConcurrent != 0 {
		t.Errorf("defaults of a cold start: %+v, error %v", s.ColdStart, err)
	}
}

// TestRandomLimitsTimesAndBlackouts verifies that drawn faults leave time before and after them, are sorted by time,
// and include a limited number of blackouts and stale stores.
func TestRandomLimitsTimesAndBlackouts(t *testing.T) {
	for seed := range uint64(20) {
		s := Random(seed, 1, 1, 120, 10*time.Second)
		blackouts := 0
		for _, f := range s.Faults {
			if f.At < 2*time.Second || f.At > 6*time.Second {
				t.Errorf("seed %d: %v, want a time from 2 s after the start to 4 s before the end", seed, f)
			}
			if f.Kind == Blackout || f.Kind == StaleStore {
				blackouts++
			}
		}
		if blackouts > 3 || len(s.Faults) != 120 {
			t.Errorf(
				"seed %d: got %d blackouts and stale stores and %d faults, want at most 3 and 120",
				seed,
				blackouts,
				len(s.Faults),
			)
		}
		if !slices.IsSortedFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) }) {
			t.Errorf("seed %d: not sorted by time: %v", seed, s)
		}
		if _, err := Read("t.sx", []byte(Random(seed, 2, 1, 19, time.Second).String())); err != nil {
			t.Errorf("seed %d: a span shorter than quietEnd: %v", seed, err)
		}
	}
}

// TestSmallerKeepsOtherFields verifies that smaller schedules differ only in their faults, and that the original stays.
func TestSmallerKeepsOtherFields(t *testing.T) {
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
		t.Error("the original schedule has changed")
	}
	if all := (&Schedule{}).Smaller(); len(all) != 0 {
		t.Errorf("got %d smaller schedules of one without faults, want none", len(all))
	}
}
