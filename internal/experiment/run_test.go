package experiment

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRunGivesSameResultsOnAnyNumberOfCores checks that results depend neither on the number of cores nor on
// whether they were stored.
func TestRunGivesSameResultsOnAnyNumberOfCores(t *testing.T) {
	x := parse(t, smallExperiment)
	want := encode(t, run(t, x, nil, 1))
	dir := openResultDir(t, t.TempDir())
	defer dir.Close()
	for _, test := range []struct {
		name  string
		dir   *ResultDir
		cores int
	}{
		{"seven cores", nil, 7},
		{"four cores, stored", dir, 4},
		{"two cores, from the stored results", dir, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := encode(t, run(t, x, test.dir, test.cores)); got != want {
				t.Error("the results differ from those of one core")
			}
		})
	}
}

// interruptAfter runs an experiment on one core and interrupts it after the given number of runs.
func interruptAfter(t *testing.T, runs int, x *Experiment, dir *ResultDir) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := Run(ctx, x, dir, 1, func(p Progress) {
		if p.Done == runs {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("interrupted: %v, want %v", err, context.Canceled)
	}
}

// TestRunResumesInterruptedExperiment checks that an interrupted experiment has stored its finished results, that the
// next call executes only the missing runs and the one whose file is truncated, and that its results are those of an
// uninterrupted call.
func TestRunResumesInterruptedExperiment(t *testing.T) {
	x, path := parse(t, smallExperiment), t.TempDir()
	dir := openResultDir(t, path)
	interruptAfter(t, 5, x, dir)
	if err := dir.Close(); err != nil {
		t.Fatal(err)
	}
	stored, err := filepath.Glob(filepath.Join(path, "*.run"))
	if err != nil || len(stored) < 5 || len(stored) > 6 {
		t.Fatalf("%d results are stored after five runs: %v", len(stored), err)
	}
	truncate(t, stored[0])
	if _, err := ReadResult(stored[0]); err == nil {
		t.Error("a truncated file is read without an error")
	}
	wantMissing := smallRuns - len(stored) + 1
	if _, missing, err := Load(x, path); err != nil || missing != wantMissing {
		t.Errorf("%d results are missing, want %d: %v", missing, wantMissing, err)
	}
	dir = openResultDir(t, path)
	defer dir.Close()
	executed := 0
	results, err := Run(context.Background(), x, dir, 2, func(p Progress) { executed = p.Done - p.Cached })
	if err != nil || executed != wantMissing {
		t.Errorf("%d runs were executed, want %d: %v", executed, wantMissing, err)
	}
	if diff := cmp.Diff(encode(t, run(t, x, nil, 4)), encode(t, results)); diff != "" {
		t.Errorf("results (-uninterrupted call +resumed call):\n%s", diff)
	}
}

// truncate removes the second half of a file.
func truncate(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw[:len(raw)/2], 0o644); err != nil {
		t.Fatal(err)
	}
}
