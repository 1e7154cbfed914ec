package loadgen

import (
	"math/rand/v2"
	"slices"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// TestNextDecidesRetryAndBackoff records the decision after each outcome, for nodes that honour advice and for those
// that ignore it.
func TestNextDecidesRetryAndBackoff(t *testing.T) {
	trace := fakes.NewTrace(t)
	s := scenarioOf(simulation.Second)
	outcomes := []simulation.Outcome{
		simulation.Throttled, simulation.Errored, simulation.Unreachable, simulation.Reset,
	}
	for _, op := range []int{0, 2} {
		for _, outcome := range outcomes {
			for _, attempts := range []int{1, 3} {
				for _, response := range []Response{{Outcome: outcome}, {Outcome: outcome, DontRetry: true}} {
					for _, ignoresAdvice := range []bool{false, true} {
						req := &Request{
							Arrival:  simulation.Arrival{Operation: op},
							Due:      simulation.Second,
							Attempts: attempts,
						}
						backoff, retry := Next(s, 0, req, response, ignoresAdvice, rand.New(rand.NewPCG(1, 1)))
						trace.Say("%-9s %-11s attempts %d, don't retry %t, ignores advice %t: retry %t, backoff %d us",
							s.Operations[op].Name, simulation.Outcomes()[outcome], attempts,
							response.DontRetry, ignoresAdvice, retry, backoff)
					}
				}
			}
		}
	}
}

func TestNoRetryBeyondClientTimeout(t *testing.T) {
	req := &Request{Due: 1500, Attempts: 1}
	response := Response{Outcome: simulation.Throttled}
	random := rand.New(rand.NewPCG(1, 1))
	if _, retry := Next(scenarioOf(simulation.Second), 1000, req, response, false, random); retry {
		t.Error("retry scheduled after the client timeout")
	}
}

// TestChooseSkipsAvoidedAndPreviousBackend checks the round robin order, that avoided backends and the one of the
// previous attempt are skipped, and that a first attempt gets a backend even if all are avoided.
func TestChooseSkipsAvoidedAndPreviousBackend(t *testing.T) {
	view := BackendView{AvoidUntil: make([]monotime.Micros, 3)}
	var chosen []int
	choose := func(now monotime.Micros, req Request) { chosen = append(chosen, view.Choose(now, &req)) }
	first := Request{LastBackend: noBackend}
	for range 4 {
		choose(0, first)
	}
	view.AvoidUntil[1] = 100
	retry := Request{Attempts: 1, LastBackend: 2}
	for range 3 {
		choose(50, retry)
	}
	view.AvoidUntil = []monotime.Micros{100, 100, 100}
	choose(50, retry)
	choose(50, Request{LastBackend: 2})
	if want := []int{1, 2, 0, 1, 0, 0, 0, noBackend, 1}; !slices.Equal(chosen, want) {
		t.Errorf("chosen %v, want %v", chosen, want)
	}
}

// TestRecordResponseSetsAvoidance checks that a longer Retry-After extends the present one and a shorter one does not,
// that a node that ignores advice ignores it, and that all nodes avoid a backend whose connection failed.
func TestRecordResponseSetsAvoidance(t *testing.T) {
	const now = monotime.Micros(100)
	view := BackendView{AvoidUntil: make([]monotime.Micros, 4)}
	view.RecordResponse(now, 0, Response{Outcome: simulation.Throttled, RetryAfter: 50}, false)
	view.RecordResponse(now, 0, Response{Outcome: simulation.Throttled, RetryAfter: 20}, false)
	view.RecordResponse(now, 1, Response{Outcome: simulation.Throttled, RetryAfter: 50}, true)
	view.RecordResponse(now, 2, Response{Outcome: simulation.Reset}, true)
	view.RecordResponse(now, 3, Response{Outcome: simulation.Errored}, false)
	if want := []monotime.Micros{150, 0, 250_100, 0}; !slices.Equal(view.AvoidUntil, want) {
		t.Errorf("avoided until %v, want %v", view.AvoidUntil, want)
	}
}
