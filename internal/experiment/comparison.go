package experiment

import (
	"fmt"

	"milletbarrow/internal/simulation"
)

// Difference compares two policies on the same days.
type Difference struct {
	Scenario   string   `json:"scenario"`
	SweptValue float64  `json:"at"`       // of the swept field
	First      Estimate `json:"a"`        // figure of the first policy
	Second     Estimate `json:"b"`        // figure of the second
	Paired     Estimate `json:"b_less_a"` // second less first, day by day
	Verdict    string   `json:"word"`
}

// point is a scenario with one value of the swept field.
type point struct {
	scenario string
	value    float64
}

// pairedFigures are the figures of two policies, day by day.
type pairedFigures struct{ first, second []float64 }

// Compare takes the days that both policies have played, pairs them by seed, and says for each scenario and swept value
// whether a difference is shown. Results are in the order of cells; a missing one is nil.
func Compare(cells []Cell, results []*simulation.Result, first, second string, m Measure) (all []Difference) {
	pairs, order := pairByDay(cells, results, first, second, m)
	for _, at := range order {
		p := pairs[at]
		differences := make([]float64, len(p.first))
		for i := range differences {
			differences[i] = p.second[i] - p.first[i]
		}
		d := Difference{
			Scenario: at.scenario, SweptValue: at.value,
			First: Bootstrap(p.first), Second: Bootstrap(p.second), Paired: Bootstrap(differences),
		}
		d.Verdict = verdict(d.Paired, m, first, second)
		all = append(all, d)
	}
	return all
}

// pairByDay returns the figures of the days that both policies have played, and the points in the order of the cells.
func pairByDay(cells []Cell, results []*simulation.Result, first, second string, m Measure) (pairs map[point]*pairedFigures, order []point) {
	type day struct {
		point
		seed uint64
	}
	dayOf := func(c *Cell) day { return day{point{c.Scenario.Name, c.SweptValue}, c.Seed} }
	ofFirst := map[day]float64{}
	for i := range cells {
		if c := &cells[i]; results[i] != nil && c.Policy.Name == first {
			ofFirst[dayOf(c)] = m.Value(results[i])
		}
	}
	pairs = map[point]*pairedFigures{}
	for i := range cells {
		c := &cells[i]
		d := dayOf(c)
		x, ok := ofFirst[d]
		if results[i] == nil || c.Policy.Name != second || !ok {
			continue
		}
		p := pairs[d.point]
		if p == nil {
			p = &pairedFigures{}
			pairs[d.point] = p
			order = append(order, d.point)
		}
		p.first, p.second = append(p.first, x), append(p.second, m.Value(results[i]))
	}
	return pairs, order
}

// verdict says what an interval shows.
func verdict(e Estimate, m Measure, first, second string) string {
	switch {
	case e.Samples == 0:
		return "nothing to compare"
	case e.Samples < minPairs:
		return fmt.Sprintf("%d days are too few to show anything", e.Samples)
	case e.Low <= 0 && e.High >= 0:
		return "no difference shown"
	case (e.Mean > 0) != m.LowerIsBetter:
		return second + " is better"
	}
	return first + " is better"
}
