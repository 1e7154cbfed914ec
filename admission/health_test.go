package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// A backend that reads hardly anything and ends no run on full cores fails its health checks.
func TestStuckBackendIsNotHealthy(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("an idle backend is healthy however long nothing happens")
	tr.pass(3000, 0, 0)
	for n := range 2 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.b.arrivals.usual.add(tr.now, 100) // five a second
	tr.pass(2500, 1, 2)
	tr.note("full cores with long runs are healthy too, while fewer requests than usual arrive, or none")
	tr.finish("inv1", OK)
	tr.arrive("inv2", idempotentOperation, 0.9)
	tr.pass(2100, 1, 2)
	tr.arrive("late", idempotentOperation, 0.9, withQueueTime(1200*monotime.Millisecond))
	tr.note("two seconds without progress on full cores, and requests are read late: an overload")
	tr.b.arrivals.recent.add(tr.now, 50)
	tr.pass(100, 1, 2)
	tr.note("the same at less than half of the usual read rate: stuck")
	tr.b.arrivals.recent.subtract(tr.now, 50)
	tr.pass(500, 1, 2)
	tr.note("it makes progress and is healthy some time after; a draining backend never is")
	tr.finish("inv0", OK)
	tr.pass(4000, 0.5, 1)
	tr.do(DrainNotice{Left: 9 * monotime.Second})
	tr.finish("inv2", OK)
	tr.pass(4000, 0.5, 1)
	tr.check()
}
