package dispatch

import (
	"testing"
	"time"

	"milletbarrow/monotime"
)

// TestClockIsMonotonic: the dispatcher's time goes by the monotonic clock. A wall clock that is set would stop the ticks, or make all
// requests in flight due at once.
func TestClockIsMonotonic(t *testing.T) {
	if clockStart == clockStart.Round(0) { //nolint:staticcheck // Equal would not see the monotonic reading
		t.Error("the beginning carries no reading of the machine's clock: setting the wall clock would move the dispatcher's time")
	}
	if wall := monotime.Micros(time.Now().UnixMicro()); Now() < wall-3_600_000_000 || Now() > wall+3_600_000_000 {
		t.Errorf("the time is %d, the wall's %d", Now(), wall)
	}
	// An hour after the wall clock was set back by one, what reached the machine 5 ms ago has still waited 5 ms.
	clockBase += 3_600_000_000 // the time is an hour ahead of the wall's from here on
	defer func() { clockBase -= 3_600_000_000 }()
	if waited := Now() - FromWallClock(monotime.Micros(time.Now().UnixMicro())-5000); waited < 4900 || waited > 500_000 {
		t.Errorf("it has waited %d us, wanted some 5,000", waited)
	}
}
