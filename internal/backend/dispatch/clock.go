package dispatch

import (
	"time"

	"milletbarrow/monotime"
)

// The dispatcher's clock is the Unix time at the start of the process plus the monotonic time since then. If it
// followed the wall clock, setting that an hour back would stop the ticks for an hour, and an hour ahead would make
// every request in flight overdue.
var (
	clockStart = time.Now()
	clockBase  = monotime.Micros(clockStart.UnixMicro())
)

// Now returns the time of the dispatcher's clock, the only clock of decisions.
func Now() monotime.Micros { return clockBase + monotime.FromDuration(time.Since(clockStart)) }

// FromWallClock converts a wall-clock time to the dispatcher's clock. Adjustments of the wall clock since the start
// of the process are taken into account.
func FromWallClock(at monotime.Micros) monotime.Micros {
	return Now() - (monotime.Micros(time.Now().UnixMicro()) - at)
}
