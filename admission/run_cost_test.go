package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Runs that do not end raise the expected cost of new requests.
func TestWorkThatHangsIsNoticed(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.pass(1500, 1, 3)
	tr.note("nothing has ended for long: a request that would take as long is rejected before its objective is over")
	tr.arrive("next", idempotentOperation, 0.9, retry)
	tr.pass(2000, 1, 3)
	tr.check()
}

// Runs that have not reached their expected cost count as a slowdown only while requests wait.
func TestLongRunsAreNoSlowdownWithoutAQueue(t *testing.T) {
	tr := newTrace(t, nil)
	long := func(arrived *Arrived) { arrived.ExpectedWork = 1500 * monotime.Millisecond }
	tr.arrive("long0", idempotentOperation, 0.9, long)
	tr.arrive("long1", idempotentOperation, 0.9, long)
	tr.pass(1200, 1, 2)
	if slowdown := tr.b.slowdown(tr.now); slowdown > 1.05 {
		t.Errorf("slowdown %.2f of runs within their expected cost", slowdown)
	}
	for n := range 2 {
		short := arrival(fmt.Sprint("waits", n), idempotentOperation, withMemory(1))
		short.ExpectedWork = 10 * monotime.Millisecond
		tr.b.Decide(tr.now, short, nil)
	}
	if slowdown := tr.b.slowdown(tr.now); slowdown < 2 {
		t.Errorf("slowdown %.2f with a queue of %.0f", slowdown, tr.b.count(waiting))
	}
	tr.pass(1500, 1, 2)
	if slowdown := tr.b.slowdown(tr.now); slowdown < 1.3 {
		t.Errorf("slowdown %.2f of runs that have had twice their expected cost", slowdown)
	}
}
