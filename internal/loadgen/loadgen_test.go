package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

func day(span monotime.Micros) *simulation.Scenario {
	s := simulation.Default()
	s.Duration, s.Hosts.Count, s.Nodes.Count, s.Load.Level = span, 1, 2, 0.5
	return &s
}

// TestNext: what follows each outcome, for nodes that honour advice and for those that ignore it.
func TestNext(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := day(simulation.Second)
	for _, op := range []int{0, 2} {
		for _, out := range []simulation.Outcome{simulation.Throttled, simulation.Errored, simulation.Unreachable, simulation.Reset} {
			for _, attempts := range []int{1, 3} {
				for _, response := range []Response{{Outcome: out}, {Outcome: out, DontRetry: true}} {
					for _, ignoresAdvice := range []bool{false, true} {
						req := &Request{Arrival: simulation.Arrival{Operation: op}, Due: simulation.Second, Attempts: attempts}
						backoff, retry := Next(s, 0, req, response, ignoresAdvice, rand.New(rand.NewPCG(1, 1)))
						tr.Say("%-9s %-11s after %d tries, don't %t, deaf %t: again %t, in %d us", s.Operations[op].Name, simulation.Outcomes()[out], attempts, response.DontRetry, ignoresAdvice, retry, backoff)
					}
				}
			}
		}
	}
	req := &Request{Due: 1500, Attempts: 1}
	if _, retry := Next(s, 1000, req, Response{Outcome: simulation.Throttled}, false, rand.New(rand.NewPCG(1, 1))); retry {
		t.Error("an attempt after the client timeout")
	}
}

// TestChoose: round robin; neither a backend that asked to be left alone nor that of the previous attempt; a first
// attempt is sent all the same.
func TestChoose(t *testing.T) {
	b := BackendView{AvoidUntil: make([]monotime.Micros, 3)}
	req := &Request{LastBackend: -1}
	got := make([]int, 0, 9)
	for range 4 {
		got = append(got, b.Choose(0, req))
	}
	b.AvoidUntil[1] = 100
	req.Attempts, req.LastBackend = 1, 2
	for range 3 {
		got = append(got, b.Choose(50, req))
	}
	b.AvoidUntil = []monotime.Micros{100, 100, 100}
	got = append(got, b.Choose(50, req))
	req.Attempts = 0
	got = append(got, b.Choose(50, req))
	if text := fmt.Sprint(got); text != "[1 2 0 1 0 0 0 -1 1]" {
		t.Error(text)
	}
}

// TestRecordResponse: Retry-After extends the present one, is ignored by some nodes, and an unreachable backend is
// avoided by all.
func TestRecordResponse(t *testing.T) {
	b := BackendView{AvoidUntil: make([]monotime.Micros, 4)}
	b.RecordResponse(100, 0, Response{Outcome: simulation.Throttled, RetryAfter: 50}, false)
	b.RecordResponse(100, 0, Response{Outcome: simulation.Throttled, RetryAfter: 20}, false)
	b.RecordResponse(100, 1, Response{Outcome: simulation.Throttled, RetryAfter: 50}, true)
	b.RecordResponse(100, 2, Response{Outcome: simulation.Reset}, true)
	b.RecordResponse(100, 3, Response{Outcome: simulation.Errored}, false)
	if text := fmt.Sprint(b.AvoidUntil); text != "[150 0 250100 0]" {
		t.Error(text)
	}
}

