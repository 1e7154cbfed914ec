package reportpacing

import (
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"pgregory.net/rapid"

	shared "milletbarrow/internal/backoff"
)

// TestGrowthIsUnchanged: the bound of the pauses grows as the library had it grow from call to call.
func TestGrowthIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(1, 10_000_000).Draw(t, "first")) * time.Microsecond
		most := time.Duration(rapid.Int64Range(1, 100_000_000).Draw(t, "most")) * time.Microsecond
		was := &backoff.ExponentialBackOff{InitialInterval: first, Multiplier: 1.5, MaxInterval: most}
		is := shared.Exponential{Initial: first, Max: most, Multiplier: 1.5}
		for n := range 60 {
			if want, got := was.NextBackOff(), is.Interval(n+1); got != want {
				t.Fatalf("%v for interval %d of %+v, %v before", got, n+1, is, want)
			}
		}
	})
}
