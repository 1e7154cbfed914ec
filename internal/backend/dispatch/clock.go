package dispatch

import (
	"time"

	"milletbarrow/monotime"
)

// The dispatcher's clock is the Unix time at the start of the process, carried on by the monotonic clock: setting the wall
// clock an hour back must not stop the ticks for an hour, nor an hour ahead make every request in flight overdue.
var (
	clockStart = time.Now()
	clockBase  = monotime.Micros(clockStart.UnixMicro())
)

// Now is the time of the dispatcher's clock, the only clock of decisions.
func Now() monotime.Micros { return clockBase + monotime.FromDuration(time.Since(clockStart)) }

// FromWallClock converts a wall-clock time to the dispatcher's clock, however far the wall clock has been set since the
// start of the process.
func FromWallClock(at monotime.Micros) monotime.Micros {
	return Now() - (monotime.Micros(time.Now().UnixMicro()) - at)
}
