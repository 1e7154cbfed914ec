package dispatch

import (
	"testing"
	"time"

	"milletbarrow/monotime"
)

// The dispatcher's clock is monotonic: adjustments of the wall clock do not affect it.
func TestClockIsMonotonic(t *testing.T) {
	//nolint:staticcheck // Equal ignores the monotonic reading
	if clockStart == clockStart.Round(0) {
		t.Error("clockStart has no monotonic reading: adjusting the wall clock would change the dispatcher's clock")
	}
	hour := monotime.FromDuration(time.Hour)
	if wall := monotime.Micros(time.Now().UnixMicro()); Now() < wall-hour || Now() > wall+hour {
		t.Errorf("the dispatcher's clock is %d, the wall clock %d", Now(), wall)
	}
	clockBase += hour // simulates that the wall clock was set back by an hour since the start
	defer func() { clockBase -= hour }()
	arrivedAt := monotime.Micros(time.Now().UnixMicro()) - 5*monotime.Millisecond
	waited := Now() - FromWallClock(arrivedAt)
	if waited < 4_900 || waited > 500*monotime.Millisecond {
		t.Errorf("a request that arrived 5 ms ago has waited %d us", waited)
	}
}
