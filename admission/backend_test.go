package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// A throttle says "don't retry" once the share of recent retries is above the limit, to first attempts and retries
// alike.
func TestDontRetryFollowsRetryShare(t *testing.T) {
	tr := newTrace(t, nil)
	tr.pass(400, 1, 8)
	tr.note("no retries seen: try elsewhere")
	for n := range 9 {
		tr.arrive(fmt.Sprint("first", n), 0, 0)
	}
	tr.note("one mark in ten is at the cut, the next goes above it; retries fare alike")
	tr.arrive("retry0", 0, 0, retry)
	tr.arrive("retry1", 0, 0, retry)
	tr.check()
}

// The run queue throttles only on busy cores, and lower priorities first.
func TestThresholdByPriority(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("a crowded queue on idle cores throttles nobody")
	tr.pass(400, 0.5, 1.9)
	tr.arrive("idle", 0, 0)
	tr.done("idle", OK)
	tr.note("busy cores, a few together by chance: not even the lowest rank is throttled")
	tr.pass(400, 1, 3)
	tr.arrive("by chance", 0, 0)
	tr.done("by chance", OK)
	tr.note("busy cores, more than two in the queue for each")
	tr.pass(400, 1, 5)
	tr.arrive("low", 0, 0.05)
	tr.arrive("middle", 0, 0.3)
	tr.arrive("high", 0, 0.95)
	tr.arrive("high retry", 0, 0.95, retry)
	tr.check()
}

// Each invocation is answered by its deadline, whatever has become of it, and stopped where its caller has left.
func TestEveryInvocationIsAnsweredInTime(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.Preemption = PreemptionDiscards })
	brief := func(a *Arrived) { a.TimeLeft = 300_000 }
	tr.note("running work is failed and stopped, held work throttled, a gone caller's stopped")
	tr.arrive("runs", 0, 0.9, brief)
	tr.arrive("gone", 0, 0.9)
	tr.do(CallerGone{"gone"})
	tr.pass(100, 0.5, 9)
	tr.arrive("waits", 0, 0.9, brief)
	tr.arrive("untold", 0, 0.9, func(a *Arrived) { a.TimeLeft, a.QueueTime = 0, 4_900_000 })
	tr.pass(400, 0.5, 9)
	tr.done("gone", Canceled)
	tr.done("runs", Canceled)
	tr.check()
}

// A repeat never runs beside its original or after it, and a non-idempotent run is neither repeated nor throttled.
func TestNoEffectTwice(t *testing.T) {
	tr := newTrace(t, nil)
	again := func(a *Arrived) { a.RepeatOf = "tok" }
	tr.note("a repeat reuses the running or the finished try")
	tr.arrive("tok", 1, 0.5)
	tr.arrive("tok2", 1, 0.5, again)
	tr.done("tok", OK)
	tr.done("tok2", OK)
	tr.note("also under overload: never throttled, never run")
	tr.pass(400, 1, 20)
	tr.arrive("tok3", 1, 0, again, retry)
	tr.note("one that never ran leaves no entry behind")
	tr.pass(400, 0.5, 3)
	tr.arrive("held", 1, 0.9)
	tr.do(CallerGone{"held"})
	tr.note("no call of a non-idempotent run is repeated; the run is failed, not throttled")
	tr.pass(400, 0.5, 1)
	tr.arrive("once", 2, 0.5)
	tr.do(NeedsCall{"once"})
	tr.do(CallReturned{"once", TimedOut, 100_000})
	tr.done("once", Canceled)
	tr.note("a repeat of one that waits waits for it; when that one is given up the repeat errs, and the next is new work")
	tr.pass(400, 0.5, 3)
	brief := func(a *Arrived) { a.TimeLeft = 300_000 }
	tr.arrive("waits", 1, 0.9, brief)
	tr.arrive("its repeat", 1, 0.9, func(a *Arrived) { a.RepeatOf = "waits" })
	tr.pass(300, 0.5, 3)
	tr.done("its repeat", Errored)
	tr.pass(400, 0.5, 0)
	tr.arrive("new work", 1, 0.9)
	tr.note("a repeat that has no time left is errored, not throttled")
	tr.arrive("too late", 1, 0.9, func(a *Arrived) { a.RepeatOf, a.TimeLeft, a.QueueTime = "new work", 0, 5_000_000 })
	tr.done("new work", OK)
	tr.note("where the table has no room, a tokened invocation does not run")
	tr.b.config.MemoryKB = 200
	tr.arrive("no room", 1, 0.9, func(a *Arrived) { a.MemoryKB = 175 })
	tr.check()
}

