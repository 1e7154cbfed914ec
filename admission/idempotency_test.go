package admission

import (
	"slices"
	"testing"

	"milletbarrow/monotime"
)

// A repeat never runs beside its original or after it, and a non-idempotent run is neither retried nor rejected.
func TestNoEffectTwice(t *testing.T) {
	tr := newTrace(t, nil)
	again := repeatOf("tok")
	tr.note("a repeat reuses the result of the running or finished attempt")
	tr.arrive("tok", keyedOperation, 0.5)
	tr.arrive("tok2", keyedOperation, 0.5, again)
	tr.finish("tok", OK)
	tr.finish("tok2", OK)
	tr.note("a repeat is neither rejected nor run under overload")
	tr.pass(400, 1, 20)
	tr.arrive("tok3", keyedOperation, 0, again, retry)
	tr.note("the key of a request that never ran is forgotten")
	tr.pass(400, 0.5, 3)
	tr.arrive("held", keyedOperation, 0.9)
	tr.do(CallerGone{"held"})
	tr.note("no call of a non-idempotent run is retried; the run is failed, not rejected")
	tr.pass(400, 0.5, 1)
	tr.arrive("once", nonIdempotentOperation, 0.5)
	tr.do(NeedsCall{"once"})
	tr.do(CallReturned{"once", TimedOut, 100 * monotime.Millisecond})
	tr.finish("once", Canceled)
	tr.note("a repeat of a waiting request shares its fate; after that the key is new")
	tr.pass(400, 0.5, 3)
	brief := withTimeLeft(300 * monotime.Millisecond)
	tr.arrive("waits", keyedOperation, 0.9, brief)
	tr.arrive("its repeat", keyedOperation, 0.9, repeatOf("waits"))
	tr.pass(300, 0.5, 3)
	tr.finish("its repeat", Errored)
	tr.pass(400, 0.5, 0)
	tr.arrive("new work", keyedOperation, 0.9)
	tr.note("a repeat without time left is failed, not rejected")
	tr.arrive("too late", keyedOperation, 0.9,
		repeatOf("new work"), withTimeLeft(0), withQueueTime(5*monotime.Second))
	tr.finish("new work", OK)
	tr.note("a keyed request does not run where its key exceeds the memory")
	tr.b.config.MemoryKB = 200
	tr.arrive("no room", keyedOperation, 0.9, withMemory(175))
	tr.check()
}

// Only an operation with idempotency keys may be answered with the result of another request.
func TestOnlyKeyedOperationsAreReused(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("first", keyedOperation), Remember{"first", 4 * monotime.Second}, Start{"first"})
	for op, id := range map[int]string{idempotentOperation: "idempotent", nonIdempotentOperation: "non-idempotent"} {
		out := tr.decide(arrival(id, op, repeatOf("first")))
		if slices.Contains(out, Action(Reuse{id})) {
			t.Errorf("%s: %+v", id, out)
		}
		tr.decide(Finished{ID: id, Outcome: OK})
	}
	tr.expect(arrival("keyed", keyedOperation, repeatOf("first")), Reuse{"keyed"})
}
