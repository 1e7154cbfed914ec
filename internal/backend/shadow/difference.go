package shadow

import (
	"fmt"
	"strings"
)

// Difference is a way in which the shadow's decision differs from the primary's.
type Difference int

// The differences. Health, IdleTimeout and AdvertisedValue are counted once a change, the others once for each request and
// event.
const (
	OnlyShadowAdmits  Difference = iota // the primary rejects the request on arrival
	OnlyShadowRejects                   // on arrival
	RetryElsewhere                      // both throttle the request, and only one lets the caller try other backends
	RetryAfter                          // both throttle the request, with Retry-Afters that differ by more than half
	StartOrder                          // another request is started first
	OnlyShadowGivesUp                   // after the arrival
	OnlyShadowKeeps                     // the primary gives the request up after its arrival
	Preemption                          // only one stops a run
	Replay                              // only one answers with the result of an earlier run
	Health                              // health checks are answered otherwise
	IdleTimeout                         // connections may be idle for another time
	AdvertisedValue                     // another value is advertised, or by only one
	differenceCount
)

// differenceNames are the names in logs and on the admin socket.
var differenceNames = [differenceCount]string{
	"let_in", "turned_away", "words", "advice", "order", "given_up", "kept_on", "paused", "repeated", "health",
	"connections", "value",
}

// String is the name in logs and on the admin socket.
func (d Difference) String() string { return differenceNames[d] }

// Counts are totals since the start of the shadow.
type Counts struct {
	ByDifference [differenceCount]int
	Arrivals     int // requests that both modules decided on
	Panics       int // of the shadow; after the first it decides nothing more
}

// Map returns the arrivals, the panics and the differences that are not 0, by name.
func (c Counts) Map() map[string]int {
	m := map[string]int{"arrivals": c.Arrivals, "faults": c.Panics}
	for d, n := range c.ByDifference {
		if n > 0 {
			m[Difference(d).String()] = n
		}
	}
	return m
}

// String prints the counts in a fixed order, for logs.
func (c Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "arrivals=%d", c.Arrivals)
	for d, n := range c.ByDifference {
		if n > 0 {
			fmt.Fprintf(&b, " %v=%d", Difference(d), n)
		}
	}
	if c.Panics > 0 {
		fmt.Fprintf(&b, " faults=%d", c.Panics)
	}
	return b.String()
}