// What reaches the machine within the grace is admitted, what comes later is throttled, and all is answered before
// the stop.
func TestDrain(t *testing.T) {
	tr := newTrace(t, nil)
	tr.arrive("before", 0, 0.5)
	tr.do(DrainNotice{Left: 3_000_000})
	tr.pass(900, 0.5, 1)
	tr.arrive("within", 0, 0.5)
	tr.pass(200, 0.5, 2)
	tr.arrive("after", 0, 0.5)
	tr.done("within", OK)
	tr.arrive("unread before", 0, 0.5, func(a *Arrived) { a.QueueTime = 200_000 })
	tr.pass(1900, 0.5, 2)
	tr.check()
}

// Nothing is started or admitted beyond its part of the memory.
func TestMemory(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.MemoryKB = 500 })
	tr.note("two runs of 160 fit, a third does not and waits; past the held limit: throttled")
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.9)
	}
	tr.arrive("large", 0, 0.9, func(a *Arrived) { a.MemoryKB = 200 })
	tr.done("inv0", OK)
	tr.check()
}

// The number of runs started and not ended is bounded by the cores, lower while warming up.
func TestMaxRunsWarmAndCold(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.JustStarted, t.CollapseMultiple, t.WarmUp = true, 2, 3_000_000 })
	tr.note("runs that left the gauge for a disk still count; cold, two cores bear two")
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.9)
		tr.pass(20, 0.1, 0)
	}
	tr.note("warm, they bear three")
	tr.pass(3_000, 0.1, 0)
	tr.check()
}

// Calls are bounded by the quota, retried within the retry budget, and skipped where that is allowed.
func TestCallsToDependency(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.SharedDependency, t.CallQuota = true, 1 })
	tr.note("one call in hand at most; an abandoned one lingers")
	tr.arrive("a", 0, 0.9)
	tr.arrive("b", 0, 0.9)
	tr.do(NeedsCall{"a"})
	tr.do(NeedsCall{"b"})
	tr.do(CallReturned{"a", TimedOut, 100_000})
	tr.done("a", Canceled)
	tr.pass(220, 0.2, 1)
	tr.do(CallReturned{"b", OK, 10_000})
	tr.done("b", OK)
	tr.note("with enough first calls made, a safe call is tried three times in all")
	tr.b.calls.first.add(tr.now, 100)
	tr.arrive("c", 0, 0.9)
	tr.do(NeedsCall{"c"})
	for range 3 {
		tr.do(CallReturned{"c", QueueFull, 1000})
		tr.pass(200, 0.2, 1)
	}
	tr.done("c", Canceled)
	tr.note("skipped where that is allowed")
	tr.b.config.Operations[0].ValueWithoutCall = 0.5
	tr.b.calls.first.sum = 0
	tr.arrive("d", 0, 0.9)
	tr.do(NeedsCall{"d"})
	tr.do(CallReturned{"d", Unreachable, 1000})
	tr.check()
}

// A server on which nothing ends any more must not go on as in better times.
func TestWorkThatHangsIsNoticed(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.9)
	}
	tr.pass(1500, 1, 3)
	tr.note("nothing has ended for long: what would need as long is throttled before its objective is over")
	tr.arrive("next", 0, 0.9, retry)
	tr.pass(2000, 1, 3)
	tr.check()
}

// Retry-After covers what stands unread, which no gauge shows.
func TestQueueTimeIsInRetryAfter(t *testing.T) {
	tr := newTrace(t, nil)
	tr.pass(400, 1, 5)
	tr.arrive("read at once", 0, 0.5)
	tr.arrive("unread", 0, 0.5, func(a *Arrived) { a.QueueTime = 700_000 })
	tr.check()
}

