package experiment

import (
	"math/rand/v2"
	"testing"
)

// TestBootstrapIntervalCoversMean checks that about 95% of the intervals cover a known mean. The percentile bootstrap
// covers it slightly less often with only twelve values.
func TestBootstrapIntervalCoversMean(t *testing.T) {
	const (
		mean      = 3
		intervals = 300
	)
	random := rand.New(rand.NewPCG(1, 1))
	covering := 0
	for range intervals {
		values := make([]float64, 12)
		for i := range values {
			values[i] = mean + random.NormFloat64()
		}
		if e := Bootstrap(values); e.Low <= mean && e.High >= mean {
			covering++
		}
	}
	if covering < intervals*86/100 || covering == intervals {
		t.Errorf("%d of %d intervals cover the true mean", covering, intervals)
	}
}
