package quotalog

import (
	"errors"
	"strings"
	"testing"

	"milletbarrow/internal/backend/quota"
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

var errFull = errors.New("full")

type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errFull }

// TestFullDisk: what can't be written is reported with the next record.
func TestFullDisk(t *testing.T) {
	if err := New(fullDisk{}, 10, 0).RecordDrawn(20, nil); !errors.Is(err, errFull) {
		t.Errorf("error %v", err)
	}
}
