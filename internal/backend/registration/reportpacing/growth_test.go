package reportpacing

import (
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"pgregory.net/rapid"

	shared "milletbarrow/internal/backoff"
)

// TestGrowthIsUnchanged: the bound of the pauses grows as that of the backoff library does from call to call.
func TestGrowthIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := time.Duration(rapid.Int64Range(1, 10_000_000).Draw(t, "first")) * time.Microsecond
		maxInterval := time.Duration(rapid.Int64Range(1, 100_000_000).Draw(t, "most")) * time.Microsecond
		libraryBackoff := &backoff.ExponentialBackOff{InitialInterval: initial, Multiplier: 1.5, MaxInterval: maxInterval}
		sharedBackoff := shared.Exponential{Initial: initial, Max: maxInterval, Multiplier: 1.5}
		for n := range 60 {
			if want, got := libraryBackoff.NextBackOff(), sharedBackoff.Interval(n+1); got != want {
				t.Fatalf("%v for interval %d of %+v, %v before", got, n+1, sharedBackoff, want)
			}
		}
	})
}
