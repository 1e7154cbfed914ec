package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// trace gives events to one backend and records them with the actions that follow.
type trace struct {
	t    *testing.T
	b    *Backend
	now  monotime.Micros
	text strings.Builder
}

// The operations of a trace's backend.
const (
	idempotentOperation = iota
	keyedOperation
	nonIdempotentOperation
)

// newTrace returns the trace of a backend of two cores, opened at 1 s. edit may change its configuration.
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
	tr := &trace{t: t, b: New(config, 7), now: monotime.Second}
	tr.do(Opened{})
	return tr
}

// arrival returns the arrival of a request of 100 ms of work and priority 0.9.
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

// retry marks an arrival as a retry.
func retry(arrived *Arrived) { arrived.Retry = true }

// withTimeLeft sets the time until an arrival's deadline.
func withTimeLeft(left monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.TimeLeft = left }
}

// withQueueTime sets the time for which an arrival stood unread.
func withQueueTime(queueTime monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.QueueTime = queueTime }
}

// withShedFor sheds an arrival for a time.
func withShedFor(span monotime.Micros) func(*Arrived) {
	return func(arrived *Arrived) { arrived.ShedFor = span }
}

// withMemory sets the memory of an arrival while it waits, in KB.
func withMemory(kb float64) func(*Arrived) {
	return func(arrived *Arrived) { arrived.MemoryKB = kb }
}

// repeatOf marks an arrival as a repeat of another request.
func repeatOf(id string) func(*Arrived) {
	return func(arrived *Arrived) { arrived.RepeatOf = id }
}

// do decides one event and records it. A reading without actions other than its Wake is left out.
func (tr *trace) do(event Event) {
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

// decide returns the actions of one event other than Wake.
func (tr *trace) decide(event Event) []Action {
	return slices.DeleteFunc(tr.b.Decide(tr.now, event, nil), func(action Action) bool {
		_, isWake := action.(Wake)
		return isWake
	})
}

// expect fails the test unless the event leads to exactly these actions.
func (tr *trace) expect(event Event, want ...Action) {
	tr.t.Helper()
	if got := tr.decide(event); !slices.Equal(got, want) {
		tr.t.Errorf("%T%+v: %T%+v, want %T%+v", event, event, got, got, want, want)
	}
}

// note records a comment.
func (tr *trace) note(text string) { fmt.Fprintf(&tr.text, "# %s\n", text) }

// arrive decides and records an arrival.
func (tr *trace) arrive(id string, operation int, priority float64, edits ...func(*Arrived)) {
	arrived := arrival(id, operation)
	arrived.Priority = priority
	for _, edit := range edits {
		edit(&arrived)
	}
	tr.do(arrived)
}

// arriveAndEnd decides a small request of the lowest priority, and its end, without a record.
func (tr *trace) arriveAndEnd(id string, timeLeft monotime.Micros) {
	tr.b.Decide(tr.now, Arrived{ID: id, TimeLeft: timeLeft, MemoryKB: 1}, nil)
	tr.b.Decide(tr.now, Finished{ID: id, Outcome: OK}, nil)
}

// finish ends a run after 100 ms.
func (tr *trace) finish(id string, outcome Outcome) {
	tr.do(Finished{ID: id, Outcome: outcome, Took: 100 * monotime.Millisecond})
}

// pass lets time go by, in milliseconds, with the gauges as given.
func (tr *trace) pass(milliseconds monotime.Micros, coreUse, onCores float64) {
	for end := tr.now + milliseconds*monotime.Millisecond; tr.now < end; {
		tr.now = min(end, tr.now+tr.b.readingInterval)
		tr.do(Reading{Token: readingToken, CoreUse: coreUse, OnCores: onCores})
	}
}

// check compares the record with the one in testdata that has the test's name.
func (tr *trace) check() {
	tr.t.Helper()
	fakes.Compare(tr.t, tr.text.String())
}
