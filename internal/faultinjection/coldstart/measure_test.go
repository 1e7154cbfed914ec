package coldstart

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// call returns an accepted report.
func call(name string, at time.Duration) Call { return Call{Name: name, At: at, Accepted: true} }

// almostEqual reports whether two numbers are equal except for rounding errors.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestBehaviorHasModeOfCurrentPhase verifies the mode of each time, also before the first and in the last phase.
func TestBehaviorHasModeOfCurrentPhase(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{From: time.Second, Mode: Down}, {From: 3 * time.Second, Mode: Accepts}}}
	modes := map[time.Duration]Mode{
		0:                 Accepts,
		time.Second - 1:   Accepts,
		time.Second:       Down,
		3*time.Second - 1: Down,
		3 * time.Second:   Accepts,
		time.Hour:         Accepts,
	}
	for at, mode := range modes {
		if got := b.At(at); got.Mode != mode {
			t.Errorf("at %v: got %s, want %s", at, got.Mode, mode)
		}
	}
	if until := b.Until(time.Second); until != 3*time.Second {
		t.Errorf("got an end of the phase at %v, want 3 s", until)
	}
	if until := b.Until(3 * time.Second); until != 3*time.Second+time.Hour {
		t.Errorf("got an end of the last phase at %v, want 1 h 3 s", until)
	}
	if at, ok := b.OutageEnd(); at != 3*time.Second || !ok {
		t.Errorf("got an end of the outage at %v, %v, want 3 s", at, ok)
	}
	if _, ok := (&RegistryBehavior{Phases: []Phase{{Mode: Accepts}, {From: 1, Mode: RejectsHalf}}}).OutageEnd(); ok {
		t.Error("a registry whose last phase rejects half of the reports has an end of its outage")
	}
	if at, ok := (&RegistryBehavior{}).OutageEnd(); at != 0 || !ok {
		t.Errorf("without phases: got an end of the outage at %v, %v, want 0", at, ok)
	}
}

// TestOutageIsMeasuredFromFirstCall verifies that calls during the outage are measured from the first one on.
func TestOutageIsMeasuredFromFirstCall(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Rejects}, {From: 10 * time.Second, Mode: Accepts}}}
	calls := make([]Call, 0, 22)
	for i := range 8 { // one per second, and four more within the sixth second
		calls = append(calls, Call{Name: "a", At: time.Duration(2+i) * time.Second})
	}
	for i := range 4 {
		calls = append(calls, Call{Name: "a", At: 6*time.Second + time.Duration(1+i)*100*ms})
	}
	for range 10 { // at the end of the outage
		calls = append(calls, call("a", 10*time.Second))
	}
	f := Measure(calls, b, 2, 500*ms, 20*time.Second)
	if !almostEqual(f.OrdinaryRate, 4) || !almostEqual(f.RefusingRate, 12.0/8) || !almostEqual(f.RefusingPeak, 5) {
		t.Errorf(
			"got an ordinary rate of %.2f, a refusing rate of %.2f and a refusing peak of %.2f, want 4, 1.5 and 5",
			f.OrdinaryRate,
			f.RefusingRate,
			f.RefusingPeak,
		)
	}
	f = Measure([]Call{call("a", 10*time.Second)}, b, 1, 500*ms, 20*time.Second)
	if f.RefusingRate != 0 || f.RefusingPeak != 0 {
		t.Errorf("no calls during the outage: got %+v", f)
	}
	down := &RegistryBehavior{Phases: []Phase{{Mode: Down}}}
	f = Measure([]Call{{Name: "a", At: 5 * time.Second}}, down, 1, 500*ms, 10*time.Second)
	if !almostEqual(f.RefusingRate, 0.2) || f.MostListed != -1 {
		t.Errorf("outage that never ends: got %+v", f)
	}
}

// TestBackendIsListedByFirstAcceptedReportAfterOutage verifies that a backend is listed by its first report that is
// accepted after the outage.
func TestBackendIsListedByFirstAcceptedReportAfterOutage(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: RejectsHalf}, {From: 10 * time.Second, Mode: Accepts}}}
	calls := []Call{
		call("a", 9*time.Second), // during the outage
		{Name: "b", At: 11 * time.Second},
		{Name: "c", At: 11 * time.Second, Accepted: true, Deregisters: true},
		call("a", 12*time.Second), call("a", 13*time.Second), call("b", 14*time.Second), call("c", 18*time.Second),
	}
	f := Measure(calls, b, 4, 500*ms, 19*time.Second)
	if !almostEqual(f.HalfListed, 4) || f.MostListed != -1 {
		t.Errorf("got half %v and most %v, want 4 and -1", f.HalfListed, f.MostListed)
	}
	if f.Peak != 0 {
		t.Errorf("got a peak of %.2f without a complete listing, want 0", f.Peak)
	}
	if f := Measure(calls, b, 2, 500*ms, 19*time.Second); !almostEqual(f.HalfListed, 2) {
		t.Errorf("got half %v, want 2: reports during the outage do not count", f.HalfListed)
	}
	f = Measure(calls, b, 3, 500*ms, 19*time.Second)
	if !almostEqual(f.HalfListed, 4) || !almostEqual(f.MostListed, 8) || f.Listed != 1 {
		t.Errorf("got half %v, most %v and %d listed, want 4, 8 and 1", f.HalfListed, f.MostListed, f.Listed)
	}
}

