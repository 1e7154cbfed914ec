package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Each request is answered by its deadline, whatever its phase, and a run whose caller has left is stopped.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.Preemption = PreemptionDiscards })
	brief := withTimeLeft(300 * monotime.Millisecond)
	tr.note("at the deadline a run is failed and stopped, a waiting request rejected; a run without caller is stopped")
	tr.arrive("runs", idempotentOperation, 0.9, brief)
	tr.arrive("gone", idempotentOperation, 0.9)
	tr.do(CallerGone{"gone"})
	tr.pass(100, 0.5, 9)
	tr.arrive("waits", idempotentOperation, 0.9, brief)
	tr.arrive("untold", idempotentOperation, 0.9, withTimeLeft(0), withQueueTime(4900*monotime.Millisecond))
	tr.pass(400, 0.5, 9)
	tr.finish("gone", Canceled)
	tr.finish("runs", Canceled)
	tr.check()
}

// Runs past their objective are stopped where that is allowed.
func TestLateRunsAreStopped(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.Preemption = PreemptionDiscards })
	for n := range 2 {
		tr.arrive(fmt.Sprint("crawls", n), n*nonIdempotentOperation, 0.9)
	}
	tr.pass(2100, 1, 2)
	tr.note("the non-idempotent run goes on until its deadline")
	tr.pass(3000, 1, 2)
	tr.check()
}

// A run past its objective goes on where a late answer still has a value.
func TestLateRunWithValueGoesOn(t *testing.T) {
	for late, stops := range map[float64]int{0: 2, 0.5: 0} {
		tr := newTrace(t, func(config *Config) {
			config.Preemption = PreemptionDiscards
			config.Operations[idempotentOperation].LateValue = late
		})
		for n := range 2 {
			tr.decide(arrival(fmt.Sprint("run", n), idempotentOperation))
		}
		got := 0
		for end := tr.now + 3*monotime.Second; tr.now < end; tr.now += tr.b.readingInterval {
			for _, action := range tr.decide(Reading{Token: readingToken, CoreUse: 1, OnCores: 2}) {
				if _, throttles := action.(Throttle); throttles {
					got++
				}
			}
		}
		if got != stops {
			t.Errorf("late value %v: %d runs given up before their deadline, want %d", late, got, stops)
		}
	}
}
