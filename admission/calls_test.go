package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Calls are limited by the quota, retried within the retry budget, and skipped if that is allowed.
func TestCallsAreLimitedByQuotaAndRetryBudget(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.SharedDependency = true
		config.CallQuota = 1
	})
	tr.note("at most one call is in flight; an abandoned call counts until it has left the dependency")
	tr.arrive("a", idempotentOperation, 0.9)
	tr.arrive("b", idempotentOperation, 0.9)
	tr.record(NeedsCall{"a"})
	tr.record(NeedsCall{"b"})
	tr.record(CallReturned{"a", TimedOut, 100 * monotime.Millisecond})
	tr.finish("a", Canceled)
	tr.advance(220, 0.2, 1)
	tr.record(CallReturned{"b", OK, 10 * monotime.Millisecond})
	tr.finish("b", OK)
	tr.note("with enough first attempts in the retry budget, an idempotent call is attempted three times")
	tr.backend.calls.firstAttempts.add(tr.now, 100)
	tr.arrive("c", idempotentOperation, 0.9)
	tr.record(NeedsCall{"c"})
	for range 3 {
		tr.record(CallReturned{"c", QueueFull, 1000})
		tr.advance(200, 0.2, 1)
	}
	tr.finish("c", Canceled)
	tr.note("a call is skipped if the operation allows it")
	tr.backend.config.Operations[idempotentOperation].ValueWithoutCall = 0.5
	tr.backend.calls.firstAttempts.sum = 0
	tr.arrive("d", idempotentOperation, 0.9)
	tr.record(NeedsCall{"d"})
	tr.record(CallReturned{"d", Unreachable, 1000})
	tr.compare()
}

// While the dependency is slow, requests that call it are rejected, others are admitted, and the call limit is reduced.
func TestSlowDependencyRejectsOnlyRequestsThatCallIt(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.SharedDependency = true
		config.CallQuota = 2
		config.Cores = 4
		config.Operations[nonIdempotentOperation] = Operation{
			Objective:     2 * monotime.Second,
			ClientTimeout: 5 * monotime.Second,
		}
	})
	for n := range 3 {
		id := fmt.Sprint("usual", n)
		tr.arrive(id, idempotentOperation, 0.9)
		tr.record(NeedsCall{id})
		tr.advance(40, 0.3, 1)
		tr.record(CallReturned{id, OK, 40 * monotime.Millisecond})
		tr.finish(id, OK)
	}
	for n := range 3 {
		id := fmt.Sprint("stuck", n)
		tr.arrive(id, idempotentOperation, 0.9)
		tr.record(NeedsCall{id})
	}
	tr.advance(3000, 0.1, 0)
	tr.note("a request that calls is rejected, another is admitted; after a failed call the third call has to wait")
	tr.arrive("calls", idempotentOperation, 0.9)
	tr.arrive("does not call", nonIdempotentOperation, 0.9)
	tr.record(CallReturned{"stuck0", QueueFull, 300 * monotime.Millisecond})
	tr.compare()
}

// A run that pauses for a call frees its core at once, not at the next reading.
func TestRunWaitingForCallFreesItsCore(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.record(NeedsCall{"inv0"})
	tr.arrive("inv3", idempotentOperation, 0.9)
	tr.record(CallReturned{"inv0", OK, 10 * monotime.Millisecond})
	tr.finish("inv0", OK)
	tr.finish("inv1", OK)
	tr.compare()
}

// A run whose caller no longer waits makes no call, and counts as running until it has ended.
func TestAnsweredRunMakesNoCall(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("gone", idempotentOperation), Start{"gone"})
	tr.expect(CallerGone{"gone"})
	tr.expect(NeedsCall{"gone"})
	if tr.backend.count(running) != 1 || tr.backend.count(callPending) != 0 || tr.backend.load.runnable() != 1 {
		t.Errorf("%v running, %v with a pending call, %v runnable; want 1, 0, 1",
			tr.backend.count(running), tr.backend.count(callPending), tr.backend.load.runnable())
	}
}

// At most two runs per core wait to make their call.
func TestWaitingCallsAreLimitedPerCore(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.SharedDependency = true
		config.CallQuota = 1
	})
	const limit = 4 // two cores
	rejected := 0
	countWaiting := func() (n int) { // requests whose call was given up stay in flight until their runs end
		for _, req := range tr.backend.inFlight.all {
			if req.phase == callPending && !req.answered {
				n++
			}
		}
		return n
	}
	for n := range limit + 3 {
		id := fmt.Sprint("inv", n)
		tr.decide(arrival(id, idempotentOperation))
		for _, action := range tr.decide(NeedsCall{id}) {
			if action == (Throttle{ID: id, DontRetry: true}) {
				rejected++
			}
		}
		if countWaiting() > limit {
			t.Fatalf("%d requests wait for their call, want at most %d", countWaiting(), limit)
		}
	}
	if countWaiting() != limit || rejected != 2 {
		t.Errorf("%d requests wait for their call, want %d; %d calls were given up, want 2",
			countWaiting(), limit, rejected)
	}
}
