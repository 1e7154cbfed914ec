package experiment

import (
	"math"
	"slices"
	"strings"

	"milletbarrow/internal/simulation"
)

// Measure is a metric of a result.
type Measure struct {
	Name          string                             // as in MeasureNamed
	Value         func(r *simulation.Result) float64 // NaN if the result does not have the metric
	LowerIsBetter bool
}

// measures are the metrics of a complete result, by name.
var measures = map[string]Measure{
	"value":    {Value: (*simulation.Result).Value},
	"priced":   {Value: quotaPricedShare},
	"broken":   {Value: breachCount, LowerIsBetter: true},
	"changes":  {Value: levelChangeCount, LowerIsBetter: true},
	"attempts": {Value: attemptsPerRequest, LowerIsBetter: true},
	"wasted":   {Value: wastedMicrosPerRequest, LowerIsBetter: true},
}

func quotaPricedShare(r *simulation.Result) float64 {
	return r.QuotaPriced / math.Max(r.Offered, minOffered)
}

func breachCount(r *simulation.Result) float64 { return float64(r.BreachCount()) }

func levelChangeCount(r *simulation.Result) float64 { return float64(r.LevelChangeCount) }

func attemptsPerRequest(r *simulation.Result) float64 {
	return perRequest(float64(r.Attempts), r.Requests)
}

func wastedMicrosPerRequest(r *simulation.Result) float64 {
	return perRequest(r.WastedMicros, r.Requests)
}

// breakdownMeasures are the metrics of an operation or tenant, by name.
var breakdownMeasures = map[string]func(b *simulation.Breakdown) float64{
	"value":   func(b *simulation.Breakdown) float64 { return b.Billed / math.Max(b.Offered, minOffered) },
	"in-time": func(b *simulation.Breakdown) float64 { return perRequest(float64(b.InTime), b.Requests) },
	"p50":     func(b *simulation.Breakdown) float64 { return percentile(b, median) },
	"p99":     func(b *simulation.Breakdown) float64 { return percentile(b, highPercentile) },
}

// Percentiles of latency.
const (
	median         = 50
	highPercentile = 99
)

// minOffered replaces the offered value of a run without requests, to avoid a division by zero.
const minOffered = 1e-9

// perRequest returns the total divided by the number of requests; a run without requests counts as one request.
func perRequest(total float64, requests int) float64 { return total / math.Max(1, float64(requests)) }

// MeasureNamed returns the metric of a name: value, priced, broken, attempts, wasted, changes, or one of an operation
// or tenant: NAME.value, NAME.in-time, NAME.p50, NAME.p99, or NAME and an outcome. The error is an
// *UnknownMeasureError.
func MeasureNamed(name string) (Measure, error) {
	if m, known := measures[name]; known {
		m.Name = name
		return m, nil
	}
	breakdown, metric, _ := strings.Cut(name, ".")
	value, known := breakdownMeasures[metric]
	if outcome := slices.Index(simulation.Outcomes(), metric); outcome >= 0 {
		known = true
		value = func(b *simulation.Breakdown) float64 { return b.OutcomeShare(outcome) }
	}
	if !known {
		return Measure{Name: name}, &UnknownMeasureError{Name: name}
	}
	higherIsBetter := metric == "value" || metric == "in-time" || metric == "succeeded"
	return Measure{Name: name, Value: ofBreakdown(breakdown, value), LowerIsBetter: !higherIsBetter}, nil
}

// ofBreakdown applies value to the operation, else the tenant, of that name; NaN if a result has neither.
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

// percentile returns a percentile of the breakdown's latencies, in microseconds; NaN without a histogram.
func percentile(b *simulation.Breakdown, percent float64) float64 {
	histogram, err := b.Histogram()
	if err != nil || histogram == nil {
		return math.NaN()
	}
	return float64(histogram.ValueAtQuantile(percent))
}
