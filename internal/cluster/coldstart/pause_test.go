package coldstart

import (
	"math"
	"testing"

	"milletbarrow/monotime"
)

// TestPauseDurations: the pause doubles from two seconds to a minute with each failure more.
func TestPauseDurations(t *testing.T) {
	for n, want := range []monotime.Micros{2_000_000, 4_000_000, 8_000_000, 16_000_000, 32_000_000, 60_000_000, 60_000_000} {
		if got := pauseDuration(int64(n)); got != want {
			t.Errorf("%d us after %d failures more, wanted %d", got, n, want)
		}
	}
	if got := pauseDuration(math.MaxInt64); got != 60_000_000 {
		t.Errorf("%d us after any number of failures", got)
	}
}
