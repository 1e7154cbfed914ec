package loadgen

import (
	"context"
	"strings"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
)

// run sends the scenario's load with seed 1 to one backend.
func run(t *testing.T, s *simulation.Scenario, address string) *Report {
	t.Helper()
	report, err := Run(context.Background(), Options{
		Scenario: s,
		Seed:     1,
		Backends: []string{address},
		Bounds:   limits.ForLoad(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestReportCountsWrongAnswers checks that duplicate answers, unknown results, missing answers and connections that end
// are counted as such, and that each request has exactly one outcome.
func TestReportCountsWrongAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer answerFunc
		want   string
		holds  func(r *Report) bool
	}{
		{
			name:   "each invocation is answered once",
			answer: func(_ int, id string, stream uint32) []byte { return success(id, stream) },
			want:   "full value, no wrong answer",
			holds:  func(r *Report) bool { return r.Value() == 1 && r.DuplicateAnswers+r.UnknownResults == 0 },
		},
		{
			name: "each invocation is answered twice",
			answer: func(_ int, id string, stream uint32) []byte {
				return append(success(id, stream), success(id, stream)...)
			},
			want:  "one duplicate answer per request",
			holds: func(r *Report) bool { return r.DuplicateAnswers == r.Requests },
		},
		{
			name:   "the result is of another attempt",
			answer: func(_ int, _ string, stream uint32) []byte { return success("another", stream) },
			want:   "one unknown result per request",
			holds:  func(r *Report) bool { return r.UnknownResults == r.Requests },
		},
		{
			name:   "no invocation is answered",
			answer: func(int, string, uint32) []byte { return []byte{} },
			want:   "each request timed out",
			holds: func(r *Report) bool {
				for i := range r.Operations {
					if r.Operations[i].Outcomes[simulation.TimedOut] != r.Operations[i].Requests {
						return false
					}
				}
				return true
			},
		},
		{
			name: "each fifth invocation ends its connection",
			answer: func(number int, id string, stream uint32) []byte {
				if number%5 == 0 {
					return nil
				}
				return success(id, stream)
			},
			want: "resets of the non-idempotent operation, retries of the others, most of which succeed",
			holds: func(r *Report) bool {
				idempotent := &r.Operations[0]
				return r.Operations[2].Outcomes[simulation.Reset] > 0 && r.Attempts > r.Requests &&
					2*idempotent.Outcomes[simulation.Succeeded] > idempotent.Requests
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := scenarioOf(simulation.Second)
			s.Load.Level = 2
			for i := range s.Operations {
				s.Operations[i].Timeout = simulation.Second
				s.Operations[i].Objective = simulation.Second / 2
			}
			r := run(t, s, startBackend(t, test.answer))
			outcomes := 0
			for i := range r.Operations {
				for _, n := range r.Operations[i].Outcomes {
					outcomes += n
				}
			}
			if outcomes != r.Requests || r.Requests == 0 {
				t.Errorf("%d outcomes of %d requests, want one each", outcomes, r.Requests)
			}
			if !test.holds(r) {
				t.Errorf("want %s; %d requests, %d duplicate answers, %d unknown results, %+v",
					test.want, r.Requests, r.DuplicateAnswers, r.UnknownResults, r.Operations)
			}
		})
	}
}

// TestLatencyCountsFromScheduledTime checks that a stall of the backend adds to the latency of the requests that were
// scheduled meanwhile (no coordinated omission).
func TestLatencyCountsFromScheduledTime(t *testing.T) {
	const stall = 400 * time.Millisecond
	stallEnds := make(chan struct{})
	time.AfterFunc(stall, func() { close(stallEnds) })
	address := startBackend(t, func(_ int, id string, stream uint32) []byte {
		<-stallEnds
		return success(id, stream)
	})
	s := scenarioOf(simulation.Second / 2)
	s.Operations = s.Operations[:1]
	s.Operations[0].RetrySafety = admission.NonIdempotent
	r := run(t, s, address)
	h, err := r.Operations[0].Histogram()
	if err != nil {
		t.Fatal(err)
	}
	if median := h.ValueAtQuantile(50); median < 50_000 {
		t.Errorf("median latency %d us, want at least 50000: the backend stalled for %v", median, stall)
	}
}

func TestOnlyLoopbackBackendsAreAccepted(t *testing.T) {
	for _, test := range []struct{ name, address string }{
		{"another machine", "10.0.0.1:80"},
		{"host name", "example.org:80"},
		{"no port", "127.0.0.1"},
		{"empty", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			options := Options{Scenario: scenarioOf(simulation.Second), Backends: []string{test.address}}
			if _, err := Run(context.Background(), options); err == nil || !strings.Contains(err.Error(), "loopback") {
				t.Errorf("address %q: error %v, want one that mentions loopback", test.address, err)
			}
		})
	}
}