// A dependency that stops answering must not take the runs, nor be crowded further.
func TestSlowDependency(t *testing.T) {
	tr := newTrace(t, func(t *Config) {
		t.SharedDependency, t.CallQuota, t.Cores = true, 2, 4
		t.Operations[2] = Operation{Objective: 2_000_000, ClientTimeout: 5_000_000}
	})
	for n := range 3 {
		id := fmt.Sprint("usual", n)
		tr.arrive(id, 0, 0.9)
		tr.do(NeedsCall{id})
		tr.pass(40, 0.3, 1)
		tr.do(CallReturned{id, OK, 40_000})
		tr.done(id, OK)
	}
	for n := range 3 {
		id := fmt.Sprint("stuck", n)
		tr.arrive(id, 0, 0.9)
		tr.do(NeedsCall{id})
	}
	tr.pass(3000, 0.1, 0)
	tr.note("what calls is not taken now, what does not is; a returned call makes no room for the third")
	tr.arrive("calls", 0, 0.9)
	tr.arrive("does not call", 2, 0.9)
	tr.do(CallReturned{"stuck0", QueueFull, 300_000})
	tr.check()
}

// What a tenant sends beyond its part of the quota yields to anyone's work within it.
func TestTenantBeyondItsQuota(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.QuotaPerSecond, t.OverQuotaValue = []float64{8, 8}, 0.05 })
	for n := range 9 {
		id := fmt.Sprint("first", n)
		tr.arrive(id, 0, 0.5)
		tr.done(id, OK)
	}
	tr.pass(400, 1, 2.4)
	tr.note("the first tenant has had its part; even its best waits for the other's least")
	tr.arrive("best of the first", 0, 0.99)
	tr.arrive("least of the second", 0, 0.01, func(a *Arrived) { a.Tenant = 1 })
	tr.check()
}

// A machine that reads and ends nothing on full cores must fail its health checks.
func TestStuckBackendIsNotHealthy(t *testing.T) {
	tr := newTrace(t, nil)
	tr.note("idle, it is healthy however long nothing happens")
	tr.pass(3000, 0, 0)
	for n := range 2 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.9)
	}
	tr.b.arrivals.usual.add(tr.now, 100) // five a second
	tr.pass(2500, 1, 2)
	tr.note("nor on full cores with long runs, while less comes than usual, or nothing")
	tr.done("inv1", OK)
	tr.arrive("inv2", 0, 0.9)
	tr.pass(2100, 1, 2)
	tr.arrive("late", 0, 0.9, func(a *Arrived) { a.QueueTime = 1_200_000 })
	tr.note("two seconds without a move on full cores, and what is read has waited too long: an overload")
	tr.b.arrivals.recent.add(tr.now, 50)
	tr.pass(100, 1, 2)
	tr.note("and the same where it reads less than half of the usual")
	tr.b.arrivals.recent.subtract(tr.now, 50)
	tr.pass(500, 1, 2)
	tr.note("it moves again, and is healthy some time after; a draining one never is")
	tr.done("inv0", OK)
	tr.pass(4000, 0.5, 1)
	tr.do(DrainNotice{Left: 9_000_000})
	tr.done("inv2", OK)
	tr.pass(4000, 0.5, 1)
	tr.check()
}

// Runs that crawl past their objective must not hold the cores where they can be stopped.
func TestLateRunsAreStopped(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.Preemption = PreemptionDiscards })
	for n := range 2 {
		tr.arrive(fmt.Sprint("crawls", n), n*2, 0.9)
	}
	tr.pass(2100, 1, 2)
	tr.note("the non-idempotent one goes on to its due time")
	tr.pass(3000, 1, 2)
	tr.check()
}

// A notice shorter than the time to the next reading still leaves nothing unanswered.
func TestShortDrainNotice(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.5)
	}
	tr.do(DrainNotice{Left: 10_000})
	tr.arrive("last", 0, 0.5)
	tr.check()
}

// Callers who come rarely must not fill the table of connections; those who come often keep theirs.
func TestIdleConnectionsOfSparseCallers(t *testing.T) {
	few := newTrace(t, func(t *Config) { t.Callers, t.FleetSize, t.IdleTimeout = 32, 300, 30_000_000 })
	few.pass(6000, 0.5, 1)
	if text := few.text.String(); strings.Contains(text, "CloseIdle") {
		t.Errorf("sixteen callers a core, which any table holds:\n%s", text)
	}
	tr := newTrace(t, func(t *Config) { t.Callers, t.FleetSize, t.IdleTimeout = 40, 300, 30_000_000 })
	for _, every := range []monotime.Micros{500, 60, 500} {
		tr.note(fmt.Sprintf("40 callers, one read every %d ms", every))
		for end := tr.now + 12_000_000; tr.now < end; {
			tr.b.arrivals.recent.add(tr.now, 1)
			tr.pass(every, 0.5, 1)
		}
	}
	tr.check()
}

