// Package monotime defines the program's unit of time: whole microseconds of a monotonic clock. All decision packages
// take time as Micros; a time.Duration is converted once, at the boundary.
package monotime

import (
	"math"
	"time"
)

// Micros is a time on a monotonic clock, or the difference between two such times, in whole microseconds. The package
// that reads the clock determines which one it is: the host's (process.Now), the dispatcher's (dispatch.Now) or a
// simulation's. Times of different clocks must not be compared. It is stored and sent as an integer.
type Micros int64

// Units of time.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// maxMilliseconds limits FromMilliseconds, so that the sum of two results does not overflow.
const maxMilliseconds = 1e12

// FromDuration converts a duration, truncating it to whole microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// FromMilliseconds converts milliseconds, rounding to the nearest microsecond. Values are clamped to the range from
// -1e12 ms to 1e12 ms.
func FromMilliseconds(ms float64) Micros {
	const microsPerMillisecond = float64(Millisecond)
	limit := maxMilliseconds * microsPerMillisecond
	return Micros(math.Round(math.Max(-limit, math.Min(limit, ms*microsPerMillisecond))))
}

// Duration converts to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds converts to seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }
