package coldstart

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// firstReport returns the time of a backend's first report.
type firstReport func(backend int) time.Duration

// nextReport returns the time from a backend's report, which was accepted or not, to its next one.
type nextReport func(backend int, at time.Duration, accepted bool) time.Duration

// reports returns the calls of a number of backends until the end.
func reports(backends int, end time.Duration, first firstReport, next nextReport, r *RegistryBehavior) (all []Call) {
	for backend := range backends {
		for at := first(backend); at < end; {
			c := Call{
				Name:    fmt.Sprint("n", backend),
				At:      at,
				Counted: r.At(at).Mode == Takes,
			}
			all = append(all, c)
			at += next(backend, at, c.Counted)
		}
	}
	return all
}

// TestViolations verifies that a sound cold start has no violations, and that each faulty one has its own.
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
		name      string
		first     firstReport
		next      nextReport
		want      string // part of the violations; empty: none
		minLapsed int
	}{
		{
			name:      "sound",
			first:     spread,
			next:      usual,
			want:      "",
			minLapsed: 0,
		},
		{
			name:      "all report at once",
			first:     func(int) time.Duration { return 0 },
			next:      usual,
			want:      "had",
			minLapsed: 0,
		},
		{
			name:      "no backoff",
			first:     spread,
			next:      func(int, time.Duration, bool) time.Duration { return 700 * ms },
			want:      "while it took nothing",
			minLapsed: 0,
		},
		{
			name:  "a backend that reports too slowly",
			first: spread,
			next: func(n int, at time.Duration, counted bool) time.Duration {
				if n == 3 && at > 20*time.Second {
					return 3300 * ms
				}
				return usual(n, at, counted)
			},
			want:      "entries lapsed",
			minLapsed: 4,
		},
		{
			name:  "a backend that never returns",
			first: spread,
			next: func(n int, at time.Duration, counted bool) time.Duration {
				if n == 3 && at > 20*time.Second {
					return time.Hour
				}
				return usual(n, at, counted)
			},
			want:      "69 of 70",
			minLapsed: 0,
		},
	} {
		calls := reports(n, end, c.first, c.next, r)
		f := Measure(calls, r, n, 700*ms, end)
		why := f.Violations(Bounds{Refusing: 0.5, First: 2, Peak: 1.6, Most: 6})
		got := strings.Join(why, "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q; %+v", c.name, got, c.want, f)
		}
		if f.Lapsed < c.minLapsed {
			t.Errorf("%s: got %d lapses, want %d or more", c.name, f.Lapsed, c.minLapsed)
		}
	}
	f := Measure(nil, r, n, 700*ms, end)
	if why := f.Violations(Bounds{Most: 6}); len(why) != 2 {
		t.Errorf("without calls: got violations %q, want 2", why)
	}
}
