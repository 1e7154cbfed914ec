package coldstart

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// reports has so many backends report by a rule that gives the time after each.
func reports(backends int, end time.Duration, first func(n int) time.Duration, next func(n int, at time.Duration, counted bool) time.Duration, r *RegistryBehavior) (all []Call) {
	for n := range backends {
		for at := first(n); at < end; {
			p := r.At(at)
			c := Call{Name: fmt.Sprint("n", n), At: at, Counted: p.Mode == Takes}
			all = append(all, c)
			at += next(n, at, c.Counted)
		}
	}
	return all
}

// TestViolations: courses with one fault each are named by its own words, and the sound one by none.
func TestViolations(t *testing.T) {
	r := &RegistryBehavior{Phases: []Phase{{From: 0, Mode: Refuses}, {From: 10 * time.Second, Mode: Takes}}}
	const n, end = 70, 40 * time.Second
	spread := func(n int) time.Duration { return time.Duration(n) * 10 * ms }
	usual := func(_ int, _ time.Duration, counted bool) time.Duration {
		if !counted {
			return 2100 * ms
		}
		return 700 * ms
	}
	for _, c := range []struct {
		name  string
		first func(int) time.Duration
		next  func(int, time.Duration, bool) time.Duration
		want  string
	}{
		{"sound", spread, usual, ""},
		{"all at once", func(int) time.Duration { return 0 }, usual, "had"},
		{"no growing pauses", spread, func(int, time.Duration, bool) time.Duration { return 700 * ms }, "while it took nothing"},
		{"one too slow", spread, func(n int, at time.Duration, counted bool) time.Duration {
			if n == 3 && at > 20*time.Second {
				return 3300 * ms
			}
			return usual(n, at, counted)
		}, "1 of"},
		{"one that never comes back", spread, func(n int, at time.Duration, counted bool) time.Duration {
			if n == 3 && at > 20*time.Second {
				return time.Hour
			}
			return usual(n, at, counted)
		}, "69 of 70"},
	} {
		calls := reports(n, end, c.first, c.next, r)
		f := Measure(calls, r, n, 700*ms, end)
		why := f.Violations(Bounds{Refusing: 0.5, First: 2, Peak: 1.6, Most: 6})
		switch got := strings.Join(why, "; "); {
		case c.name == "one too slow" && f.Lapsed < 4:
			t.Errorf("%s: %d lapses", c.name, f.Lapsed)
		case c.name == "one too slow":
		case c.want == "" && got != "", !strings.Contains(got, c.want):
			t.Errorf("%s: %q, wanted %q; %+v", c.name, got, c.want, f)
		}
	}
	f := Measure(nil, r, n, 700*ms, end)
	if why := f.Violations(Bounds{Most: 6}); len(why) != 2 {
		t.Errorf("nobody called: %q", why)
	}
}
