package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Runs that do not end increase the expected cost of new requests.
func TestHangingRunsRaiseExpectedCost(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.advance(1500, 1, 3)
	tr.note("no run has ended for long: a request expected to take as long is rejected before its objective ends")
	tr.arrive("next", idempotentOperation, 0.9, asRetry)
	tr.advance(2000, 1, 3)
	tr.compare()
}

// Runs that have not reached their expected cost are counted as a slowdown only while requests wait.
func TestLongRunsAreNoSlowdownWithoutQueue(t *testing.T) {
	tr := newTrace(t, nil)
	long := func(arrived *Arrived) { arrived.ExpectedWork = 1500 * monotime.Millisecond }
	tr.arrive("long0", idempotentOperation, 0.9, long)
	tr.arrive("long1", idempotentOperation, 0.9, long)
	tr.advance(1200, 1, 2)
	if slowdown := tr.backend.slowdown(tr.now); slowdown > 1.05 {
		t.Errorf("slowdown %.2f with runs within their expected cost, want at most 1.05", slowdown)
	}
	for n := range 2 {
		short := arrival(fmt.Sprint("waits", n), idempotentOperation, withMemory(1))
		short.ExpectedWork = 10 * monotime.Millisecond
		tr.backend.Decide(tr.now, short, nil)
	}
	if slowdown := tr.backend.slowdown(tr.now); slowdown < 2 {
		t.Errorf("slowdown %.2f with %.0f waiting requests, want at least 2", slowdown, tr.backend.count(waiting))
	}
	tr.advance(1500, 1, 2)
	if slowdown := tr.backend.slowdown(tr.now); slowdown < 1.3 {
		t.Errorf("slowdown %.2f with runs at almost twice their expected cost, want at least 1.3", slowdown)
	}
}
