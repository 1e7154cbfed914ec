package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// A long run queue causes rejections only while the cores are busy, of lower priorities first.
func TestBusyBackendRejectsLowPrioritiesFirst(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("idle cores: no request is rejected, however long the run queue")
	tr.advance(400, 0.5, 1.9)
	tr.arrive("idle", idempotentOperation, 0)
	tr.finish("idle", OK)
	tr.note("busy cores and a short run queue: not even the lowest priority is rejected")
	tr.advance(400, 1, 3)
	tr.arrive("short queue", idempotentOperation, 0)
	tr.finish("short queue", OK)
	tr.note("busy cores and more than two tasks per core in the run queue")
	tr.advance(400, 1, 5)
	tr.arrive("low", idempotentOperation, 0.05)
	tr.arrive("middle", idempotentOperation, 0.3)
	tr.arrive("high", idempotentOperation, 0.95)
	tr.arrive("high retry", idempotentOperation, 0.95, asRetry)
	tr.compare()
}

// Throttle sets DontRetry once the share of retries among recent arrivals is above the limit, for first attempts and
// retries alike.
func TestThrottleSaysDontRetryAboveRetryShareLimit(t *testing.T) {
	tr := newTrace(t, nil)
	tr.advance(400, 1, 8)
	tr.note("no retries among recent arrivals: DontRetry is not set")
	for n := range 9 {
		tr.arrive(fmt.Sprint("first", n), idempotentOperation, 0)
	}
	tr.note("a 10% share of retries is at the limit, the next retry exceeds it, for first attempts and retries alike")
	tr.arrive("retry0", idempotentOperation, 0, asRetry)
	tr.arrive("retry1", idempotentOperation, 0, asRetry)
	tr.compare()
}

// Retry-After is at least the time for which the request waited to be read, which no gauge shows.
func TestRetryAfterIsAtLeastQueueTime(t *testing.T) {
	tr := newTrace(t, nil)
	tr.advance(400, 1, 5)
	tr.arrive("read at once", idempotentOperation, 0.5)
	tr.arrive("read late", idempotentOperation, 0.5, withQueueTime(700*monotime.Millisecond))
	tr.compare()
}

// A request that is shed by graceful degradation is rejected, with the duration of the shedding as Retry-After.
func TestShedArrivalIsRejected(t *testing.T) {
	tr := newTrace(t, nil)
	const shedFor = 700 * monotime.Millisecond
	tr.expect(arrival("shed", idempotentOperation, withShedFor(shedFor)), Throttle{ID: "shed", RetryAfter: shedFor})
	tr.expect(arrival("not shed", idempotentOperation), Start{"not shed"})
}

// The memory limit applies to running and waiting requests.
func TestMemoryLimitsRunningAndWaitingRequests(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.MemoryKB = 500 })
	tr.note("two runs of 160 KB fit, a third request waits; a request above the admission memory limit is rejected")
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.arrive("large", idempotentOperation, 0.9, withMemory(200))
	tr.finish("inv0", OK)
	tr.compare()
}

// Requests that are unknown to the executor do not change the recent arrival, quota and run statistics, whether marked
// as retries or not.
func TestUnrunnableRequestsAreNotCounted(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.QuotaPerSecond = []float64{10, 10} })
	for k := range 2 {
		tr.arrive(fmt.Sprint("work", k), idempotentOperation, 0.5)
	}
	tr.advance(20, 0.9, 2)
	const tenant = 1
	statistics := func() string {
		return fmt.Sprintf("arrivals %.2f retries %.2f of tenant %.2f ended %.2f run queue %.2f slowdown %.2f",
			tr.backend.arrivals.recent.read(tr.now),
			tr.backend.arrivals.retries.read(tr.now),
			tr.backend.admittedByTenant[tenant].read(tr.now),
			tr.backend.runs.ended.read(tr.now),
			tr.backend.runQueue(),
			tr.backend.slowdown(tr.now))
	}
	before := statistics()
	for k := range 500 {
		id := fmt.Sprint("unknown", k)
		unrunnable := arrival(id, idempotentOperation, withMemory(1))
		unrunnable.Retry = k%2 == 0
		unrunnable.Tenant = tenant
		unrunnable.ExpectedWork = monotime.Millisecond
		tr.backend.Decide(tr.now, unrunnable, nil)
		tr.backend.Decide(tr.now, Finished{ID: id, Outcome: Unrunnable}, nil)
	}
	if after := statistics(); after != before {
		t.Errorf("before %s\nafter  %s", before, after)
	}
}
