package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Requests that reach the host within the drain grace are admitted, later ones rejected, and all are answered before
// the stop.
func TestDrain(t *testing.T) {
	tr := newTrace(t, nil)
	tr.arrive("before", idempotentOperation, 0.5)
	tr.do(DrainNotice{Left: 3 * monotime.Second})
	tr.pass(900, 0.5, 1)
	tr.arrive("within", idempotentOperation, 0.5)
	tr.pass(200, 0.5, 2)
	tr.arrive("after", idempotentOperation, 0.5)
	tr.finish("within", OK)
	tr.arrive("unread before", idempotentOperation, 0.5, withQueueTime(200*monotime.Millisecond))
	tr.pass(1900, 0.5, 2)
	tr.check()
}

// Everything is answered even if the stop comes before the next reading.
func TestShortDrainNotice(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.5)
	}
	tr.do(DrainNotice{Left: 10 * monotime.Millisecond})
	tr.arrive("last", idempotentOperation, 0.5)
	tr.check()
}

// A request within the grace that can't be answered before the stop is not run, and a repeat not answered by a result.
func TestArrivalsJustBeforeTheStop(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("key", keyedOperation), Remember{"key", 4 * monotime.Second}, Start{"key"})
	tr.decide(DrainNotice{Left: 500 * monotime.Millisecond})
	tr.now = tr.b.answerBy() - 1
	tr.expect(arrival("in time", idempotentOperation), Start{"in time"})
	tr.now++
	tr.expect(arrival("too late", idempotentOperation), Throttle{ID: "too late", RetryAfter: tr.b.config.MaxRetryAfter})
	tr.expect(arrival("repeat", keyedOperation, repeatOf("key")), Fail{"repeat"})
}
