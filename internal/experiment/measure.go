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

// measures are the figures of a whole result, by name.
var measures = map[string]Measure{
	"value":    {Value: (*simulation.Result).Value},
	"priced":   {Value: func(r *simulation.Result) float64 { return r.QuotaPriced / math.Max(r.Offered, minOffered) }},
	"broken":   {Value: func(r *simulation.Result) float64 { return float64(r.BreachCount()) }, LowerIsBetter: true},
	"changes":  {Value: func(r *simulation.Result) float64 { return float64(r.LevelChangeCount) }, LowerIsBetter: true},
	"attempts": {Value: func(r *simulation.Result) float64 { return perRequest(float64(r.Attempts), r.Requests) }, LowerIsBetter: true},
	"wasted":   {Value: func(r *simulation.Result) float64 { return perRequest(r.WastedMicros, r.Requests) }, LowerIsBetter: true},
}

// breakdownMeasures are the figures of an operation or tenant, by name.
var breakdownMeasures = map[string]func(b *simulation.Breakdown) float64{
	"value":   func(b *simulation.Breakdown) float64 { return b.Billed / math.Max(b.Offered, minOffered) },
	"in-time": func(b *simulation.Breakdown) float64 { return perRequest(float64(b.InTime), b.Requests) },
	"p50":     func(b *simulation.Breakdown) float64 { return quantile(b, 50) },
	"p99":     func(b *simulation.Breakdown) float64 { return quantile(b, 99) },
}

// minOffered stands for the offered value of a day without requests.
const minOffered = 1e-9

func perRequest(total float64, requests int) float64 { return total / math.Max(1, float64(requests)) }

// MeasureNamed finds a figure by its name: value, priced, broken, attempts, wasted, changes, or one of an operation or
// tenant: NAME.value, NAME.in-time, NAME.p50, NAME.p99, or NAME and an outcome. The error is an *UnknownMeasureError.
func MeasureNamed(name string) (Measure, error) {
	if m, known := measures[name]; known {
		m.Name = name
		return m, nil
	}
	part, figure, _ := strings.Cut(name, ".")
	value, known := breakdownMeasures[figure]
	if n := slices.Index(simulation.Outcomes(), figure); n >= 0 {
		value, known = func(b *simulation.Breakdown) float64 { return b.OutcomeShare(n) }, true
	}
	if !known {
		return Measure{Name: name}, &UnknownMeasureError{Name: name}
	}
	higherIsBetter := figure == "value" || figure == "in-time" || figure == "succeeded"
	return Measure{Name: name, Value: ofBreakdown(part, value), LowerIsBetter: !higherIsBetter}, nil
}

// ofBreakdown returns the figure of the operation or tenant of that name; NaN where a result has none.
func ofBreakdown(name string, value func(b *simulation.Breakdown) float64) func(r *simulation.Result) float64 {
	return func(r *simulation.Result) float64 {
		for _, breakdowns := range [][]simulation.Breakdown{r.Operations, r.Tenants} {
			for i := range breakdowns {
				if breakdowns[i].Name == name {
					return value(&breakdowns[i])
				}
			}
		}
		return math.NaN()
	}
}

// quantile returns a percentile of a breakdown's latencies, in microseconds; NaN where there are none.
func quantile(p *simulation.Breakdown, q float64) float64 {
	h, err := p.Histogram()
	if err != nil || h == nil {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q))
}