// While nearly all that is read is throttled, tables may fill: new connections would bring hardly anything else.
func TestSaturationLeavesConnectionsOpen(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.Callers, t.FleetSize, t.IdleTimeout = 400, 300, 30_000_000 })
	read := func(throttled, of int) { // within 200 ms
		for n := range of {
			arrived := Arrived{ID: fmt.Sprint(tr.now, "-", n), TimeLeft: 5_000_000, MemoryKB: 1}
			if n < throttled {
				arrived.ShedFor = 1000
			}
			tr.b.Decide(tr.now, arrived, nil)
			tr.b.Decide(tr.now, Finished{ID: arrived.ID, Outcome: OK}, nil)
		}
		tr.pass(200, 1, 1)
	}
	tr.note("callers come rarely")
	tr.pass(3000, 1, 4)
	tr.note("eight in ten are throttled, then ten tasks read or connect: both alone say nothing")
	for range 5 {
		read(16, 20)
	}
	tr.pass(30_000, 1, 10)
	tr.pass(10_000, 1, 1)
	tr.note("eight invocations, all throttled, say nothing")
	read(8, 8)
	tr.pass(30_000, 1, 1)
	tr.note("twenty, of which nineteen are throttled; then none for more than a minute")
	read(19, 20)
	tr.pass(70_000, 1, 1)
	tr.check()
}

// TestUnrunnable: what the executor knows nothing of moves no measure, whatever marks it bears.
func TestUnrunnable(t *testing.T) {
	tr := newTrace(t, func(t *Config) { t.QuotaPerSecond = []float64{10, 10} })
	for k := range 2 {
		tr.arrive(fmt.Sprint("work", k), 0, 0.5)
	}
	tr.pass(20, 0.9, 2)
	measures := func() string {
		b := tr.b
		return fmt.Sprintf("reads %.2f retries %.2f tenant %.2f ended %.2f pressure %.2f drag %.2f", b.arrivals.recent.read(tr.now),
			b.arrivals.retries.read(tr.now), b.admittedByTenant[1].read(tr.now), b.runs.ended.read(tr.now), b.runQueue(), b.slowdown(tr.now))
	}
	before := measures()
	for k := range 500 {
		id := fmt.Sprint("none", k)
		tr.b.Decide(tr.now, Arrived{ID: id, Priority: 0.9, Retry: k%2 == 0, Tenant: 1, ExpectedWork: 1000, TimeLeft: 5_000_000, MemoryKB: 1}, nil)
		tr.b.Decide(tr.now, Finished{ID: id, Outcome: Unrunnable}, nil)
	}
	if after := measures(); after != before {
		t.Errorf("before %s\nafter  %s", before, after)
	}
}

// Where no mark tells a retry, the time until its deadline does; so few show that the limit is halved: at priority
// 0.9 it is a share of retries of 0.46.
func TestUnusualDeadlinesStandForRetryMarks(t *testing.T) {
	for _, unmarked := range []bool{false, true} {
		tr := newTrace(t, func(t *Config) { t.RetriesUnmarked = unmarked })
		first := func(a *Arrived) { a.TimeLeft = 2_500_000 }
		for n := range 60 {
			tr.b.Decide(tr.now, Arrived{ID: fmt.Sprint("first", n), TimeLeft: 2_500_000 - monotime.Micros(n*300), MemoryKB: 1}, nil)
			tr.b.Decide(tr.now, Finished{ID: fmt.Sprint("first", n), Outcome: OK}, nil)
			tr.now += 20_000
		}
		usual := tr.b.arrivals.retries.read(tr.now)
		tr.pass(400, 1, 9)
		tr.arrive("before", 0, 0.9, first)
		for n := range 40 { // what is left of five seconds differs from one to the next
			tr.b.Decide(tr.now, Arrived{ID: fmt.Sprint("later", n), TimeLeft: 4_900_000 - monotime.Micros(n*73_000), MemoryKB: 1}, nil)
		}
		tr.arrive("after", 0, 0.9, first)
		dontRetry := strings.Count(tr.text.String(), "DontRetry:true")
		share := tr.b.arrivals.retries.read(tr.now) / tr.b.arrivals.recent.read(tr.now)
		if !unmarked && (usual != 0 || dontRetry != 0) || unmarked && (usual != 0 || dontRetry != 1 || share < 0.3 || share > 0.46) {
			t.Errorf("unmarked %t: %.2f among first attempts, then %.2f, don't retry %d times\n%s", unmarked, usual, share, dontRetry, &tr.text)
		}
	}
}

