package admission

import (
	"slices"
	"testing"

	"milletbarrow/monotime"
)

// A repeat never runs during or after its original, and a non-idempotent run is neither retried nor rejected.
func TestRepeatsHaveNoSecondEffect(t *testing.T) {
	tr := newTrace(t, nil)
	repeat := repeatOf("original")
	tr.note("a repeat reuses the result of the running or finished attempt")
	tr.arrive("original", keyedOperation, 0.5)
	tr.arrive("repeat", keyedOperation, 0.5, repeat)
	tr.finish("original", OK)
	tr.finish("repeat", OK)
	tr.note("under overload a repeat is neither rejected nor run")
	tr.advance(400, 1, 20)
	tr.arrive("repeat2", keyedOperation, 0, repeat, asRetry)
	tr.note("the key of a request that never ran is deleted")
	tr.advance(400, 0.5, 3)
	tr.arrive("never ran", keyedOperation, 0.9)
	tr.record(CallerGone{"never ran"})
	tr.note("the call of a non-idempotent run is not retried; the run fails and is not rejected")
	tr.advance(400, 0.5, 1)
	tr.arrive("once", nonIdempotentOperation, 0.5)
	tr.record(NeedsCall{"once"})
	tr.record(CallReturned{"once", TimedOut, 100 * monotime.Millisecond})
	tr.finish("once", Canceled)
	tr.note("a repeat of a waiting request ends with it; after that the key can be used again")
	tr.advance(400, 0.5, 3)
	shortDeadline := withTimeLeft(300 * monotime.Millisecond)
	tr.arrive("waits", keyedOperation, 0.9, shortDeadline)
	tr.arrive("its repeat", keyedOperation, 0.9, repeatOf("waits"))
	tr.advance(300, 0.5, 3)
	tr.finish("its repeat", Errored)
	tr.advance(400, 0.5, 0)
	tr.arrive("new work", keyedOperation, 0.9)
	tr.note("a repeat past its deadline fails and is not rejected")
	tr.arrive("too late", keyedOperation, 0.9,
		repeatOf("new work"), withTimeLeft(0), withQueueTime(5*monotime.Second))
	tr.finish("new work", OK)
	tr.note("a keyed request is rejected if its key does not fit into the memory")
	tr.backend.config.MemoryKB = 200
	tr.arrive("no room", keyedOperation, 0.9, withMemory(175))
	tr.compare()
}

// Only requests of operations with idempotency keys are answered with the result of another request.
func TestOnlyKeyedOperationsReuseResults(t *testing.T) {
	tr := newTrace(t, nil)
	tr.expect(arrival("first", keyedOperation), Remember{"first", 4 * monotime.Second}, Start{"first"})
	for op, id := range map[int]string{idempotentOperation: "idempotent", nonIdempotentOperation: "non-idempotent"} {
		out := tr.decide(arrival(id, op, repeatOf("first")))
		if slices.Contains(out, Action(Reuse{id})) {
			t.Errorf("%s request: actions %+v, want no Reuse", id, out)
		}
		tr.decide(Finished{ID: id, Outcome: OK})
	}
	tr.expect(arrival("keyed", keyedOperation, repeatOf("first")), Reuse{"keyed"})
}
