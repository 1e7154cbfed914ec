package checker

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestReadIgnoresTruncatedLineAndRejectsInvalidLines verifies that Read ignores a truncated last line and rejects
// invalid lines.
func TestReadIgnoresTruncatedLineAndRejectsInvalidLines(t *testing.T) {
	if p := readProcess(t, "n1", "clock 5 0\nhere 9\nhave 12 b"); p.Last != 9 {
		t.Errorf("a truncated line was read: %+v", p)
	}
	for _, bad := range []string{"clock 5 0\nhere 4\n", "here x\n", "have 1 b 2\n", "went 5\n"} {
		if _, err := Read("n1", strings.NewReader(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// TestLineErrorsNameLineAndCause verifies the type and cause of each error, and that it names the line.
func TestLineErrorsNameLineAndCause(t *testing.T) {
	read := func(log string) *LineError {
		_, err := Read("n1", strings.NewReader(log))
		var line *LineError
		if !errors.As(err, &line) {
			t.Fatalf("%q: got error %v, want a LineError", log, err)
		}
		return line
	}
	var order *OrderError
	if err := read("clock 5 0\nhere 4\n"); !errors.As(
		err,
		&order,
	) || order.Previous != 5 || order.Time != 4 || err.Line != 2 ||
		err.Error() != "n1: line 2: entry time 4 us is before the previous entry's 5 us" {
		t.Errorf("an entry before the previous one: %v", err)
	}
	for _, log := range []string{"went 5\n", "\n", "clock 5\n", "here 5 6\n", "have 1 b 2 3 4\n", "drew 1 2 b 3 4\n"} {
		var entry *EntryError
		if err := read(log); !errors.As(
			err,
			&entry,
		) || err.Error() != `n1: line 1: "`+strings.TrimSpace(log)+`" is not a draw log entry: `+
			"expected clock, here, have or drew with its fields" {
			t.Errorf("%q: %v", log, err)
		}
	}
	for _, log := range []string{
		"clock x 0\n",
		"clock 1 x\n",
		"here x\n",
		"have x b 1 1 1 1\n",
		"have 1 b 1 1 1 x\n",
		"drew x 2 b 1\n",
		"drew 1 x b 1\n",
		"drew 1 2 b x\n",
	} {
		if err := read(log); !errors.Is(err, strconv.ErrSyntax) {
			t.Errorf("%q: %v", log, err)
		}
	}
}

// TestEntryOfAnyKindSetsLast verifies that an entry of any kind sets Last.
func TestEntryOfAnyKindSetsLast(t *testing.T) {
	for log, last := range map[string]int64{
		"clock 5 -30\n":                 5,
		"clock 5 0\nhere 6\n":           6,
		"clock 5 0\nhave 7 b 1 1 1 1\n": 7,
		"clock 5 0\ndrew 5 8 b 1\n":     8,
	} {
		if p := readProcess(t, "n1", log); p.Last != last || p.First != 5 {
			t.Errorf("%q: got %d to %d, want 5 to %d", log, p.First, p.Last, last)
		}
	}
	if p := readProcess(t, "n1", "clock 5 -30\n"); p.PPM != -30 {
		t.Errorf("got a clock rate of %d ppm, want -30", p.PPM)
	}
}

// TestReadAllReadsOneProcessPerFile verifies that each file is one process of the backend in its name, that a process
// without an entry is omitted, and that an invalid log or a missing directory is an error.
func TestReadAllReadsOneProcessPerFile(t *testing.T) {
	dir := t.TempDir()
	write := func(name, log string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(log), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("n1.17", "clock 5 0\nhere 9\n")
	write("n2.18", "")
	write("n2.19", "clock 7 0")
	all, err := ReadAll(dir)
	if err != nil || len(all) != 1 || all[0].Name != "n1" || all[0].Last != 9 {
		t.Errorf("%+v, %v", all, err)
	}
	write("n3.20", "went\n")
	var entry *EntryError
	if _, err := ReadAll(dir); !errors.As(err, &entry) {
		t.Errorf("invalid log: %v", err)
	}
	if _, err := ReadAll(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing directory: %v", err)
	}
}
