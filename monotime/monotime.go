// Package monotime has the program's unit of time: whole microseconds of a monotonic clock. Every package that
// decides takes time as a Micros; a time.Duration is converted once, where it enters or leaves.
package monotime

import (
	"math"
	"time"
)

// Micros is a point on a monotonic clock, or a span between two of them, in whole microseconds. Which clock it
// is belongs to the package that reads it: the host's (process.Now), the dispatcher's (dispatch.Now) or a
// simulation's. Points of different clocks are never compared. It is stored and sent as an integer.
type Micros int64

// Units of time.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// maxMilliseconds bounds FromMilliseconds, so that two results can be added without overflow.
const maxMilliseconds = 1e12

// FromDuration converts a duration, truncating it to whole microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// FromMilliseconds converts milliseconds, rounding to the nearest microsecond. Values beyond 1e12 ms either way
// are cut off there.
func FromMilliseconds(ms float64) Micros {
	const microsPerMillisecond = float64(Millisecond)
	limit := maxMilliseconds * microsPerMillisecond
	return Micros(math.Round(math.Max(-limit, math.Min(limit, ms*microsPerMillisecond))))
}

// Duration converts to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds converts to seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }
