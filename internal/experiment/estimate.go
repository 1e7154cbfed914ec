package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Estimate is a mean with its confidence interval. Mean and bounds are NaN without samples.
type Estimate struct {
	Mean    float64 `json:"mean"`
	Low     float64 `json:"low"`  // lower bound of the interval
	High    float64 `json:"high"` // upper bound of the interval
	Samples int     `json:"n"`
}

// Parameters of the bootstrap.
const (
	bootstrapDraws = 4000 // resamples
	bootstrapSeed  = 1
	confidence     = 0.95 // probability that the interval covers the mean
	tails          = 2    // of the interval, each of the same probability
	minPairs       = 5    // paired runs; no difference is claimed with fewer
)

// Bootstrap returns the mean of values with its 95% confidence interval by the percentile bootstrap. The same values
// give the same interval. NaN stands for a missing value and is left out.
func Bootstrap(values []float64) (e Estimate) {
	known := make([]float64, 0, len(values))
	for _, value := range values {
		if !math.IsNaN(value) {
			known = append(known, value)
			e.Mean += value
		}
	}
	e.Samples = len(known)
	if e.Samples == 0 {
		return Estimate{Mean: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	e.Mean /= float64(e.Samples)
	means := resampledMeans(known)
	slices.Sort(means)
	tail := (1 - confidence) / tails
	e.Low = means[int(tail*bootstrapDraws)]
	e.High = means[int((1-tail)*bootstrapDraws)-1]
	return e
}

// resampledMeans returns the means of bootstrapDraws samples with replacement, each as large as values.
func resampledMeans(values []float64) []float64 {
	random := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(values))))
	means := make([]float64, bootstrapDraws)
	for i := range means {
		for range values {
			means[i] += values[random.IntN(len(values))]
		}
		means[i] /= float64(len(values))
	}
	return means
}
