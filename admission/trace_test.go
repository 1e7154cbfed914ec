package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// trace passes events to one backend and records them with the resulting actions.
type trace struct {
	t       *testing.T
	backend *Backend
	now     monotime.Micros
	text    strings.Builder
}

// The operations of a trace's backend.
const (
	idempotentOperation = iota
	keyedOperation
	nonIdempotentOperation
)

// newTrace returns the trace of a backend with two cores that is opened at 1 s. edit may change its configuration.
func newTrace(t *testing.T, edit func(*Config)) *trace {
	t.Helper()
	operation := Operation{
		Objective:     2 * monotime.Second,
		ClientTimeout: 5 * monotime.Second,
		MakesCalls:    true,
	}
	operations := []Operation{operation, operation, operation}
	operations[keyedOperation].RetrySafety = IdempotencyKeyed
	operations[keyedOperation].RepeatWindow = 4 * monotime.Second
	operations[nonIdempotentOperation].RetrySafety = NonIdempotent
	config := Config{
		Operations:          operations,
		FleetSize:           4,
		Callers:             2,
		Cores:               2,
		MemoryKB:            100_000,
		RunFactor:           8,
		IdempotencyKeyKB:    10,
		AnswerSlack:         60 * monotime.Millisecond,
		DrainGrace:          monotime.Second,
		ColdSpeed:           0.2,
		WarmUp:              10 * monotime.Second,
		CollapseMultiple:    6,
		CollapseAfter:       2 * monotime.Second,
		MaxRetryAfter:       monotime.Second,
		BatchInterval:       5 * monotime.Millisecond,
		CallQuotaWindow:     5 * monotime.Second,
		AbandonedCallLinger: 200 * monotime.Millisecond,
	}
	if edit != nil {
		edit(&config)
	}
	tr := &trace{t: t, backend: New(config, 7), now: monotime.Second}
	tr.record(Opened{})
	return tr
}

// arrival returns the arrival of a request with 100 ms of expected work and priority 0.9.
func arrival(id string, operation int, edits ...func(*Arrived)) Arrived {
	arrived := Arrived{
		ID:           id,
		Operation:    operation,
		Priority:     0.9,
		ExpectedWork: 100 * monotime.Millisecond,
		TimeLeft:     5 * monotime.Second,
		MemoryKB:     20,
	}
	for _, edit := range edits {
		edit(&arrived)
	}
	return arrived
}

// asRetry marks an arrival as a retry.
func asRetry(arrived *Arrived) { arrived.Retry = true }

// withTimeLeft sets the time until an arrival's deadline.
func withTimeLeft(left monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.TimeLeft = left }
}

// withQueueTime sets the time for which an arrival waited to be read.
func withQueueTime(queueTime monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.QueueTime = queueTime }
}

// withShedFor marks an arrival as shed by graceful degradation for a time.
func withShedFor(span monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.ShedFor = span }
}

// withMemory sets the memory of an arrival while it waits, in KB.
func withMemory(kb float64) func(*Arrived) {
	return func(arrived *Arrived) { arrived.MemoryKB = kb }
}

// repeatOf marks an arrival as a repeat of the request with the given ID.
func repeatOf(id string) func(*Arrived) {
	return func(arrived *Arrived) { arrived.RepeatOf = id }
}

// record passes one event to the backend and records it. Readings without actions other than Wake are omitted.
func (tr *trace) record(event Event) {
	actions := tr.decide(event)
	if _, isReading := event.(Reading); isReading && len(actions) == 0 {
		return
	}
	fmt.Fprintf(&tr.text, "%5dms %s\n", tr.now/monotime.Millisecond, describeEvent(event))
	for _, action := range actions {
		fmt.Fprintf(&tr.text, "        %s%+v\n", typeName(action), action)
	}
}

func describeEvent(event Event) string {
	switch event := event.(type) {
	case Arrived:
		return fmt.Sprintf("Arrived %s priority %.2f retry %v", event.ID, event.Priority, event.Retry)
	case Opened, Reading:
		return typeName(event)
	default:
		return fmt.Sprintf("%s %+v", typeName(event), event)
	}
}

func typeName(value any) string { return strings.TrimPrefix(fmt.Sprintf("%T", value), "admission.") }

// decide passes one event to the backend and returns the actions other than Wake.
func (tr *trace) decide(event Event) []Action {
	return slices.DeleteFunc(tr.backend.Decide(tr.now, event, nil), func(action Action) bool {
		_, isWake := action.(Wake)
		return isWake
	})
}

// expect fails the test unless the event results in exactly these actions.
func (tr *trace) expect(event Event, want ...Action) {
	tr.t.Helper()
	if got := tr.decide(event); !slices.Equal(got, want) {
		tr.t.Errorf("%T%+v: %T%+v, want %T%+v", event, event, got, got, want, want)
	}
}

// note adds a comment to the record.
func (tr *trace) note(text string) { fmt.Fprintf(&tr.text, "# %s\n", text) }

// arrive records the arrival of a request with the given priority.
func (tr *trace) arrive(id string, operation int, priority float64, edits ...func(*Arrived)) {
	arrived := arrival(id, operation)
	arrived.Priority = priority
	for _, edit := range edits {
		edit(&arrived)
	}
	tr.record(arrived)
}

// arriveAndEnd passes the arrival and the end of a small request of the lowest priority without recording them.
func (tr *trace) arriveAndEnd(id string, timeLeft monotime.Micros) {
	tr.backend.Decide(tr.now, Arrived{ID: id, TimeLeft: timeLeft, MemoryKB: 1}, nil)
	tr.backend.Decide(tr.now, Finished{ID: id, Outcome: OK}, nil)
}

// finish records the end of a run after 100 ms.
func (tr *trace) finish(id string, outcome Outcome) {
	tr.record(Finished{ID: id, Outcome: outcome, Took: 100 * monotime.Millisecond})
}

// advance advances the time, in milliseconds, with readings of the given gauges.
func (tr *trace) advance(milliseconds monotime.Micros, coreUse, onCores float64) {
	for end := tr.now + milliseconds*monotime.Millisecond; tr.now < end; {
		tr.now = min(end, tr.now+tr.backend.readingInterval)
		tr.record(Reading{Token: readingToken, CoreUse: coreUse, OnCores: onCores})
	}
}

// compare compares the record with the golden file of the test in testdata.
func (tr *trace) compare() {
	tr.t.Helper()
	fakes.Compare(tr.t, tr.text.String())
}
