package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Estimate is a mean with its confidence interval.
type Estimate struct {
	Mean    float64 `json:"mean"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Samples int     `json:"n"`
}

// Parameters of the bootstrap.
const (
	bootstrapDraws = 4000
	confidence     = 0.95
	minPairs       = 5 // with fewer pairs no difference is claimed
)

// Bootstrap returns the mean of values with its 95% confidence interval by the percentile bootstrap. The same values
// give the same interval. NaN stands for a missing value and is left out.
func Bootstrap(xs []float64) (e Estimate) {
	known := make([]float64, 0, len(xs))
	for _, x := range xs {
		if !math.IsNaN(x) {
			known = append(known, x)
			e.Mean += x
		}
	}
	e.Samples = len(known)
	if e.Samples == 0 {
		e.Mean, e.Low, e.High = math.NaN(), math.NaN(), math.NaN()
		return e
	}
	e.Mean /= float64(e.Samples)
	r := rand.New(rand.NewPCG(1, uint64(e.Samples)))
	means := make([]float64, bootstrapDraws)
	for i := range means {
		for range known {
			means[i] += known[r.IntN(len(known))]
		}
		means[i] /= float64(e.Samples)
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	e.Low, e.High = means[int(tail*bootstrapDraws)], means[int((1-tail)*bootstrapDraws)-1]
	return e
}