// backend starts a backend that answers by a rule of the test.
func backend(t *testing.T, answer func(n int, id string, stream uint32) []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer, have := make([]byte, 64<<10), 0
				for {
					k, err := c.Read(buffer[have:])
					if err != nil {
						return
					}
					have += k
					for {
						h, p, took, _ := frame.SplitFrame(buffer[:have], 262_144)
						if took == 0 {
							break
						}
						in, _ := frame.ReadInvocation(p, 2<<10)
						mu.Lock()
						n++
						out := answer(n, string(in.ID), h.Stream)
						mu.Unlock()
						have = copy(buffer, buffer[took:have])
						if out == nil {
							return
						}
						_, _ = c.Write(out)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func good(id string, stream uint32) []byte {
	return frame.AppendAnswer(nil, stream, frame.Succeeded, 0, false, []byte("result of "+id))
}

// TestReportCountsWrongAnswers: duplicate answers, unknown results, missing answers and connections that end are
// counted as such, and each request has one outcome.
func TestReportCountsWrongAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int, id string, stream uint32) []byte
		wrong  func(r *Report) string
	}{
		{"as it should", func(_ int, id string, stream uint32) []byte { return good(id, stream) }, func(r *Report) string {
			if r.Value() != 1 || r.DuplicateAnswers+r.UnknownResults != 0 {
				return "not all well"
			}
			return ""
		}},
		{"twice", func(_ int, id string, stream uint32) []byte { return append(good(id, stream), good(id, stream)...) }, func(r *Report) string {
			if r.DuplicateAnswers != r.Requests {
				return "doubles"
			}
			return ""
		}},
		{"of no run", func(_ int, _ string, stream uint32) []byte { return good("another", stream) }, func(r *Report) string {
			if r.UnknownResults != r.Requests {
				return "strange"
			}
			return ""
		}},
		{"never", func(int, string, uint32) []byte { return []byte{} }, func(r *Report) string {
			for _, p := range r.Operations {
				if p.Outcomes[simulation.TimedOut] != p.Requests {
					return "lost"
				}
			}
			return ""
		}},
		{"cut off now and then", func(n int, id string, stream uint32) []byte {
			if n%5 == 0 {
				return nil
			}
			return good(id, stream)
		}, func(r *Report) string {
			if r.Operations[2].Outcomes[simulation.Reset] == 0 || r.Attempts <= r.Requests {
				return "resets: a non-idempotent invocation is not tried again, others are"
			}
			return ""
		}},
	} {
		s := day(simulation.Second)
		s.Load.Level = 2
		for i := range s.Operations {
			s.Operations[i].Timeout, s.Operations[i].Objective = simulation.Second, simulation.Second/2
		}
		r, err := Run(context.Background(), Options{Scenario: s, Seed: 1, Backends: []string{backend(t, c.answer)}, Bounds: limits.ForLoad()})
		if err != nil {
			t.Fatal(err)
		}
		ends := 0
		for _, p := range r.Operations {
			for _, n := range p.Outcomes {
				ends += n
			}
		}
		if text := c.wrong(r); text != "" || ends != r.Requests || r.Requests == 0 {
			t.Errorf("%s: %s: %d requests, %d outcomes, %d duplicate answers, %d unknown results, %+v", c.name, text, r.Requests, ends, r.DuplicateAnswers, r.UnknownResults, r.Operations)
		}
	}
}

// TestLatencyCountsFromScheduledTime: a backend that stalls for a while does not hide what waited: latency counts from
// the day's time.
func TestLatencyCountsFromScheduledTime(t *testing.T) {
	began := time.Now()
	address := backend(t, func(_ int, id string, stream uint32) []byte {
		if time.Since(began) < 400*time.Millisecond {
			time.Sleep(400*time.Millisecond - time.Since(began))
		}
		return good(id, stream)
	})
	s := day(simulation.Second / 2)
	s.Operations = s.Operations[:1]
	s.Operations[0].RetrySafety = admission.NonIdempotent
	r, err := Run(context.Background(), Options{Scenario: s, Seed: 1, Backends: []string{address}, Bounds: limits.ForLoad()})
	if err != nil {
		t.Fatal(err)
	}
	h, err := r.Operations[0].Histogram()
	if err != nil || h.ValueAtQuantile(50) < 50_000 {
		t.Errorf("half of all took %d us, though the backend stood still for most of the day", h.ValueAtQuantile(50))
	}
}

// TestRefusesOtherMachines: load is sent to loopback addresses alone.
func TestRefusesOtherMachines(t *testing.T) {
	for _, to := range []string{"10.0.0.1:80", "example.org:80", "127.0.0.1", ""} {
		if _, err := Run(context.Background(), Options{Scenario: day(simulation.Second), Backends: []string{to}}); err == nil || !strings.Contains(err.Error(), "loopback") {
			t.Errorf("%q: %v", to, err)
		}
	}
}
