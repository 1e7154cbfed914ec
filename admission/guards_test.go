package admission

import (
	"fmt"
	"slices"
	"testing"
)

// decide returns the actions of one event, without the timer.
func (tr *trace) decide(event Event) []Action {
	return slices.DeleteFunc(tr.b.Decide(tr.now, event, nil), func(a Action) bool { _, wake := a.(Wake); return wake })
}

// expect fails the test unless the event leads to these actions and no other.
func (tr *trace) expect(event Event, want ...Action) {
	tr.t.Helper()
	if got := tr.decide(event); !slices.Equal(got, want) {
		tr.t.Errorf("%T%+v: %T%+v, want %T%+v", event, event, got, got, want, want)
	}
}

// arrival is an invocation of 100 ms of work.
func arrival(id string, op int, edit ...func(*Arrived)) Arrived {
	a := Arrived{ID: id, Operation: op, Priority: 0.9, ExpectedWork: 100_000, TimeLeft: 5_000_000, MemoryKB: 20}
	for _, e := range edit {
		e(&a)
	}
	return a
}

// A timer that an earlier incarnation has set must not count as a reading: its gauges would be taken twice.
func TestReadingBeforeItsTimeIsIgnored(t *testing.T) {
	tr := newTrace(t, nil)
	next, read := tr.b.nextReadingAt, tr.b.load.readAt
	tr.now = next - 1
	if out := tr.b.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 0 {
		t.Errorf("%+v", out)
	}
	if tr.b.nextReadingAt != next || tr.b.load.readAt != read || tr.b.load.onCores != 0 {
		t.Errorf("next %d, want %d; gauges %+v", tr.b.nextReadingAt, next, tr.b.load)
	}
	tr.now = next
	if out := tr.b.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 1 {
		t.Errorf("%+v", out)
	}
}

// A run whose caller is gone makes no call, and goes on holding its core until it has ended.
func TestAnsweredRunMakesNoCall(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("gone", 0), Start{"gone"})
	tr.expect(CallerGone{"gone"})
	tr.expect(NeedsCall{"gone"})
	if tr.b.count(running) != 1 || tr.b.count(atCall) != 0 || tr.b.load.runnable() != 1 {
		t.Errorf("%v running, %v at their call, %v want a core", tr.b.count(running), tr.b.count(atCall), tr.b.load.runnable())
	}
}

// However many runs want to call at once, no more than two for each core wait for their turn.
func TestWaitingCallsAreBounded(t *testing.T) {
	tr := newTrace(t, func(c *Config) { c.SharedDependency, c.CallQuota = true, 1 })
	const bound = 4 // two cores
	rejected := 0
	waits := func() (n int) { // those given up stay in flight until they have left their cores
		for _, inv := range tr.b.inFlight.all {
			if inv.phase == atCall && !inv.answered {
				n++
			}
		}
		return n
	}
	for n := range bound + 3 {
		id := fmt.Sprint("inv", n)
		tr.decide(arrival(id, 0))
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

// What comes within the grace, but too late to be answered before the stop, is not run, nor answered as a repeat.
func TestArrivalsJustBeforeTheStop(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("key", 1), Remember{"key", 4_000_000}, Start{"key"})
	tr.decide(DrainNotice{Left: 500_000})
	tr.now = tr.b.answerBy() - 1
	tr.expect(arrival("in time", 0), Start{"in time"})
	tr.now++
	tr.expect(arrival("too late", 0), Throttle{ID: "too late", RetryAfter: tr.b.config.MaxRetryAfter})
	tr.expect(arrival("repeat", 1, func(a *Arrived) { a.RepeatOf = "key" }), Fail{"repeat"})
}

// What a level of graceful degradation sheds does not run, and Retry-After covers the level's time.
func TestShedArrivalIsRejected(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("shed", 0, func(a *Arrived) { a.ShedFor = 700_000 }), Throttle{ID: "shed", RetryAfter: 700_000})
	tr.expect(arrival("not shed", 0), Start{"not shed"})
}

// Only an operation with idempotency keys may be answered with the result of another invocation.
func TestOnlyKeyedOperationsAreReused(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("first", 1), Remember{"first", 4_000_000}, Start{"first"})
	for op, id := range map[int]string{0: "idempotent", 2: "non-idempotent"} {
		out := tr.decide(arrival(id, op, func(a *Arrived) { a.RepeatOf = "first" }))
		if slices.Contains(out, Action(Reuse{id})) {
			t.Errorf("%s: %+v", id, out)
		}
		tr.decide(Finished{ID: id, Outcome: OK})
	}
	tr.expect(arrival("keyed", 1, func(a *Arrived) { a.RepeatOf = "first" }), Reuse{"keyed"})
}

// Where starts are confirmed, one is proposed with an event, and nothing runs before Launched.
func TestOneStartIsProposedAtATime(t *testing.T) {
	tr := newTrace(t, func(c *Config) { c.ConfirmStarts = true })
	tr.expect(arrival("a", 0), Start{"a"})
	tr.expect(arrival("b", 0), Start{"a"})
	if tr.b.count(running) != 0 {
		t.Errorf("%v run before their start is confirmed", tr.b.count(running))
	}
	tr.expect(Launched{"a"}, Start{"b"})
	if tr.b.count(running) != 1 {
		t.Errorf("%v run, one start is confirmed", tr.b.count(running))
	}
}

// A start that is confirmed twice, or for what is at its call, changes nothing.
func TestOnlyWaitingWorkIsLaunched(t *testing.T) {
	tr := newTrace(t, func(c *Config) { c.ConfirmStarts = true })
	tr.expect(arrival("a", 0), Start{"a"})
	tr.expect(Launched{"a"})
	tr.expect(Launched{"a"})
	if tr.b.load.runnable() != 1 {
		t.Errorf("%v want a core, one has been started", tr.b.load.runnable())
	}
	tr.decide(NeedsCall{"a"})
	tr.expect(Launched{"a"})
	if tr.b.count(inCall) != 1 || tr.b.count(running) != 0 {
		t.Errorf("%v in a call, %v running", tr.b.count(inCall), tr.b.count(running))
	}
}

// A run past its objective goes on where a late answer still has a value.
func TestLateRunWithValueGoesOn(t *testing.T) {
	for late, stops := range map[float64]int{0: 2, 0.5: 0} {
		tr := newTrace(t, func(c *Config) {
			c.Preemption = PreemptionDiscards
			c.Operations[0].LateValue = late
		})
		for n := range 2 {
			tr.decide(arrival(fmt.Sprint("run", n), 0))
		}
		got := 0
		for end := tr.now + 3_000_000; tr.now < end; tr.now += tr.b.readingInterval {
			for _, action := range tr.decide(Reading{Token: readingToken, CoreUse: 1, OnCores: 2}) {
				if _, throttles := action.(Throttle); throttles {
					got++
				}
			}
		}
		if got != stops {
			t.Errorf("late value %v: %d runs given up before their deadline, want %d", late, got, stops)
		}
	}
}
