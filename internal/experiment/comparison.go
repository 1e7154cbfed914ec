package experiment

import (
	"fmt"
	"slices"

	"milletbarrow/internal/simulation"
)

// Difference compares two policies on the same days.
type Difference struct {
	Scenario   string   `json:"scenario"`
	SweptValue float64  `json:"at"` // of the swept field
	A          Estimate `json:"a"`
	B          Estimate `json:"b"`
	Paired     Estimate `json:"b_less_a"`
	Verdict    string   `json:"word"`
}

// Compare takes the days that both policies have played, pairs them by seed, and says for each scenario and swept value
// whether a difference is shown. Results are in the order of cells; a missing one is nil.
func Compare(cells []Cell, results []*simulation.Result, a, b string, m Measure) (all []Difference) {
	type at struct {
		scenario string
		value    float64
	}
	type pair struct{ a, b []float64 }
	pairs, order := map[at]*pair{}, []at{}
	first := map[string]float64{}
	for i, c := range cells {
		if results[i] != nil && c.Policy.Name == a {
			first[fmt.Sprint(c.Scenario.Name, c.SweptValue, c.Seed)] = m.Value(results[i])
		}
	}
	for i, c := range cells {
		x, ok := first[fmt.Sprint(c.Scenario.Name, c.SweptValue, c.Seed)]
		if results[i] == nil || c.Policy.Name != b || !ok {
			continue
		}
		k := at{c.Scenario.Name, c.SweptValue}
		if pairs[k] == nil {
			pairs[k] = &pair{}
			order = append(order, k)
		}
		pairs[k].a, pairs[k].b = append(pairs[k].a, x), append(pairs[k].b, m.Value(results[i]))
	}
	for _, k := range order {
		p := pairs[k]
		less := make([]float64, len(p.a))
		for i := range less {
			less[i] = p.b[i] - p.a[i]
		}
		d := Difference{Scenario: k.scenario, SweptValue: k.value, A: Bootstrap(p.a), B: Bootstrap(p.b), Paired: Bootstrap(less)}
		d.Verdict = verdict(d.Paired, m, a, b)
		all = append(all, d)
	}
	return all
}

// verdict says what an interval shows.
func verdict(e Estimate, m Measure, a, b string) string {
	switch {
	case e.Samples == 0:
		return "nothing to compare"
	case e.Samples < minPairs:
		return fmt.Sprintf("%d days are too few to show anything", e.Samples)
	case e.Low <= 0 && e.High >= 0:
		return "no difference shown"
	case (e.Mean > 0) != m.LowerIsBetter:
		return b + " is better"
	}
	return a + " is better"
}

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
