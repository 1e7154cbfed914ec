package experiment

import (
	"fmt"

	"milletbarrow/internal/simulation"
)

// Difference compares a metric of two policies at one point, over the runs that both have.
type Difference struct {
	Scenario   string   `json:"scenario"`
	SweptValue float64  `json:"at"`       // zero if no field is swept
	First      Estimate `json:"a"`        // metric of the first policy
	Second     Estimate `json:"b"`        // metric of the second policy
	Paired     Estimate `json:"b_less_a"` // second minus first, over pairs of runs with the same workload
	Verdict    string   `json:"word"`     // which policy is better, or why neither is shown to be
}

// point is a scenario with one value of the swept field.
type point struct {
	scenario string
	value    float64
}

// workload is a point with a seed. Runs of two policies with the same workload receive the same arrivals.
type workload struct {
	point
	seed uint64
}

// workloadOf returns the workload of a cell.
func workloadOf(c *Cell) workload {
	return workload{
		point: point{scenario: c.Scenario.Name, value: c.SweptValue},
		seed:  c.Seed,
	}
}

// pairedValues are the values of a metric for two policies. Values of the same index have the same workload.
type pairedValues struct {
	first  []float64
	second []float64
}

// Compare pairs the runs of two policies by workload and returns the difference at each point, in the order of the
// cells. Results are in the order of the cells; a missing one is nil. Runs without a counterpart are left out.
func Compare(cells []Cell, results []*simulation.Result, first, second string, m Measure) (all []Difference) {
	pairs, order := pairByWorkload(cells, results, first, second, m)
	for _, at := range order {
		values := pairs[at]
		paired := Bootstrap(values.differences())
		all = append(all, Difference{
			Scenario:   at.scenario,
			SweptValue: at.value,
			First:      Bootstrap(values.first),
			Second:     Bootstrap(values.second),
			Paired:     paired,
			Verdict:    verdict(paired, m, first, second),
		})
	}
	return all
}

// differences returns second minus first for each pair of runs.
func (p *pairedValues) differences() []float64 {
	differences := make([]float64, len(p.first))
	for i := range differences {
		differences[i] = p.second[i] - p.first[i]
	}
	return differences
}

// pairByWorkload returns the values for the workloads that both policies ran, and the points in the order of the cells.
func pairByWorkload(
	cells []Cell, results []*simulation.Result, first, second string, m Measure,
) (pairs map[point]*pairedValues, order []point) {
	valuesOfFirst := map[workload]float64{}
	for i := range cells {
		if results[i] != nil && cells[i].Policy.Name == first {
			valuesOfFirst[workloadOf(&cells[i])] = m.Value(results[i])
		}
	}
	pairs = map[point]*pairedValues{}
	for i := range cells {
		key := workloadOf(&cells[i])
		valueOfFirst, known := valuesOfFirst[key]
		if results[i] == nil || cells[i].Policy.Name != second || !known {
			continue
		}
		pair := pairs[key.point]
		if pair == nil {
			pair = &pairedValues{}
			pairs[key.point] = pair
			order = append(order, key.point)
		}
		pair.first = append(pair.first, valueOfFirst)
		pair.second = append(pair.second, m.Value(results[i]))
	}
	return pairs, order
}

// verdict returns which policy is better according to the confidence interval of the paired difference, or why neither
// is shown to be. Stored comparisons contain these texts.
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
