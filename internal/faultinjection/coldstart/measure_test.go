package coldstart

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// call returns an accepted report.
func call(name string, at time.Duration) Call { return Call{Name: name, At: at, Counted: true} }

// near reports whether two numbers are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestBehavior verifies the mode of each time, also before the first and in the last phase.
func TestBehavior(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{From: time.Second, Mode: Down}, {From: 3 * time.Second, Mode: Takes}}}
	modes := map[time.Duration]Mode{
		0:                 Takes,
		time.Second - 1:   Takes,
		time.Second:       Down,
		3*time.Second - 1: Down,
		3 * time.Second:   Takes,
		time.Hour:         Takes,
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
	if at, ok := b.Returned(); at != 3*time.Second || !ok {
		t.Errorf("got return at %v, %v, want 3 s", at, ok)
	}
	if _, ok := (&RegistryBehavior{Phases: []Phase{{Mode: Takes}, {From: 1, Mode: Half}}}).Returned(); ok {
		t.Error("a registry that rejects half of the reports in its last phase has returned")
	}
	if at, ok := (&RegistryBehavior{}).Returned(); at != 0 || !ok {
		t.Errorf("without phases: got return at %v, %v, want 0", at, ok)
	}
}

// TestRefusingFigures verifies that calls before the registry's return are measured from the first one on.
func TestRefusingFigures(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Refuses}, {From: 10 * time.Second, Mode: Takes}}}
	calls := make([]Call, 0, 22)
	for i := range 8 { // one per second, and four more within the sixth second
		calls = append(calls, Call{Name: "a", At: time.Duration(2+i) * time.Second})
	}
	for i := range 4 {
		calls = append(calls, Call{Name: "a", At: 6*time.Second + time.Duration(1+i)*100*ms})
	}
	for range 10 { // at the return
		calls = append(calls, call("a", 10*time.Second))
	}
	f := Measure(calls, b, 2, 500*ms, 20*time.Second)
	if !near(f.Ordinary, 4) || !near(f.Refusing, 12.0/8) || !near(f.Worst, 5) {
		t.Errorf("got ordinary %.2f, refusing %.2f and worst %.2f, want 4, 1.5 and 5", f.Ordinary, f.Refusing, f.Worst)
	}
	if f := Measure([]Call{call("a", 10*time.Second)}, b, 1, 500*ms, 20*time.Second); f.Refusing != 0 || f.Worst != 0 {
		t.Errorf("no calls before the return: got %+v", f)
	}
	down := &RegistryBehavior{Phases: []Phase{{Mode: Down}}}
	f = Measure([]Call{{Name: "a", At: 5 * time.Second}}, down, 1, 500*ms, 10*time.Second)
	if !near(f.Refusing, 0.2) || f.Most != -1 {
		t.Errorf("registry that never returned: got %+v", f)
	}
}

// TestListedFigures verifies that a backend is listed by its first report that is accepted after the return.
func TestListedFigures(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Half}, {From: 10 * time.Second, Mode: Takes}}}
	calls := []Call{
		call("a", 9*time.Second), // before the return
		{Name: "b", At: 11 * time.Second},
		{Name: "c", At: 11 * time.Second, Counted: true, Off: true},
		call("a", 12*time.Second), call("a", 13*time.Second), call("b", 14*time.Second), call("c", 18*time.Second),
	}
	f := Measure(calls, b, 4, 500*ms, 19*time.Second)
	if !near(f.Half, 4) || f.Most != -1 {
		t.Errorf("got half %v and most %v, want 4 and -1", f.Half, f.Most)
	}
	if f.Peak != 0 {
		t.Errorf("got a peak of %.2f without a complete listing, want 0", f.Peak)
	}
	if f := Measure(calls, b, 2, 500*ms, 19*time.Second); !near(f.Half, 2) {
		t.Errorf("got half %v, want 2: reports before the return do not count", f.Half)
	}
	f = Measure(calls, b, 3, 500*ms, 19*time.Second)
	if !near(f.Half, 4) || !near(f.Most, 8) || f.Listed != 1 {
		t.Errorf("got half %v, most %v and %d listed, want 4, 8 and 1", f.Half, f.Most, f.Listed)
	}
}