// TestBurstsAfterOutageAreMeasured verifies that FirstPeak compares the first second with OrdinaryRate, and Peak later
// tenths of a second with their mean.
func TestBurstsAfterOutageAreMeasured(t *testing.T) {
	b := &RegistryBehavior{}
	calls := make([]Call, 0, 108)
	for i := range 100 { // ten per second
		calls = append(calls, call("a", time.Duration(i)*100*ms))
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !almostEqual(f.FirstPeak, 1) || !almostEqual(f.Peak, 1) {
		t.Errorf("even calls: got first %.2f and peak %.2f, want 1 and 1", f.FirstPeak, f.Peak)
	}
	withBursts := slices.Clone(calls)
	for range 5 { // after the first second, and before EntryTTL has passed
		withBursts = append(withBursts, call("a", 1510*ms))
	}
	for range 3 { // after the end
		withBursts = append(withBursts, call("a", 9970*ms))
	}
	if f := Measure(withBursts, b, 1, 100*ms, 9950*ms); !almostEqual(f.FirstPeak, 1) || f.Peak > 1.01 {
		t.Errorf(
			"bursts after the first second and after the end: got first %.2f and peak %.2f, want 1 and 1",
			f.FirstPeak,
			f.Peak,
		)
	}
	for range 3 {
		calls = append(calls, call("a", 980*ms), call("a", 1005*ms)) // six within 25 ms that lie in two tenths
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !almostEqual(f.FirstPeak, 7) || !almostEqual(f.Peak, 1) {
		t.Errorf("six at the end of the first second: got first %.2f and peak %.2f, want 7 and 1", f.FirstPeak, f.Peak)
	}
	calls = append(calls, call("a", 2940*ms)) // EntryTTL has not passed since all were listed
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !almostEqual(f.Peak, 1) {
		t.Errorf("one more before EntryTTL has passed: got peak %.2f, want 1", f.Peak)
	}
	calls = append(calls, call("a", 5060*ms))
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); f.Peak < 1.9 || f.Peak > 2 {
		t.Errorf("two in a tenth: got peak %.2f, want 1.9 to 2", f.Peak)
	}
}

// TestEntryExpiresWithoutAcceptedReport verifies that an entry expires after three seconds without an accepted report.
func TestEntryExpiresWithoutAcceptedReport(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: RejectsHalf}, {From: time.Second, Mode: Accepts}}}
	calls := []Call{
		call("a", 500*ms), call("a", 4*time.Second), // the first is during the outage
		call("a", 7*time.Second),         // exactly EntryTTL later
		{Name: "a", At: 9 * time.Second}, // not accepted
		call("a", 10*time.Second+500*ms), call("b", 11*time.Second), call("c", 8*time.Second),
	}
	f := Measure(calls, b, 3, 500*ms, 11*time.Second)
	if f.Expired != 1 || !almostEqual(f.LongestExpiry, 0.5) || f.Listed != 3 {
		t.Errorf(
			"got %d expirations, the longest of %v s, and %d listed, want 1, 0.5 and 3",
			f.Expired,
			f.LongestExpiry,
			f.Listed,
		)
	}
	if f := Measure(calls, b, 3, 500*ms, 11*time.Second+1); f.Listed != 2 {
		t.Errorf("got %d listed, want 2: one entry expired just before the end", f.Listed)
	}
}

// TestFiguresBeyondBoundsAreViolations verifies that a value at its bound passes, that a value beyond is a violation,
// and that a bound of 0 is not checked.
func TestFiguresBeyondBoundsAreViolations(t *testing.T) {
	atBounds := Figures{
		Backends:     10,
		OrdinaryRate: 20,
		RefusingRate: 10,
		FirstPeak:    2,
		Peak:         3,
		MostListed:   6,
		Connections:  30,
		Listed:       10,
	}
	bounds := Bounds{RefusingRatio: 0.5, FirstPeak: 2, Peak: 3, ConnectionsPerBackend: 3, MostListed: 6}
	if all := atBounds.Violations(bounds); len(all) > 0 {
		t.Errorf("figures at their bounds: got violations %q", all)
	}
	for _, c := range []struct {
		change func(*Figures)
		want   string
		always bool // whether it is a violation without bounds
	}{
		{
			change: func(f *Figures) { f.RefusingRate = 10.1 },
			want:   "10 calls a second while it took nothing, 10 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.FirstPeak = 2.1 },
			want:   "a tenth of the first second had 2.10 times the mean, 2.00 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.Peak = 3.1 },
			want:   "a tenth of a second had 3.10 times the mean once all were listed, 3.00 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.Connections = 31 },
			want:   "31 connections were open, 30 may be",
			always: false,
		},
		{
			change: func(f *Figures) { f.MostListed = 6.1 },
			want:   "95 in a hundred were listed after 6.1 s, within 6.0 s it has to be",
			always: false,
		},
		{
			change: func(f *Figures) { f.MostListed = -1 },
			want:   "95 in a hundred were listed after -1.0 s, within 6.0 s it has to be",
			always: false,
		},
		{
			change: func(f *Figures) { f.Collapses = 1 },
			want:   "it fell over 1 times",
			always: true,
		},
		{
			change: func(f *Figures) { f.Expired, f.LongestExpiry = 2, 0.5 },
			want:   "2 entries lapsed, for up to 0.5 s",
			always: true,
		},
		{
			change: func(f *Figures) { f.Listed = 9 },
			want:   "9 of 10 are listed at the end",
			always: true,
		},
	} {
		f := atBounds
		c.change(&f)
		if all := f.Violations(bounds); len(all) != 1 || all[0] != c.want {
			t.Errorf("got %q, want only %q", all, c.want)
		}
		if all := f.Violations(Bounds{}); (len(all) == 1) != c.always {
			t.Errorf("%s: without bounds got %q", c.want, strings.Join(all, "; "))
		}
	}
}
