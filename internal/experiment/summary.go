package experiment

import (
	"fmt"
	"strings"

	"milletbarrow/internal/simulation"
)

// Row is one row of an experiment's table, over the runs with one scenario, swept value and policy.
type Row struct {
	Scenario       string   `json:"scenario"`
	SweptValue     float64  `json:"at"` // zero if no field is swept
	Policy         string   `json:"policy"`
	BilledShare    Estimate `json:"value"`                  // billed part of the offered value
	Attempts       float64  `json:"attempts"`               // per request, mean over the runs
	WastedMicros   float64  `json:"wasted_us"`              // per request, mean over the runs
	BreachesByRule [5]int   `json:"rules"`                  // indexed by rule, 1 to 4; sum over the runs
	FirstBreach    string   `json:"first_breach,omitempty"` // with the seed of its run; empty: none
}

// BreachCount returns the number of breaches, over all rules.
func (r *Row) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// BreachSummary returns each broken rule with its number of breaches, or "-" if there are none.
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

// rowKey identifies a row of the table.
type rowKey struct {
	scenario string
	policy   string
	value    float64
}

// Summary returns the table of an experiment, in the order of its cells. Results are in the same order; a missing one
// is nil.
func Summary(cells []Cell, results []*simulation.Result) (rows []Row) {
	indexes := map[rowKey]int{}
	var billedShares [][]float64 // by row and run
	for i := range cells {
		cell, result := &cells[i], results[i]
		if result == nil {
			continue
		}
		key := rowKey{scenario: cell.Scenario.Name, policy: cell.Policy.Name, value: cell.SweptValue}
		index, known := indexes[key]
		if !known {
			index = len(rows)
			indexes[key] = index
			rows = append(rows, Row{Scenario: key.scenario, SweptValue: key.value, Policy: key.policy})
			billedShares = append(billedShares, nil)
		}
		rows[index].add(cell.Seed, result)
		billedShares[index] = append(billedShares[index], result.Value())
	}
	for i := range rows {
		runs := float64(len(billedShares[i]))
		rows[i].BilledShare = Bootstrap(billedShares[i])
		rows[i].Attempts /= runs
		rows[i].WastedMicros /= runs
	}
	return rows
}

// add adds the metrics of one run to the sums of the row.
func (r *Row) add(seed uint64, result *simulation.Result) {
	r.Attempts += perRequest(float64(result.Attempts), result.Requests)
	r.WastedMicros += perRequest(result.WastedMicros, result.Requests)
	for rule, breaches := range result.BreachesByRule {
		r.BreachesByRule[rule] += breaches
	}
	if len(result.Breaches) > 0 && r.FirstBreach == "" {
		r.FirstBreach = fmt.Sprintf("seed %d: %v", seed, result.Breaches[0])
	}
}
