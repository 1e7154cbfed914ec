package experiment

import (
	"context"
	"encoding/json"
	"testing"

	"milletbarrow/internal/simulation"
)

// smallExperiment has one scenario with two swept values, three seeds and two policies.
const smallExperiment = `(scenario day (for 1s) (hosts (count 3)) (nodes (count 2)) (load (at 1.2)))
(experiment small (policies milletbarrow pool) (seeds 1..3) (over load.at (values 0.5 1.3)))`

// smallRuns is the number of runs of smallExperiment.
const smallRuns = 12

// parse parses the text of an experiment's file.
func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	x, err := Parse("small.sx", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// read reads an experiment's file.
func read(t *testing.T, file string) *Experiment {
	t.Helper()
	x, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// cellsOf returns the cells of an experiment.
func cellsOf(t *testing.T, x *Experiment) []Cell {
	t.Helper()
	cells, err := x.Cells()
	if err != nil {
		t.Fatal(err)
	}
	return cells
}

// run executes an experiment without reporting progress; dir may be nil.
func run(t *testing.T, x *Experiment, dir *ResultDir, cores int) []*simulation.Result {
	t.Helper()
	results, err := Run(context.Background(), x, dir, cores, nil)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// openResultDir opens a result directory of build "b". The caller closes it.
func openResultDir(t *testing.T, path string) *ResultDir {
	t.Helper()
	dir, err := OpenResultDir(path, "b")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// write stores a result.
func write(t *testing.T, dir *ResultDir, key string, result *simulation.Result) {
	t.Helper()
	if err := dir.Write(key, result); err != nil {
		t.Fatal(err)
	}
}

// measure returns the metric of a name.
func measure(t *testing.T, name string) Measure {
	t.Helper()
	m, err := MeasureNamed(name)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// encode returns the JSON of a value.
func encode(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
