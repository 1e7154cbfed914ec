package experiment

import (
	"fmt"
	"strings"

	"milletbarrow/internal/simulation"
)

// Row is one line of an experiment's table: all days of one scenario, swept value and policy.
type Row struct {
	Scenario       string   `json:"scenario"`
	SweptValue     float64  `json:"at"`
	Policy         string   `json:"policy"`
	BilledShare    Estimate `json:"value"`
	Attempts       float64  `json:"attempts"`
	WastedMicros   float64  `json:"wasted_us"`
	BreachesByRule [5]int   `json:"rules"`
	FirstBreach    string   `json:"first_breach,omitempty"`
}

// BreachCount returns the number of breaches.
func (r *Row) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// BreachSummary says which rules were broken and how often; "-" where all were kept.
func (r *Row) BreachSummary() string {
	var words []string
	for rule, n := range r.BreachesByRule {
		if n > 0 {
			words = append(words, fmt.Sprintf("%d: %d times", rule, n))
		}
	}
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ", ")
}

// Summary returns the table of an experiment, in the order of its cells. Results are in the same order; a missing one
// is nil.
func Summary(cells []Cell, results []*simulation.Result) (rows []Row) {
	type at struct {
		scenario, policy string
		value            float64
	}
	places := map[at]int{}
	values := map[int][]float64{}
	for i, c := range cells {
		r := results[i]
		if r == nil {
			continue
		}
		k := at{c.Scenario.Name, c.Policy.Name, c.SweptValue}
		n, ok := places[k]
		if !ok {
			n = len(rows)
			places[k] = n
			rows = append(rows, Row{Scenario: k.scenario, SweptValue: k.value, Policy: k.policy})
		}
		row := &rows[n]
		values[n] = append(values[n], r.Value())
		row.Attempts += float64(r.Attempts) / max(1, float64(r.Requests))
		row.WastedMicros += r.WastedMicros / max(1, float64(r.Requests))
		for rule, broken := range r.BreachesByRule {
			row.BreachesByRule[rule] += broken
		}
		if len(r.Breaches) > 0 && row.FirstBreach == "" {
			row.FirstBreach = fmt.Sprintf("seed %d: %v", c.Seed, r.Breaches[0])
		}
	}
	for n := range rows {
		rows[n].BilledShare = Bootstrap(values[n])
		rows[n].Attempts /= float64(len(values[n]))
		rows[n].WastedMicros /= float64(len(values[n]))
	}
	return rows
}
