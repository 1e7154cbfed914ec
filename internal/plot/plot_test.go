package plot

import (
	"errors"
	"io"
	"testing"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

// TestPlotsWithoutDataReturnErrNothingToDraw checks that a plot without data is an error, not an empty picture.
func TestPlotsWithoutDataReturnErrNothingToDraw(t *testing.T) {
	empty := &simulation.Result{Hosts: 3}
	for name, err := range map[string]error{
		"latencies":  Latencies(io.Discard, "t", []string{"a"}, []*simulation.Breakdown{{Name: "a"}}, "svg"),
		"breakdowns": Breakdowns(io.Discard, "t", []string{"a"}, []*simulation.Result{empty}, false, "svg"),
		"heat":       Heat(io.Discard, "t", empty, "svg"),
	} {
		if !errors.Is(err, ErrNothingToDraw) {
			t.Errorf("%s: %v, want %v", name, err, ErrNothingToDraw)
		}
	}
}

// TestSetScaleIsLogarithmicForWidePositiveRange checks that an axis is logarithmic only if its values are positive and
// their ratio exceeds the bound.
func TestSetScaleIsLogarithmicForWidePositiveRange(t *testing.T) {
	for _, c := range []struct {
		values      []float64
		logarithmic bool
	}{
		{nil, false},
		{[]float64{1, 20}, false},
		{[]float64{1, 20.5}, true},
		{[]float64{0, 100}, false},
		{[]float64{-1, 100}, false},
		{[]float64{100, 2}, true},
	} {
		p := newPlot("t", "x", "y")
		linear := p.X.Scale
		setScale(&p.X, c.values, maxLinearX)
		if (p.X.Scale != linear) != c.logarithmic {
			t.Errorf("%v: logarithmic is %t, want %t", c.values, !c.logarithmic, c.logarithmic)
		}
	}
}

// TestCurvesLeavesOutMissingPoints checks that a curve without known values draws nothing, and is no error.
func TestCurvesLeavesOutMissingPoints(t *testing.T) {
	curves := []experiment.Curve{{Policy: "a", X: []float64{1}, Y: []experiment.Estimate{experiment.Bootstrap(nil)}}}
	if err := Curves(io.Discard, "t", "x", "y", curves, "svg"); err != nil {
		t.Error(err)
	}
}
