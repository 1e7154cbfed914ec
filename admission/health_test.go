package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// A backend with full cores that ends no run and reads few requests, all late, fails its health checks.
func TestStuckBackendFailsHealthChecks(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("an idle backend stays healthy")
	tr.advance(3000, 0, 0)
	for n := range 2 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.backend.arrivals.baseline.add(tr.now, 100) // five per second
	tr.advance(2500, 1, 2)
	tr.note("full cores with long runs are healthy while fewer requests than usual arrive, or none")
	tr.finish("inv1", OK)
	tr.arrive("inv2", idempotentOperation, 0.9)
	tr.advance(2100, 1, 2)
	tr.arrive("late", idempotentOperation, 0.9, withQueueTime(1200*monotime.Millisecond))
	tr.note("two seconds without progress on full cores, requests read late at the normal rate: an overload, healthy")
	tr.backend.arrivals.recent.add(tr.now, 50)
	tr.advance(100, 1, 2)
	tr.note("the same at less than half of the baseline read rate: stuck")
	tr.backend.arrivals.recent.subtract(tr.now, 50)
	tr.advance(500, 1, 2)
	tr.note("after progress it becomes healthy with a delay; a draining backend never does")
	tr.finish("inv0", OK)
	tr.advance(4000, 0.5, 1)
	tr.record(DrainNotice{Left: 9 * monotime.Second})
	tr.finish("inv2", OK)
	tr.advance(4000, 0.5, 1)
	tr.compare()
}
