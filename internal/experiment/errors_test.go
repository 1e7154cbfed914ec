package experiment

import (
	"errors"
	"testing"

	"milletbarrow/internal/simulation"
)

// TestInvalidExperimentErrorsAreTyped checks that callers can tell why a sweep, a metric or the size of an
// experiment is rejected.
func TestInvalidExperimentErrorsAreTyped(t *testing.T) {
	x := parse(t, smallExperiment)
	var sweepErr *SweepError
	if err := x.Sweep("load.at"); !errors.As(err, &sweepErr) || sweepErr.Text != "load.at" {
		t.Errorf("sweep without values: %#v", err)
	}
	if err := x.Sweep("load.at=one"); !errors.As(err, &sweepErr) || sweepErr.Text != "one" {
		t.Errorf("sweep over a text that is no number: %#v", err)
	}
	var unsweepableErr *UnsweepableError
	if err := x.Sweep("colour=1"); !errors.As(err, &unsweepableErr) || unsweepableErr.Field != "colour" {
		t.Errorf("sweep of an unknown field: %#v", err)
	}
	var scenarioErr *simulation.ScenarioError
	if err := x.Sweep("size=0"); !errors.As(err, &scenarioErr) || scenarioErr.Field != "hosts.count" {
		t.Errorf("sweep over an invalid value: %#v", err)
	}
	var measureErr *UnknownMeasureError
	if _, err := MeasureNamed("colour"); !errors.As(err, &measureErr) || measureErr.Name != "colour" {
		t.Errorf("MeasureNamed: %#v", err)
	}
	x = parse(t, smallExperiment)
	x.Seeds = make([]uint64, MaxCells)
	var tooManyErr *TooManyRunsError
	if _, err := x.Cells(); !errors.As(err, &tooManyErr) || tooManyErr.Runs != 4*MaxCells {
		t.Errorf("Cells: %#v", err)
	}
}
