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
				Name:     fmt.Sprint("n", backend),
				At:       at,
				Accepted: r.At(at).Mode == Accepts,
			}
			all = append(all, c)
			at += next(backend, at, c.Accepted)
		}
	}
	return all
}

// TestEachFaultOfColdStartIsViolation verifies that a faultless cold start has no violations, and that each fault is
// reported as one.
func TestEachFaultOfColdStartIsViolation(t *testing.T) {
	r := &RegistryBehavior{Phases: []Phase{{From: 0, Mode: Rejects}, {From: 10 * time.Second, Mode: Accepts}}}
	const n, end = 70, 40 * time.Second
	spread := func(n int) time.Duration { return time.Duration(n) * 10 * ms }
	backOff := func(_ int, _ time.Duration, accepted bool) time.Duration {
		if !accepted {
			return 2100 * ms
		}
		return 700 * ms
	}
	for _, c := range []struct {
		name       string
		first      firstReport
		next       nextReport
		want       string // part of the violations; empty: none
		minExpired int
	}{
		{
			name:       "no fault",
			first:      spread,
			next:       backOff,
			want:       "",
			minExpired: 0,
		},
		{
			name:       "all report at once",
			first:      func(int) time.Duration { return 0 },
			next:       backOff,
			want:       "had",
			minExpired: 0,
		},
		{
			name:       "no backoff",
			first:      spread,
			next:       func(int, time.Duration, bool) time.Duration { return 700 * ms },
			want:       "while it took nothing",
			minExpired: 0,
		},
		{
			name:  "a backend that reports too slowly",
			first: spread,
			next: func(n int, at time.Duration, accepted bool) time.Duration {
				if n == 3 && at > 20*time.Second {
					return 3300 * ms
				}
				return backOff(n, at, accepted)
			},
			want:       "entries lapsed",
			minExpired: 4,
		},
		{
			name:  "a backend that stops reporting",
			first: spread,
			next: func(n int, at time.Duration, accepted bool) time.Duration {
				if n == 3 && at > 20*time.Second {
					return time.Hour
				}
				return backOff(n, at, accepted)
			},
			want:       "69 of 70",
			minExpired: 0,
		},
	} {
		calls := reports(n, end, c.first, c.next, r)
		f := Measure(calls, r, n, 700*ms, end)
		why := f.Violations(Bounds{RefusingRatio: 0.5, FirstPeak: 2, Peak: 1.6, MostListed: 6})
		got := strings.Join(why, "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q; %+v", c.name, got, c.want, f)
		}
		if f.Expired < c.minExpired {
			t.Errorf("%s: got %d expirations, want %d or more", c.name, f.Expired, c.minExpired)
		}
	}
	f := Measure(nil, r, n, 700*ms, end)
	if why := f.Violations(Bounds{MostListed: 6}); len(why) != 2 {
		t.Errorf("without calls: got violations %q, want 2", why)
	}
}
