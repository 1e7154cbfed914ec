package experiment

import (
	"maps"
	"slices"

	"milletbarrow/internal/simulation"
)

// Curve is a metric of one policy over the swept values. X and Y have the same length.
type Curve struct {
	Policy string
	X      []float64  // swept values, ascending
	Y      []Estimate // estimate at each value of X
}

// policySamples are the values of a metric for one policy, by swept value.
type policySamples struct {
	policy  string
	byValue map[float64][]float64
}

// Curves returns a curve for each policy of one scenario, in the order of the cells. Results are in the order of the
// cells; a missing one is nil.
func Curves(cells []Cell, results []*simulation.Result, scenario string, m Measure) (curves []Curve) {
	for _, samples := range samplesByPolicy(cells, results, scenario, m) {
		curve := Curve{Policy: samples.policy, X: slices.Sorted(maps.Keys(samples.byValue))}
		for _, value := range curve.X {
			curve.Y = append(curve.Y, Bootstrap(samples.byValue[value]))
		}
		curves = append(curves, curve)
	}
	return curves
}

// samplesByPolicy returns the samples of each policy of one scenario, in the order of the cells.
func samplesByPolicy(cells []Cell, results []*simulation.Result, scenario string, m Measure) (all []policySamples) {
	for i := range cells {
		cell := &cells[i]
		if results[i] == nil || cell.Scenario.Name != scenario {
			continue
		}
		index := slices.IndexFunc(all, func(samples policySamples) bool { return samples.policy == cell.Policy.Name })
		if index < 0 {
			index = len(all)
			all = append(all, policySamples{policy: cell.Policy.Name, byValue: map[float64][]float64{}})
		}
		byValue := all[index].byValue
		byValue[cell.SweptValue] = append(byValue[cell.SweptValue], m.Value(results[i]))
	}
	return all
}
