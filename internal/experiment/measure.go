package experiment

import (
	"math"
	"slices"
	"strings"

	"milletbarrow/internal/simulation"
)

// Measure is a figure of a result.
type Measure struct {
	Name          string
	Value         func(r *simulation.Result) float64 // NaN where a result does not have it
	LowerIsBetter bool                               // a lower value is better
}

// MeasureNamed finds a figure by its name: value, priced, broken, attempts, wasted, changes, or one of an operation or
// tenant: NAME.value, NAME.in-time, NAME.p50, NAME.p99, or NAME and an outcome. The error is an *UnknownMeasureError.
func MeasureNamed(name string) (m Measure, err error) {
	per := func(r *simulation.Result, x float64) float64 { return x / math.Max(1, float64(r.Requests)) }
	m.Name = name
	switch name {
	case "value":
		m.Value = (*simulation.Result).Value
	case "broken":
		m.Value, m.LowerIsBetter = func(r *simulation.Result) float64 { return float64(r.BreachCount()) }, true
	case "priced":
		m.Value = func(r *simulation.Result) float64 { return r.QuotaPriced / math.Max(r.Offered, 1e-9) }
	case "attempts":
		m.Value, m.LowerIsBetter = func(r *simulation.Result) float64 { return per(r, float64(r.Attempts)) }, true
	case "wasted":
		m.Value, m.LowerIsBetter = func(r *simulation.Result) float64 { return per(r, r.WastedMicros) }, true
	case "changes":
		m.Value, m.LowerIsBetter = func(r *simulation.Result) float64 { return float64(r.LevelChangeCount) }, true
	default:
		op, what, ok := strings.Cut(name, ".")
		ends := simulation.Outcomes()
		of, known := map[string]func(p *simulation.Breakdown) float64{
			"value":   func(p *simulation.Breakdown) float64 { return p.Billed / math.Max(p.Offered, 1e-9) },
			"in-time": func(p *simulation.Breakdown) float64 { return float64(p.InTime) / math.Max(1, float64(p.Requests)) },
			"p50":     func(p *simulation.Breakdown) float64 { return quantile(p, 50) },
			"p99":     func(p *simulation.Breakdown) float64 { return quantile(p, 99) },
		}[what]
		if n := slices.Index(ends, what); n >= 0 {
			of, known = func(p *simulation.Breakdown) float64 { return p.OutcomeShare(n) }, true
		}
		if !ok || !known {
			return m, &UnknownMeasureError{Name: name}
		}
		m.LowerIsBetter = what != "value" && what != "in-time" && what != "succeeded"
		m.Value = func(r *simulation.Result) float64 {
			for _, parts := range [][]simulation.Breakdown{r.Operations, r.Tenants} {
				for i := range parts {
					if parts[i].Name == op {
						return of(&parts[i])
					}
				}
			}
			return math.NaN()
		}
	}
	return m, nil
}

// quantile returns a percentile of a breakdown's latencies, in microseconds; NaN where there are none.
func quantile(p *simulation.Breakdown, q float64) float64 {
	h, err := p.Histogram()
	if err != nil || h == nil {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q))
}
