package experiment

import (
	"fmt"

	"milletbarrow/internal/simulation"
)

// Difference is the difference between the figures of two policies at one point, over the days of both.
type Difference struct {
	Scenario   string   `json:"scenario"`
	SweptValue float64  `json:"at"`       // zero if no field is swept
	First      Estimate `json:"a"`        // figure of the first policy
	Second     Estimate `json:"b"`        // figure of the second policy
	Paired     Estimate `json:"b_less_a"` // second minus first, day by day
	Verdict    string   `json:"word"`     // which policy is better, or why none is shown to be
}

// point is a scenario with one value of the swept field.
type point struct {
	scenario string
	value    float64
}

// day is a point with a seed: two policies that play the same day get the same arrivals.
type day struct {
	point
	seed uint64
}

// dayOf returns the day of a cell.
func dayOf(c *Cell) day {
	return day{
		point: point{scenario: c.Scenario.Name, value: c.SweptValue},
		seed:  c.Seed,
	}
}

// pairedFigures are the figures of two policies. Values of the same index are of the same day.
type pairedFigures struct {
	first  []float64
	second []float64
}

// Compare pairs the days that both policies played and returns the difference at each point, in the order of the cells.
// Results are in the order of the cells; a missing one is nil.
func Compare(cells []Cell, results []*simulation.Result, first, second string, m Measure) (all []Difference) {
	pairs, order := pairByDay(cells, results, first, second, m)
	for _, at := range order {
		figures := pairs[at]
		paired := Bootstrap(figures.differences())
		all = append(all, Difference{
			Scenario:   at.scenario,
			SweptValue: at.value,
			First:      Bootstrap(figures.first),
			Second:     Bootstrap(figures.second),
			Paired:     paired,
			Verdict:    verdict(paired, m, first, second),
		})
	}
	return all
}

// differences returns second minus first for each day.
func (p *pairedFigures) differences() []float64 {
	differences := make([]float64, len(p.first))
	for i := range differences {
		differences[i] = p.second[i] - p.first[i]
	}
	return differences
}

// pairByDay returns the figures of the days that both policies played, and the points in the order of the cells.
func pairByDay(
	cells []Cell, results []*simulation.Result, first, second string, m Measure,
) (pairs map[point]*pairedFigures, order []point) {
	figuresOfFirst := map[day]float64{}
	for i := range cells {
		if results[i] != nil && cells[i].Policy.Name == first {
			figuresOfFirst[dayOf(&cells[i])] = m.Value(results[i])
		}
	}
	pairs = map[point]*pairedFigures{}
	for i := range cells {
		day := dayOf(&cells[i])
		figureOfFirst, played := figuresOfFirst[day]
		if results[i] == nil || cells[i].Policy.Name != second || !played {
			continue
		}
		pair := pairs[day.point]
		if pair == nil {
			pair = &pairedFigures{}
			pairs[day.point] = pair
			order = append(order, day.point)
		}
		pair.first = append(pair.first, figureOfFirst)
		pair.second = append(pair.second, m.Value(results[i]))
	}
	return pairs, order
}

// verdict returns which policy the interval of the paired difference shows to be better, or why it shows none.
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
