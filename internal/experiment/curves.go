package experiment

import (
	"slices"

	"milletbarrow/internal/simulation"
)

// Curve is one policy's figure over the swept values.
type Curve struct {
	Policy string
	X      []float64
	Y      []Estimate
}

// Curves returns the figure of one scenario as a curve for each policy.
func Curves(cells []Cell, results []*simulation.Result, scenario string, m Measure) (all []Curve) {
	var order []string
	points := map[string]map[float64][]float64{}
	for i, c := range cells {
		if results[i] == nil || c.Scenario.Name != scenario {
			continue
		}
		if points[c.Policy.Name] == nil {
			points[c.Policy.Name] = map[float64][]float64{}
			order = append(order, c.Policy.Name)
		}
		at := points[c.Policy.Name]
		at[c.SweptValue] = append(at[c.SweptValue], m.Value(results[i]))
	}
	for _, name := range order {
		cv := Curve{Policy: name}
		for x := range points[name] {
			cv.X = append(cv.X, x)
		}
		slices.Sort(cv.X)
		for _, x := range cv.X {
			cv.Y = append(cv.Y, Bootstrap(points[name][x]))
		}
		all = append(all, cv)
	}
	return all
}
