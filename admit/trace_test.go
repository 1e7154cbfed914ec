package admit

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew")

// trace prints what happens to one backend and what it does about it.
type trace struct {
	t    *testing.T
	b    *Backend
	now  Micros
	text strings.Builder
}

func newTrace(t *testing.T, edit func(*Terms)) *trace {
	terms := Terms{
		Operations: []Operation{
			{Objective: 2_000_000, ClientTimeout: 5_000_000, Calls: true},
			{Objective: 2_000_000, ClientTimeout: 5_000_000, Repeat: Tokened, Window: 4_000_000, Calls: true},
			{Objective: 2_000_000, ClientTimeout: 5_000_000, Repeat: NonIdempotent, Calls: true},
		},
		Fleet: 4, Callers: 2, Cores: 2, MemoryKB: 100_000, RunFactor: 8, KeyKB: 10,
		AnswerSlack: 60_000, DrainGrace: 1_000_000, ColdShare: 0.2, ColdFor: 10_000_000,
		FallMultiple: 6, FallOver: 2_000_000, MaxRetryAfter: 1_000_000, Round: 5000,
		CallsOver: 5_000_000, Linger: 200_000,
	}
	if edit != nil {
		edit(&terms)
	}
	tr := &trace{t: t, b: New(terms, 7), now: 1_000_000}
	tr.do(Opened{})
	return tr
}

// do decides one event and prints it; what every reading repeats is left out.
func (tr *trace) do(ev Event) {
	var acts []string
	for _, a := range tr.b.Decide(tr.now, ev, nil) {
		if _, wake := a.(Wake); !wake {
			acts = append(acts, strings.TrimPrefix(fmt.Sprintf("%T%+v", a, a), "admit."))
		}
	}
	if _, reading := ev.(Reading); reading && len(acts) == 0 {
		return
	}
	name := strings.TrimPrefix(fmt.Sprintf("%T", ev), "admit.")
	switch e := ev.(type) {
	case Arrived:
		name += fmt.Sprintf(" %s rank %.2f retry %v", e.ID, e.Rank, e.Retry)
	case Opened, Reading:
	default:
		name += fmt.Sprintf(" %+v", e)
	}
	fmt.Fprintf(&tr.text, "%5dms %s\n", tr.now/1000, name)
	for _, a := range acts {
		fmt.Fprintf(&tr.text, "        %s\n", a)
	}
}

func (tr *trace) note(text string) { fmt.Fprintf(&tr.text, "# %s\n", text) }

// arrive is an invocation of 100 ms of work.
func (tr *trace) arrive(id string, op int, rank float64, edit ...func(*Arrived)) {
	a := Arrived{ID: id, Operation: op, Rank: rank, Hint: 100_000, Budget: 5_000_000, KB: 20}
	for _, e := range edit {
		e(&a)
	}
	tr.do(a)
}

func retry(a *Arrived) { a.Retry = true }

// pass lets time go by with the gauges as given.
func (tr *trace) pass(ms Micros, coreUse, onCores float64) {
	for end := tr.now + ms*1000; tr.now < end; {
		tr.now = min(end, tr.now+tr.b.tick)
		tr.do(Reading{Token: token, CoreUse: coreUse, OnCores: onCores})
	}
}

func (tr *trace) done(id string, how Outcome) { tr.do(Finished{ID: id, Outcome: how, Took: 100_000}) }

// check compares the trace with the one kept under the test's name.
func (tr *trace) check() {
	tr.t.Helper()
	file := filepath.Join("testdata", tr.t.Name()+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(tr.text.String()), 0o644); err != nil {
			tr.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tr.t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(tr.text.String(), "\n")); diff != "" {
		tr.t.Errorf("decisions differ from %s (-kept +now):\n%s", file, diff)
	}
}
