package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Calls are bounded by the quota, retried within the retry budget, and skipped where that is allowed.
func TestCallsToDependency(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.SharedDependency = true
		config.CallQuota = 1
	})
	tr.note("one call is in flight at most; an abandoned call counts until it has left the dependency")
	tr.arrive("a", idempotentOperation, 0.9)
	tr.arrive("b", idempotentOperation, 0.9)
	tr.do(NeedsCall{"a"})
	tr.do(NeedsCall{"b"})
	tr.do(CallReturned{"a", TimedOut, 100 * monotime.Millisecond})
	tr.finish("a", Canceled)
	tr.pass(220, 0.2, 1)
	tr.do(CallReturned{"b", OK, 10 * monotime.Millisecond})
	tr.finish("b", OK)
	tr.note("with enough first calls in the retry budget, an idempotent call is made three times in all")
	tr.b.calls.first.add(tr.now, 100)
	tr.arrive("c", idempotentOperation, 0.9)
	tr.do(NeedsCall{"c"})
	for range 3 {
		tr.do(CallReturned{"c", QueueFull, 1000})
		tr.pass(200, 0.2, 1)
	}
	tr.finish("c", Canceled)
	tr.note("a call is skipped where the operation allows it")
	tr.b.config.Operations[idempotentOperation].ValueWithoutCall = 0.5
	tr.b.calls.first.sum = 0
	tr.arrive("d", idempotentOperation, 0.9)
	tr.do(NeedsCall{"d"})
	tr.do(CallReturned{"d", Unreachable, 1000})
	tr.check()
}

// While the dependency is slow, requests that call it are rejected, others are admitted, and fewer calls are made.
func TestSlowDependency(t *testing.T) {
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
		tr.do(NeedsCall{id})
		tr.pass(40, 0.3, 1)
		tr.do(CallReturned{id, OK, 40 * monotime.Millisecond})
		tr.finish(id, OK)
	}
	for n := range 3 {
		id := fmt.Sprint("stuck", n)
		tr.arrive(id, idempotentOperation, 0.9)
		tr.do(NeedsCall{id})
	}
	tr.pass(3000, 0.1, 0)
	tr.note("a request that calls is rejected, another is admitted; a failed call frees no capacity for the third")
	tr.arrive("calls", idempotentOperation, 0.9)
	tr.arrive("does not call", nonIdempotentOperation, 0.9)
	tr.do(CallReturned{"stuck0", QueueFull, 300 * monotime.Millisecond})
	tr.check()
}

// A run that leaves the cores for a call frees its core at once, not at the next reading.
func TestACallFreesItsCore(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.do(NeedsCall{"inv0"})
	tr.arrive("inv3", idempotentOperation, 0.9)
	tr.do(CallReturned{"inv0", OK, 10 * monotime.Millisecond})
	tr.finish("inv0", OK)
	tr.finish("inv1", OK)
	tr.check()
}

// A run whose caller has left makes no call, and keeps its core until it has ended.
func TestAnsweredRunMakesNoCall(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("gone", idempotentOperation), Start{"gone"})
	tr.expect(CallerGone{"gone"})
	tr.expect(NeedsCall{"gone"})
	if tr.b.count(running) != 1 || tr.b.count(atCall) != 0 || tr.b.load.runnable() != 1 {
		t.Errorf("%v running, %v at their call, %v runnable; want 1, 0, 1",
			tr.b.count(running), tr.b.count(atCall), tr.b.load.runnable())
	}
}

// At most two runs for each core wait to make their call.
func TestWaitingCallsAreBounded(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.SharedDependency = true
		config.CallQuota = 1
	})
	const bound = 4 // two cores
	rejected := 0
	waits := func() (n int) { // those given up stay in flight until they have left their cores
		for _, req := range tr.b.inFlight.all {
			if req.phase == atCall && !req.answered {
				n++
			}
		}
		return n
	}
	for n := range bound + 3 {
		id := fmt.Sprint("inv", n)
		tr.decide(arrival(id, idempotentOperation))
		for _, action := range tr.decide(NeedsCall{id}) {
			if action == (Throttle{ID: id, DontRetry: true}) {
				rejected++
			}
		}
		if waits() > bound {
			t.Fatalf("%d wait for their call", waits())
		}
	}
	if waits() != bound || rejected != 2 {
		t.Errorf("%d wait for their call, want %d; %d given up, want 2", waits(), bound, rejected)
	}
}
