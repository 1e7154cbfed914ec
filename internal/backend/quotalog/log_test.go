package quotalog

import (
	"errors"
	"strings"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// TestLines: the lines of a log, as an auditor reads them.
func TestLines(t *testing.T) {
	var b strings.Builder
	l := New(&b, 10, 200)
	budgets := []quota.Status{{Budget: "a", Epoch: 3, Floor: 4, Extra: 5, Until: 90, Drawn: 2}, {Budget: "b", Epoch: 1}}
	for _, err := range []error{
		l.RecordHeld(20, 50, budgets), l.RecordDrawn(30, budgets), l.RecordDrawn(40, budgets),
		l.RecordHeld(45, 100, budgets[:1]),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	want := "clock 10 200\nhave 20 a 3 4 5 40\nhave 20 b 1 0 0 0\ndrew 10 30 a 2\nhere 40\nhave 45 a 3 4 5 0\n"
	if b.String() != want {
		t.Errorf("got\n%swanted\n%s", b.String(), want)
	}
}

// TestEachCallEndsWithACompleteLine: after New and after each record, all of its lines are written.
func TestEachCallEndsWithACompleteLine(t *testing.T) {
	var b strings.Builder
	budgets := []quota.Status{{Budget: "a", Epoch: 1, Drawn: 2}}
	l := New(&b, 10, 0)
	for _, step := range []struct {
		record func() error
		want   string
	}{
		{func() error { return nil }, "clock 10 0\n"},
		{func() error { return l.RecordHeld(20, 20, budgets) }, "have 20 a 1 0 0 0\n"},
		{func() error { return l.RecordDrawn(30, budgets) }, "drew 10 30 a 2\n"},
		{func() error { return l.RecordDrawn(40, nil) }, "here 40\n"},
	} {
		if err := step.record(); err != nil || b.String() != step.want {
			t.Errorf("got %q, %v; wanted %q", b.String(), err, step.want)
		}
		b.Reset()
	}
}

// TestDrawnUnitsAreRecordedOnce: each unit stands in one line, and a line's span begins where that of the line before it
// ended, also when budgets come or are absent for a while, or a count falls.
func TestDrawnUnitsAreRecordedOnce(t *testing.T) {
	var b strings.Builder
	l := New(&b, 10, 0)
	a := func(drawn int64) quota.Status { return quota.Status{Budget: "a", Drawn: drawn} }
	c := func(drawn int64) quota.Status { return quota.Status{Budget: "c", Drawn: drawn} }
	b.Reset()
	for i, step := range []struct {
		budgets []quota.Status
		want    string
	}{
		{[]quota.Status{a(2)}, "drew 10 20 a 2\n"},
		{[]quota.Status{a(5), c(0)}, "drew 20 30 a 3\n"},
		{[]quota.Status{a(5), c(4)}, "drew 30 40 c 4\n"},
		{[]quota.Status{a(6)}, "drew 40 50 a 1\n"},
		{[]quota.Status{a(6), c(5)}, "drew 50 60 c 1\n"},
		{[]quota.Status{a(4), c(5)}, "here 70\n"},
		{[]quota.Status{a(7), c(6)}, "drew 70 80 a 1\ndrew 70 80 c 1\n"},
	} {
		if err := l.RecordDrawn(monotime.Micros(20+10*i), step.budgets); err != nil || b.String() != step.want {
			t.Errorf("step %d: got %q, %v; wanted %q", i, b.String(), err, step.want)
		}
		b.Reset()
	}
}

var errFull = errors.New("full")

type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errFull }

// TestFullDisk: what can't be written is reported with the next record.
func TestFullDisk(t *testing.T) {
	if err := New(fullDisk{}, 10, 0).RecordDrawn(20, nil); !errors.Is(err, errFull) {
		t.Errorf("error %v", err)
	}
	if err := New(fullDisk{}, 10, 0).RecordHeld(20, 20, nil); !errors.Is(err, errFull) {
		t.Errorf("error %v", err)
	}
}