// TestBursts verifies that First compares the first second with the ordinary rate, and Peak later tenths of a second
// with their mean.
func TestBursts(t *testing.T) {
	b := &RegistryBehavior{}
	calls := make([]Call, 0, 108)
	for i := range 100 { // ten per second
		calls = append(calls, call("a", time.Duration(i)*100*ms))
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.First, 1) || !near(f.Peak, 1) {
		t.Errorf("even calls: got first %.2f and peak %.2f, want 1 and 1", f.First, f.Peak)
	}
	withBursts := slices.Clone(calls)
	for range 5 { // after the first second, and before Lapse has passed
		withBursts = append(withBursts, call("a", 1510*ms))
	}
	for range 3 { // after the end
		withBursts = append(withBursts, call("a", 9970*ms))
	}
	if f := Measure(withBursts, b, 1, 100*ms, 9950*ms); !near(f.First, 1) || f.Peak > 1.01 {
		t.Errorf(
			"bursts after the first second and after the end: got first %.2f and peak %.2f, want 1 and 1",
			f.First,
			f.Peak,
		)
	}
	for range 3 {
		calls = append(calls, call("a", 980*ms), call("a", 1005*ms)) // six within 25 ms that lie in two tenths
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.First, 7) || !near(f.Peak, 1) {
		t.Errorf("six at the end of the first second: got first %.2f and peak %.2f, want 7 and 1", f.First, f.Peak)
	}
	calls = append(calls, call("a", 2940*ms)) // Lapse has not passed since all were listed
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.Peak, 1) {
		t.Errorf("one more before Lapse has passed: got peak %.2f, want 1", f.Peak)
	}
	calls = append(calls, call("a", 5060*ms))
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); f.Peak < 1.9 || f.Peak > 2 {
		t.Errorf("two in a tenth: got peak %.2f, want 1.9 to 2", f.Peak)
	}
}

// TestLapses verifies that an entry lapses after three seconds without an accepted report.
func TestLapses(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Half}, {From: time.Second, Mode: Takes}}}
	calls := []Call{
		call("a", 500*ms), call("a", 4*time.Second), // the first is before the return
		call("a", 7*time.Second),         // exactly Lapse later
		{Name: "a", At: 9 * time.Second}, // not accepted
		call("a", 10*time.Second+500*ms), call("b", 11*time.Second), call("c", 8*time.Second),
	}
	f := Measure(calls, b, 3, 500*ms, 11*time.Second)
	if f.Lapsed != 1 || !near(f.LapsedFor, 0.5) || f.Listed != 3 {
		t.Errorf("got %d lapses, the longest %v s, and %d listed, want 1, 0.5 and 3", f.Lapsed, f.LapsedFor, f.Listed)
	}
	if f := Measure(calls, b, 3, 500*ms, 11*time.Second+1); f.Listed != 2 {
		t.Errorf("got %d listed, want 2: one entry lapsed just before the end", f.Listed)
	}
}

// TestBoundsOfFigures verifies that a value at its bound passes, that a value beyond is a violation, and that a bound
// of 0 is not checked.
func TestBoundsOfFigures(t *testing.T) {
	good := Figures{Backends: 10, Ordinary: 20, Refusing: 10, First: 2, Peak: 3, Most: 6, Conns: 30, Listed: 10}
	bounds := Bounds{Refusing: 0.5, First: 2, Peak: 3, Conns: 3, Most: 6}
	if all := good.Violations(bounds); len(all) > 0 {
		t.Errorf("figures at their bounds: got violations %q", all)
	}
	for _, c := range []struct {
		change func(*Figures)
		want   string
		always bool // whether it is a violation without bounds
	}{
		{
			change: func(f *Figures) { f.Refusing = 10.1 },
			want:   "10 calls a second while it took nothing, 10 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.First = 2.1 },
			want:   "a tenth of the first second had 2.10 times the mean, 2.00 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.Peak = 3.1 },
			want:   "a tenth of a second had 3.10 times the mean once all were listed, 3.00 may come",
			always: false,
		},
		{
			change: func(f *Figures) { f.Conns = 31 },
			want:   "31 connections were open, 30 may be",
			always: false,
		},
		{
			change: func(f *Figures) { f.Most = 6.1 },
			want:   "95 in a hundred were listed after 6.1 s, within 6.0 s it has to be",
			always: false,
		},
		{
			change: func(f *Figures) { f.Most = -1 },
			want:   "95 in a hundred were listed after -1.0 s, within 6.0 s it has to be",
			always: false,
		},
		{
			change: func(f *Figures) { f.Falls = 1 },
			want:   "it fell over 1 times",
			always: true,
		},
		{
			change: func(f *Figures) { f.Lapsed, f.LapsedFor = 2, 0.5 },
			want:   "2 entries lapsed, for up to 0.5 s",
			always: true,
		},
		{
			change: func(f *Figures) { f.Listed = 9 },
			want:   "9 of 10 are listed at the end",
			always: true,
		},
	} {
		f := good
		c.change(&f)
		if all := f.Violations(bounds); len(all) != 1 || all[0] != c.want {
			t.Errorf("got %q, want only %q", all, c.want)
		}
		if all := f.Violations(Bounds{}); (len(all) == 1) != c.always {
			t.Errorf("%s: without bounds got %q", c.want, strings.Join(all, "; "))
		}
	}
}
