package coldstart

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// call is one report that was taken.
func call(name string, at time.Duration) Call { return Call{Name: name, At: at, Counted: true} }

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

// TestBehavior: phases follow each other; what is before the first, and after the last, is defined.
func TestBehavior(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{From: time.Second, Mode: Down}, {From: 3 * time.Second, Mode: Takes}}}
	for at, mode := range map[time.Duration]Mode{0: Takes, time.Second - 1: Takes, time.Second: Down, 3*time.Second - 1: Down, 3 * time.Second: Takes, time.Hour: Takes} {
		if got := b.At(at); got.Mode != mode {
			t.Errorf("at %v: %s, wanted %s", at, got.Mode, mode)
		}
	}
	if until := b.Until(time.Second); until != 3*time.Second {
		t.Errorf("down until %v", until)
	}
	if until := b.Until(3 * time.Second); until != 3*time.Second+time.Hour {
		t.Errorf("the last phase lasts until %v", until)
	}
	if at, ever := b.Returned(); at != 3*time.Second || !ever {
		t.Errorf("returned at %v, %v", at, ever)
	}
	if _, ever := (&RegistryBehavior{Phases: []Phase{{Mode: Takes}, {From: 1, Mode: Half}}}).Returned(); ever {
		t.Error("one that refuses half for good has returned")
	}
	if at, ever := (&RegistryBehavior{}).Returned(); at != 0 || !ever {
		t.Errorf("one without phases: %v, %v", at, ever)
	}
}

// TestRefusingFigures: calls while it took nothing count from the first one on.
func TestRefusingFigures(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Refuses}, {From: 10 * time.Second, Mode: Takes}}}
	calls := make([]Call, 0, 22)
	for i := range 8 { // one a second, and four more within the sixth
		calls = append(calls, Call{Name: "a", At: time.Duration(2+i) * time.Second})
	}
	for i := range 4 {
		calls = append(calls, Call{Name: "a", At: 6*time.Second + time.Duration(1+i)*100*ms})
	}
	for range 10 { // as it returned
		calls = append(calls, call("a", 10*time.Second))
	}
	f := Measure(calls, b, 2, 500*ms, 20*time.Second)
	if !near(f.Ordinary, 4) || !near(f.Refusing, 12.0/8) || !near(f.Worst, 5) {
		t.Errorf("%.2f a second ordinarily, %.2f while it took nothing, at most %.2f, wanted 4, 1.5 and 5", f.Ordinary, f.Refusing, f.Worst)
	}
	if f := Measure([]Call{call("a", 10*time.Second)}, b, 1, 500*ms, 20*time.Second); f.Refusing != 0 || f.Worst != 0 {
		t.Errorf("nobody called while it took nothing: %+v", f)
	}
	if f := Measure([]Call{{Name: "a", At: 5 * time.Second}}, &RegistryBehavior{Phases: []Phase{{Mode: Down}}}, 1, 500*ms, 10*time.Second); !near(f.Refusing, 0.2) || f.Most != -1 {
		t.Errorf("one that never returned: %+v", f)
	}
}

// TestListedFigures: a backend is listed by its first report that was taken since the return.
func TestListedFigures(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Half}, {From: 10 * time.Second, Mode: Takes}}}
	calls := []Call{
		call("a", 9*time.Second), // before its return
		{Name: "b", At: 11 * time.Second},
		{Name: "c", At: 11 * time.Second, Counted: true, Off: true},
		call("a", 12*time.Second), call("a", 13*time.Second), call("b", 14*time.Second), call("c", 18*time.Second),
	}
	f := Measure(calls, b, 4, 500*ms, 19*time.Second)
	if !near(f.Half, 4) || f.Most != -1 {
		t.Errorf("half listed after %v, nearly all after %v, wanted 4 and never", f.Half, f.Most)
	}
	if f.Peak != 0 {
		t.Errorf("never listed, and yet bunched by %.2f", f.Peak)
	}
	if f := Measure(calls, b, 2, 500*ms, 19*time.Second); !near(f.Half, 2) {
		t.Errorf("one of two listed after %v, wanted 2: what was taken before its return does not count", f.Half)
	}
	f = Measure(calls, b, 3, 500*ms, 19*time.Second)
	if !near(f.Half, 4) || !near(f.Most, 8) || f.Listed != 1 {
		t.Errorf("half listed after %v, nearly all after %v, %d at the end, wanted 4, 8 and 1", f.Half, f.Most, f.Listed)
	}
}

