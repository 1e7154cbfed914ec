package dispatch

import (
	"time"

	"milletbarrow/monotime"
)

// The dispatcher's clock is the Unix time at the start of the process plus the monotonic time since then. It does not
// follow the wall clock: setting the wall clock back by an hour would stop the ticks for an hour, and setting it
// forward would make every request in flight overdue.
var (
	clockStart = time.Now()
	clockBase  = monotime.Micros(clockStart.UnixMicro())
)

// Now returns the time of the dispatcher's clock. All decisions of the module use this clock.
func Now() monotime.Micros { return clockBase + monotime.FromDuration(time.Since(clockStart)) }

// FromWallClock converts a wall-clock time to the dispatcher's clock, corrected for adjustments of the wall clock since
// the start of the process.
func FromWallClock(at monotime.Micros) monotime.Micros {
	return Now() - (monotime.Micros(time.Now().UnixMicro()) - at)
}
