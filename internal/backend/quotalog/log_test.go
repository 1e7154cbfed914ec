package quotalog

import (
	"errors"
	"strings"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// drawnFrom returns the status of a budget from which units have been acquired.
func drawnFrom(budget string, units int64) quota.Status {
	return quota.Status{Budget: budget, Drawn: units}
}

// TestRecordsHaveLineFormat checks the lines that an auditor reads.
func TestRecordsHaveLineFormat(t *testing.T) {
	var text strings.Builder
	l := New(&text, 10, 200)
	budgets := []quota.Status{
		{Budget: "a", Epoch: 3, Floor: 4, Extra: 5, Until: 90, Drawn: 2},
		{Budget: "b", Epoch: 1},
	}
	for _, err := range []error{
		l.RecordGrants(20, 50, budgets),
		l.RecordUse(30, budgets),
		l.RecordUse(40, budgets),
		l.RecordGrants(45, 100, budgets[:1]),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	want := "clock 10 200\n" +
		"have 20 a 3 4 5 40\n" +
		"have 20 b 1 0 0 0\n" +
		"drew 10 30 a 2\n" +
		"here 40\n" +
		"have 45 a 3 4 5 0\n"
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}

// TestEachCallEndsWithACompleteLine checks that New and each record write complete lines before they return.
func TestEachCallEndsWithACompleteLine(t *testing.T) {
	var text strings.Builder
	budgets := []quota.Status{{Budget: "a", Epoch: 1, Drawn: 2}}
	l := New(&text, 10, 0)
	for _, step := range []struct {
		name   string
		record func() error
		want   string
	}{
		{"new", func() error { return nil }, "clock 10 0\n"},
		{"grants", func() error { return l.RecordGrants(20, 20, budgets) }, "have 20 a 1 0 0 0\n"},
		{"units acquired", func() error { return l.RecordUse(30, budgets) }, "drew 10 30 a 2\n"},
		{"no units acquired", func() error { return l.RecordUse(40, nil) }, "here 40\n"},
	} {
		if err := step.record(); err != nil || text.String() != step.want {
			t.Errorf("%s: got %q, %v; want %q", step.name, text.String(), err, step.want)
		}
		text.Reset()
	}
}

// TestDrawnUnitsAreRecordedOnce checks that each unit is recorded once and that each period begins where the previous
// one ended, also if budgets are added or temporarily missing, or a count decreases.
func TestDrawnUnitsAreRecordedOnce(t *testing.T) {
	var text strings.Builder
	l := New(&text, 10, 0)
	text.Reset()
	for _, step := range []struct {
		at      monotime.Micros
		budgets []quota.Status
		want    string
	}{
		{20, []quota.Status{drawnFrom("a", 2)}, "drew 10 20 a 2\n"},
		{30, []quota.Status{drawnFrom("a", 5), drawnFrom("c", 0)}, "drew 20 30 a 3\n"},
		{40, []quota.Status{drawnFrom("a", 5), drawnFrom("c", 4)}, "drew 30 40 c 4\n"},
		{50, []quota.Status{drawnFrom("a", 6)}, "drew 40 50 a 1\n"},
		{60, []quota.Status{drawnFrom("a", 6), drawnFrom("c", 5)}, "drew 50 60 c 1\n"},
		{70, []quota.Status{drawnFrom("a", 4), drawnFrom("c", 5)}, "here 70\n"},
		{80, []quota.Status{drawnFrom("a", 7), drawnFrom("c", 6)}, "drew 70 80 a 1\ndrew 70 80 c 1\n"},
	} {
		if err := l.RecordUse(step.at, step.budgets); err != nil || text.String() != step.want {
			t.Errorf("at %d: got %q, %v; want %q", step.at, text.String(), err, step.want)
		}
		text.Reset()
	}
}

var errFull = errors.New("full")

// fullDisk is a writer that always fails.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errFull }

// TestWriteErrorIsReturnedByNextRecord checks that the next record returns the error of a failed write in New.
func TestWriteErrorIsReturnedByNextRecord(t *testing.T) {
	if err := New(fullDisk{}, 10, 0).RecordUse(20, nil); !errors.Is(err, errFull) {
		t.Errorf("RecordUse: error %v", err)
	}
	if err := New(fullDisk{}, 10, 0).RecordGrants(20, 20, nil); !errors.Is(err, errFull) {
		t.Errorf("RecordGrants: error %v", err)
	}
}