// Where value is billed by invocation, a higher value goes first and is not given up for a lower one.
func TestHigherValueFirst(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		tr := newTrace(t, func(t *Config) {
			t.ValuePerWork = byWork
			t.Operations[0].Value, t.Operations[2].Value = 1, 10
		})
		for n := range 2 {
			tr.arrive(fmt.Sprint("runs", n), 0, 0.1)
		}
		tr.pass(20, 0.5, 2)
		for n := range 4 {
			tr.arrive(fmt.Sprint("cheap", n), 0, 0.1)
		}
		tr.now += 50_000
		tr.arrive("dear", 2, 0.9)
		tr.now += 50_000
		tr.text.Reset()
		tr.done("runs0", OK)
		if first := strings.Contains(tr.text.String(), "Start{ID:dear}"); first == byWork {
			t.Errorf("by work %t:\n%s", byWork, &tr.text)
		}
	}
}

// A third run on two cores slows all three; on six cores a seventh has the core between an end and what follows it.
func TestRunsWantedOnFewCoresAndMany(t *testing.T) {
	for cores, want := range map[int]float64{1: 1, 2: 2, 4: 4, 6: 7} {
		tr := newTrace(t, func(config *Config) { config.Cores = cores })
		for n := range 12 {
			tr.arrive(fmt.Sprint("a", n), 0, 0.9)
		}
		tr.pass(40, 1, want)
		if got := tr.b.count(running); got != want {
			t.Errorf("%v runs on %d cores, want %v", got, cores, want)
		}
		tr.done("a0", OK)
		if got := tr.b.count(running); got != want {
			t.Errorf("%v runs on %d cores after an end, want %v", got, cores, want)
		}
	}
}

// A run that leaves the cores for a call makes room at once, not at the next reading.
func TestACallFreesItsCore(t *testing.T) {
	tr := newTrace(t, nil)
	for n := range 3 {
		tr.arrive(fmt.Sprint("inv", n), 0, 0.9)
	}
	tr.do(NeedsCall{"inv0"})
	tr.arrive("inv3", 0, 0.9)
	tr.do(CallReturned{"inv0", OK, 10_000})
	tr.done("inv0", OK)
	tr.done("inv1", OK)
	tr.check()
}

// Runs that have not had what they were expected to cost must not make the next look late, unless a queue waits.
func TestLongRunsAreNoSlowdownWithoutAQueue(t *testing.T) {
	tr := newTrace(t, nil)
	long := func(a *Arrived) { a.ExpectedWork = 1_500_000 }
	tr.arrive("long0", 0, 0.9, long)
	tr.arrive("long1", 0, 0.9, long)
	tr.pass(1200, 1, 2)
	if slowdown := tr.b.slowdown(tr.now); slowdown > 1.05 {
		t.Errorf("slowdown %.2f of runs within their expected cost", slowdown)
	}
	for n := range 2 {
		tr.b.Decide(tr.now, Arrived{ID: fmt.Sprint("waits", n), ExpectedWork: 10_000, TimeLeft: 5_000_000, MemoryKB: 1, Priority: 0.9}, nil)
	}
	if slowdown := tr.b.slowdown(tr.now); slowdown < 2 {
		t.Errorf("slowdown %.2f with a queue of %.0f", slowdown, tr.b.count(waiting))
	}
	tr.pass(1500, 1, 2)
	if slowdown := tr.b.slowdown(tr.now); slowdown < 1.3 {
		t.Errorf("slowdown %.2f of runs that have had twice their expected cost", slowdown)
	}
}
