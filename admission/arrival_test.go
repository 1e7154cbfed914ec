package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// A long run queue rejects requests only while the cores are busy, and lower priorities first.
func TestThresholdByPriority(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("idle cores: a long run queue rejects nobody")
	tr.pass(400, 0.5, 1.9)
	tr.arrive("idle", idempotentOperation, 0)
	tr.finish("idle", OK)
	tr.note("busy cores, a short run queue: not even the lowest priority is rejected")
	tr.pass(400, 1, 3)
	tr.arrive("by chance", idempotentOperation, 0)
	tr.finish("by chance", OK)
	tr.note("busy cores, more than two tasks in the run queue for each")
	tr.pass(400, 1, 5)
	tr.arrive("low", idempotentOperation, 0.05)
	tr.arrive("middle", idempotentOperation, 0.3)
	tr.arrive("high", idempotentOperation, 0.95)
	tr.arrive("high retry", idempotentOperation, 0.95, retry)
	tr.check()
}

// A throttle says "don't retry" once the share of recent retries is above the limit, to first attempts and retries
// alike.
func TestDontRetryFollowsRetryShare(t *testing.T) {
	tr := newTrace(t, nil)
	tr.pass(400, 1, 8)
	tr.note("no retries among recent arrivals: callers may retry elsewhere")
	for n := range 9 {
		tr.arrive(fmt.Sprint("first", n), idempotentOperation, 0)
	}
	tr.note("a share of retries of one in ten is at the limit, the next retry exceeds it; retries are treated alike")
	tr.arrive("retry0", idempotentOperation, 0, retry)
	tr.arrive("retry1", idempotentOperation, 0, retry)
	tr.check()
}

// Retry-After is at least the time for which the request stood unread, which no gauge shows.
func TestQueueTimeIsInRetryAfter(t *testing.T) {
	tr := newTrace(t, nil)
	tr.pass(400, 1, 5)
	tr.arrive("read at once", idempotentOperation, 0.5)
	tr.arrive("unread", idempotentOperation, 0.5, withQueueTime(700*monotime.Millisecond))
	tr.check()
}

// A request that graceful degradation sheds does not run, and Retry-After is as long as it is shed.
func TestShedArrivalIsRejected(t *testing.T) {
	tr := newTrace(t, nil)
	const shedFor = 700 * monotime.Millisecond
	tr.expect(arrival("shed", idempotentOperation, withShedFor(shedFor)), Throttle{ID: "shed", RetryAfter: shedFor})
	tr.expect(arrival("not shed", idempotentOperation), Start{"not shed"})
}

// Running and waiting requests are bounded by memory.
func TestMemory(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.MemoryKB = 500 })
	tr.note("two runs of 160 KB fit, a third waits; a request beyond the limit of waiting memory is rejected")
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
	}
	tr.arrive("large", idempotentOperation, 0.9, withMemory(200))
	tr.finish("inv0", OK)
	tr.check()
}

// Requests that the executor does not know change no measurement, whatever marks they bear.
func TestUnrunnableRequestsAreNotCounted(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.QuotaPerSecond = []float64{10, 10} })
	for k := range 2 {
		tr.arrive(fmt.Sprint("work", k), idempotentOperation, 0.5)
	}
	tr.pass(20, 0.9, 2)
	const tenant = 1
	measures := func() string {
		return fmt.Sprintf("arrivals %.2f retries %.2f of tenant %.2f ended %.2f run queue %.2f slowdown %.2f",
			tr.b.arrivals.recent.read(tr.now),
			tr.b.arrivals.retries.read(tr.now),
			tr.b.admittedByTenant[tenant].read(tr.now),
			tr.b.runs.ended.read(tr.now),
			tr.b.runQueue(),
			tr.b.slowdown(tr.now))
	}
	before := measures()
	for k := range 500 {
		id := fmt.Sprint("none", k)
		unrunnable := arrival(id, idempotentOperation, withMemory(1))
		unrunnable.Retry = k%2 == 0
		unrunnable.Tenant = tenant
		unrunnable.ExpectedWork = monotime.Millisecond
		tr.b.Decide(tr.now, unrunnable, nil)
		tr.b.Decide(tr.now, Finished{ID: id, Outcome: Unrunnable}, nil)
	}
	if after := measures(); after != before {
		t.Errorf("before %s\nafter  %s", before, after)
	}
}
