package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Each request is answered by its deadline in every phase, and a run whose caller no longer waits is stopped.
func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.Preemption = PreemptionDiscards })
	shortDeadline := withTimeLeft(300 * monotime.Millisecond)
	tr.note("at the deadline a run fails and stops, a waiting request is rejected; a run without a caller is stopped")
	tr.arrive("runs", idempotentOperation, 0.9, shortDeadline)
	tr.arrive("gone", idempotentOperation, 0.9)
	tr.record(CallerGone{"gone"})
	tr.advance(100, 0.5, 9)
	tr.arrive("waits", idempotentOperation, 0.9, shortDeadline)
	tr.arrive("no deadline", idempotentOperation, 0.9, withTimeLeft(0), withQueueTime(4900*monotime.Millisecond))
	tr.advance(400, 0.5, 9)
	tr.finish("gone", Canceled)
	tr.finish("runs", Canceled)
	tr.compare()
}

// Runs past their objective are stopped if that is allowed.
func TestRunsPastObjectiveAreStopped(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.Preemption = PreemptionDiscards })
	for n := range 2 {
		tr.arrive(fmt.Sprint("slow", n), n*nonIdempotentOperation, 0.9)
	}
	tr.advance(2100, 1, 2)
	tr.note("the non-idempotent run continues until its deadline")
	tr.advance(3000, 1, 2)
	tr.compare()
}

// A run past its objective continues if a late answer still has a value.
func TestRunPastObjectiveContinuesIfLateAnswerHasValue(t *testing.T) {
	for lateValue, wantThrottled := range map[float64]int{0: 2, 0.5: 0} {
		tr := newTrace(t, func(config *Config) {
			config.Preemption = PreemptionDiscards
			config.Operations[idempotentOperation].LateValue = lateValue
		})
		for n := range 2 {
			tr.decide(arrival(fmt.Sprint("run", n), idempotentOperation))
		}
		throttled := 0
		for end := tr.now + 3*monotime.Second; tr.now < end; tr.now += tr.backend.readingInterval {
			for _, action := range tr.decide(Reading{Token: readingToken, CoreUse: 1, OnCores: 2}) {
				if _, isThrottle := action.(Throttle); isThrottle {
					throttled++
				}
			}
		}
		if throttled != wantThrottled {
			t.Errorf("late value %v: %d runs throttled before deadline, want %d", lateValue, throttled, wantThrottled)
		}
	}
}
