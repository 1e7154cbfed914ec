package reportpacing

import (
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"pgregory.net/rapid"

	shared "milletbarrow/internal/backoff"
)

// TestIntervalsMatchBackoffLibrary checks that the bound of the retry delays grows with each failure as the interval of
// the backoff library grows with each call.
func TestIntervalsMatchBackoffLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := time.Duration(rapid.Int64Range(1, 10_000_000).Draw(t, "initial")) * time.Microsecond
		maxInterval := time.Duration(rapid.Int64Range(1, 100_000_000).Draw(t, "max")) * time.Microsecond
		library := &backoff.ExponentialBackOff{
			InitialInterval: initial,
			Multiplier:      1.5,
			MaxInterval:     maxInterval,
		}
		ours := shared.Exponential{Initial: initial, Max: maxInterval, Multiplier: 1.5}
		for n := range 60 {
			if want, got := library.NextBackOff(), ours.Interval(n+1); got != want {
				t.Fatalf("interval %d of %+v is %v, want %v", n+1, ours, got, want)
			}
		}
	})
}
