package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// Requests that reach the host within the drain grace are admitted, later ones are rejected, and all are answered
// before the stop.
func TestDrainAnswersAllRequestsBeforeStop(t *testing.T) {
	tr := newTrace(t, nil)
	tr.arrive("before", idempotentOperation, 0.5)
	tr.record(DrainNotice{Left: 3 * monotime.Second})
	tr.advance(900, 0.5, 1)
	tr.arrive("within", idempotentOperation, 0.5)
	tr.advance(200, 0.5, 2)
	tr.arrive("after", idempotentOperation, 0.5)
	tr.finish("within", OK)
	tr.arrive("read late", idempotentOperation, 0.5, withQueueTime(200*monotime.Millisecond))
	tr.advance(1900, 0.5, 2)
	tr.compare()
}

// All requests are answered even if the stop comes before the next reading.
func TestShortDrainNoticeAnswersAllRequestsAtOnce(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.5)
	}
	tr.record(DrainNotice{Left: 10 * monotime.Millisecond})
	tr.arrive("last", idempotentOperation, 0.5)
	tr.compare()
}

// A request within the drain grace that cannot be answered before the stop is not run, and a repeat is failed instead
// of answered with a result.
func TestArrivalsJustBeforeStopAreNotRun(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("key", keyedOperation), Remember{"key", 4 * monotime.Second}, Start{"key"})
	tr.decide(DrainNotice{Left: 500 * monotime.Millisecond})
	tr.now = tr.backend.drainDeadline() - 1
	tr.expect(arrival("in time", idempotentOperation), Start{"in time"})
	tr.now++
	maxRetryAfter := tr.backend.config.MaxRetryAfter
	tr.expect(arrival("too late", idempotentOperation), Throttle{ID: "too late", RetryAfter: maxRetryAfter})
	tr.expect(arrival("repeat", keyedOperation, repeatOf("key")), Fail{"repeat"})
}