// TestBunching: the fullest tenth of the first second goes by the ordinary mean, later ones by their own.
func TestBunching(t *testing.T) {
	b := &RegistryBehavior{}
	calls := make([]Call, 0, 108)
	for i := range 100 { // ten a second
		calls = append(calls, call("a", time.Duration(i)*100*ms))
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.First, 1) || !near(f.Peak, 1) {
		t.Errorf("even: %.2f in the first second, %.2f once listed", f.First, f.Peak)
	}
	bunched := slices.Clone(calls)
	for range 5 { // past the first second, and before entries could lapse
		bunched = append(bunched, call("a", 1510*ms))
	}
	for range 3 { // past the end
		bunched = append(bunched, call("a", 9970*ms))
	}
	if f := Measure(bunched, b, 1, 100*ms, 9950*ms); !near(f.First, 1) || f.Peak > 1.01 {
		t.Errorf("bunches past the first second and past the end: %.2f and %.2f", f.First, f.Peak)
	}
	for range 3 {
		calls = append(calls, call("a", 980*ms), call("a", 1005*ms)) // six within 25 ms, over the edge of two tenths
	}
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.First, 7) || !near(f.Peak, 1) {
		t.Errorf("six at the end of the first second: %.2f and %.2f, wanted 7 and 1", f.First, f.Peak)
	}
	calls = append(calls, call("a", 2940*ms)) // Lapse after all were listed has not passed
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); !near(f.Peak, 1) {
		t.Errorf("one more before entries could lapse: %.2f, wanted 1", f.Peak)
	}
	calls = append(calls, call("a", 5060*ms))
	if f := Measure(calls, b, 1, 100*ms, 10*time.Second); f.Peak < 1.9 || f.Peak > 2 {
		t.Errorf("two in a tenth: %.2f, wanted nearly 2", f.Peak)
	}
}

// TestLapses: an entry lapses after three seconds without a report that was taken.
func TestLapses(t *testing.T) {
	b := &RegistryBehavior{Phases: []Phase{{Mode: Half}, {From: time.Second, Mode: Takes}}}
	calls := []Call{
		call("a", 500*ms), call("a", 4*time.Second), // the first is from before the return
		call("a", 7*time.Second),         // as long as an entry stands
		{Name: "a", At: 9 * time.Second}, // not taken
		call("a", 10*time.Second+500*ms), call("b", 11*time.Second), call("c", 8*time.Second),
	}
	f := Measure(calls, b, 3, 500*ms, 11*time.Second)
	if f.Lapsed != 1 || !near(f.LapsedFor, 0.5) || f.Listed != 3 {
		t.Errorf("%d lapses, the longest %v s, %d listed, wanted 1, 0.5 and 3", f.Lapsed, f.LapsedFor, f.Listed)
	}
	if f := Measure(calls, b, 3, 500*ms, 11*time.Second+1); f.Listed != 2 {
		t.Errorf("%d listed, one of them lapsed an instant before the end", f.Listed)
	}
}

// TestBoundsOfFigures: what is at its bound holds, what is beyond is named; a bound of 0 is not judged.
func TestBoundsOfFigures(t *testing.T) {
	good := Figures{Backends: 10, Ordinary: 20, Refusing: 10, First: 2, Peak: 3, Most: 6, Conns: 30, Listed: 10}
	bounds := Bounds{Refusing: 0.5, First: 2, Peak: 3, Conns: 3, Most: 6}
	if all := good.Violations(bounds); len(all) > 0 {
		t.Errorf("at its bounds: %q", all)
	}
	for _, c := range []struct {
		change func(*Figures)
		want   string
		judged bool // whatever the bounds
	}{
		{func(f *Figures) { f.Refusing = 10.1 }, "10 calls a second while it took nothing, 10 may come", false},
		{func(f *Figures) { f.First = 2.1 }, "a tenth of the first second had 2.10 times the mean, 2.00 may come", false},
		{func(f *Figures) { f.Peak = 3.1 }, "a tenth of a second had 3.10 times the mean once all were listed, 3.00 may come", false},
		{func(f *Figures) { f.Conns = 31 }, "31 connections were open, 30 may be", false},
		{func(f *Figures) { f.Most = 6.1 }, "95 in a hundred were listed after 6.1 s, within 6.0 s it has to be", false},
		{func(f *Figures) { f.Most = -1 }, "95 in a hundred were listed after -1.0 s, within 6.0 s it has to be", false},
		{func(f *Figures) { f.Falls = 1 }, "it fell over 1 times", true},
		{func(f *Figures) { f.Lapsed, f.LapsedFor = 2, 0.5 }, "2 entries lapsed, for up to 0.5 s", true},
		{func(f *Figures) { f.Listed = 9 }, "9 of 10 are listed at the end", true},
	} {
		f := good
		c.change(&f)
		if all := f.Violations(bounds); len(all) != 1 || all[0] != c.want {
			t.Errorf("%q, wanted %q alone", all, c.want)
		}
		if all := f.Violations(Bounds{}); (len(all) == 1) != c.judged {
			t.Errorf("%s: without bounds %q", c.want, strings.Join(all, "; "))
		}
	}
}
