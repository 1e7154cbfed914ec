package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// trace prints what happens to one backend and what it does about it.
type trace struct {
	t    *testing.T
	b    *Backend
	now  monotime.Micros
	text strings.Builder
}

func newTrace(t *testing.T, edit func(*Config)) *trace {
	config := Config{
		Operations: []Operation{
			{Objective: 2_000_000, ClientTimeout: 5_000_000, MakesCalls: true},
			{Objective: 2_000_000, ClientTimeout: 5_000_000, RetrySafety: IdempotencyKeyed, RepeatWindow: 4_000_000, MakesCalls: true},
			{Objective: 2_000_000, ClientTimeout: 5_000_000, RetrySafety: NonIdempotent, MakesCalls: true},
		},
		FleetSize: 4, Callers: 2, Cores: 2, MemoryKB: 100_000, RunFactor: 8, IdempotencyKeyKB: 10,
		AnswerSlack: 60_000, DrainGrace: 1_000_000, ColdSpeed: 0.2, WarmUp: 10_000_000,
		CollapseMultiple: 6, CollapseAfter: 2_000_000, MaxRetryAfter: 1_000_000, BatchInterval: 5000,
		CallQuotaWindow: 5_000_000, AbandonedCallLinger: 200_000,
	}
	if edit != nil {
		edit(&config)
	}
	tr := &trace{t: t, b: New(config, 7), now: 1_000_000}
	tr.do(Opened{})
	return tr
}

// traceNames turns Go's names into those of the traces in testdata.
var traceNames = strings.NewReplacer("admission.", "", " RetryAfter:", " RetryIn:", " Timeout:", " Within:")

// do decides one event and prints it; what every reading repeats is left out.
func (tr *trace) do(event Event) {
	var actions []string
	for _, a := range tr.b.Decide(tr.now, event, nil) {
		if _, wake := a.(Wake); !wake {
			actions = append(actions, traceNames.Replace(fmt.Sprintf("%T%+v", a, a)))
		}
	}
	if _, reading := event.(Reading); reading && len(actions) == 0 {
		return
	}
	name := strings.TrimPrefix(fmt.Sprintf("%T", event), "admission.")
	switch e := event.(type) {
	case Arrived:
		name += fmt.Sprintf(" %s rank %.2f retry %v", e.ID, e.Priority, e.Retry)
	case Opened, Reading:
	default:
		name += fmt.Sprintf(" %+v", e)
	}
	fmt.Fprintf(&tr.text, "%5dms %s\n", tr.now/1000, name)
	for _, a := range actions {
		fmt.Fprintf(&tr.text, "        %s\n", a)
	}
}

func (tr *trace) note(text string) { fmt.Fprintf(&tr.text, "# %s\n", text) }

// arrive is an invocation of 100 ms of work.
func (tr *trace) arrive(id string, op int, rank float64, edit ...func(*Arrived)) {
	a := Arrived{ID: id, Operation: op, Priority: rank, ExpectedWork: 100_000, TimeLeft: 5_000_000, MemoryKB: 20}
	for _, e := range edit {
		e(&a)
	}
	tr.do(a)
}

func retry(a *Arrived) { a.Retry = true }

// pass lets time go by with the gauges as given.
func (tr *trace) pass(ms monotime.Micros, coreUse, onCores float64) {
	for end := tr.now + ms*1000; tr.now < end; {
		tr.now = min(end, tr.now+tr.b.readingInterval)
		tr.do(Reading{Token: readingToken, CoreUse: coreUse, OnCores: onCores})
	}
}

func (tr *trace) done(id string, how Outcome) { tr.do(Finished{ID: id, Outcome: how, Took: 100_000}) }

// check compares the trace with the one in testdata under the test's name.
func (tr *trace) check() {
	tr.t.Helper()
	fakes.Compare(tr.t, tr.text.String())
}
