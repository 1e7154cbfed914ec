package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"milletbarrow/internal/simulation"
)

// TestErrorTypes: callers can tell why a sweep, a figure or a stored result can't be used.
func TestErrorTypes(t *testing.T) {
	x := parse(t, small)
	var sweep *SweepError
	if err := x.Sweep("load.at"); !errors.As(err, &sweep) || sweep.Text != "load.at" {
		t.Errorf("without values: %#v", err)
	}
	if err := x.Sweep("load.at=one"); !errors.As(err, &sweep) || sweep.Text != "one" {
		t.Errorf("not a number: %#v", err)
	}
	var unsweepable *UnsweepableError
	if err := x.Sweep("colour=1"); !errors.As(err, &unsweepable) || unsweepable.Field != "colour" {
		t.Errorf("no such field: %#v", err)
	}
	var scenario *simulation.ScenarioError
	if err := x.Sweep("size=0"); !errors.As(err, &scenario) || scenario.Field != "hosts.count" {
		t.Errorf("a value that can't be: %#v", err)
	}
	var measure *UnknownMeasureError
	if _, err := MeasureNamed("colour"); !errors.As(err, &measure) || measure.Name != "colour" {
		t.Errorf("MeasureNamed: %#v", err)
	}
	x = parse(t, small)
	x.Seeds = make([]uint64, MaxCells)
	var tooMany *TooManyRunsError
	if _, err := x.Cells(); !errors.As(err, &tooMany) || tooMany.Runs != 4*MaxCells {
		t.Errorf("Cells: %#v", err)
	}
}

// TestResultErrors: a truncated result and one of a newer version are told apart, with the file's name.
func TestResultErrors(t *testing.T) {
	dir, err := OpenResultDir(t.TempDir(), "b")
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	for key, version := range map[string]int{"newer": simulation.Version + 1, "truncated": simulation.Version} {
		if err := dir.Write(key, &simulation.Result{Version: version, Scenario: "a day with a name of some length"}); err != nil {
			t.Fatal(err)
		}
	}
	file := filepath.Join(dir.Dir, "truncated.run")
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw[:len(raw)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	var result *ResultError
	if _, err := ReadResult(file); !errors.As(err, &result) || result.File != file || !errors.Is(err, ErrDamaged) {
		t.Errorf("truncated: %#v", err)
	}
	var version *VersionError
	if _, err := ReadResult(filepath.Join(dir.Dir, "newer.run")); !errors.As(err, &version) || version.Version != simulation.Version+1 || errors.Is(err, ErrDamaged) {
		t.Errorf("newer: %#v", err)
	}
}
