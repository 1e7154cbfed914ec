package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"milletbarrow/internal/simulation"
)

// Measure is a figure of a result.
type Measure struct {
	Name          string
	Value         func(r *simulation.Result) float64
	LowerIsBetter bool // less is better
}

// MeasureNamed finds a figure by its name: value, broken, attempts, wasted, or one of an operation: OPERATION.value,
// OPERATION.in-time, OPERATION.p50, .p99, .throttled, .lost. NaN where a result does not have it.
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
			return m, fmt.Errorf("no figure %q: value, priced, broken, attempts, wasted, changes, or OPERATION with .value, .in-time, .p50, .p99 or .%s", name, strings.Join(ends, ", ."))
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

func quantile(p *simulation.Breakdown, q float64) float64 {
	h, err := p.Histogram()
	if err != nil || h == nil {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q))
}

// Estimate is a mean with its interval.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// Draws of a bootstrap, and how much of them lies within an interval.
const (
	bootstrapDraws = 4000
	confidence     = 0.95
	minPairs       = 5 // fewer say nothing of how much chance there is
)

// Bootstrap is the mean of some figures with the interval in which it lies with a confidence of 0.95, by drawing from them
// again and again. The same figures give the same interval. Values that are missing are left out.
func Bootstrap(xs []float64) (e Estimate) {
	known := make([]float64, 0, len(xs))
	for _, x := range xs {
		if !math.IsNaN(x) {
			known = append(known, x)
			e.Mean += x
		}
	}
	e.N = len(known)
	if e.N == 0 {
		e.Mean, e.Low, e.High = math.NaN(), math.NaN(), math.NaN()
		return e
	}
	e.Mean /= float64(e.N)
	r := rand.New(rand.NewPCG(1, uint64(e.N)))
	means := make([]float64, bootstrapDraws)
	for i := range means {
		for range known {
			means[i] += known[r.IntN(len(known))]
		}
		means[i] /= float64(e.N)
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	e.Low, e.High = means[int(tail*bootstrapDraws)], means[int((1-tail)*bootstrapDraws)-1]
	return e
}

// Difference is what two policies did on the same days.
type Difference struct {
	Scenario   string   `json:"scenario"`
	SweptValue float64  `json:"at"` // of what is swept
	A          Estimate `json:"a"`
	B          Estimate `json:"b"`
	Paired     Estimate `json:"b_less_a"`
	Verdict    string   `json:"word"`
}

// Compare takes the days that both policies have played, pairs them by seed, and says of each scenario and value whether a
// difference is shown.
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

// verdict says what an interval shows, and nothing more.
func verdict(e Estimate, m Measure, a, b string) string {
	switch {
	case e.N == 0:
		return "nothing to compare"
	case e.N < minPairs:
		return fmt.Sprintf("%d days are too few to show anything", e.N)
	case e.Low <= 0 && e.High >= 0:
		return "no difference shown"
	case (e.Mean > 0) != m.LowerIsBetter:
		return b + " is better"
	}
	return a + " is better"
}

// Curve is one policy's figure over what is swept.
type Curve struct {
	Policy string
	X      []float64
	Y      []Estimate
}

// Curves are the figures of one scenario, a curve a policy.
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
