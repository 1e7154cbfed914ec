package shadow

import (
	"fmt"
	"strings"
)

// Difference is a kind of difference between the shadow's decisions and the primary's.
type Difference int

// The kinds of difference. Health, IdleTimeout and AdvertisedValue are counted once for each change, the others once
// for each request and event.
const (
	OnlyShadowAdmits  Difference = iota // the primary rejects the request on arrival, the shadow does not
	OnlyShadowRejects                   // the shadow rejects the request on arrival, the primary does not
	RetryElsewhere                      // both throttle the request; only one advises a retry on another backend
	RetryAfter                          // both throttle the request; the Retry-Afters differ by more than half
	StartOrder                          // the first request to be started is another one
	OnlyShadowGivesUp                   // the shadow answers the request without a run after its arrival
	OnlyShadowKeeps                     // the primary answers the request without a run after its arrival
	Preemption                          // only one stops a run
	Replay                              // only one answers with the result of an earlier run
	Health                              // health checks are answered differently
	IdleTimeout                         // the idle timeouts of connections differ
	AdvertisedValue                     // the advertised values differ, or only one advertises a value
	differenceCount
)

// Names of the counts in logs and on the admin socket.
const (
	arrivalsName = "arrivals"
	panicsName   = "faults"
)

// differenceNames are the names of the differences in logs and on the admin socket.
var differenceNames = [differenceCount]string{
	OnlyShadowAdmits:  "let_in",
	OnlyShadowRejects: "turned_away",
	RetryElsewhere:    "words",
	RetryAfter:        "advice",
	StartOrder:        "order",
	OnlyShadowGivesUp: "given_up",
	OnlyShadowKeeps:   "kept_on",
	Preemption:        "paused",
	Replay:            "repeated",
	Health:            "health",
	IdleTimeout:       "connections",
	AdvertisedValue:   "value",
}

// String returns the name in logs and on the admin socket.
func (d Difference) String() string { return differenceNames[d] }

// Counts are totals since the start of the shadow.
type Counts struct {
	ByDifference [differenceCount]int
	Arrivals     int // requests that both modules decided on
	Panics       int // of the shadow; after the first it decides nothing more
}

// Map returns the arrivals, the panics and the differences that are not 0, by name.
func (c Counts) Map() map[string]int {
	counts := map[string]int{arrivalsName: c.Arrivals, panicsName: c.Panics}
	for d, n := range c.ByDifference {
		if n > 0 {
			counts[Difference(d).String()] = n
		}
	}
	return counts
}

// String formats the counts in a fixed order, for logs.
func (c Counts) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s=%d", arrivalsName, c.Arrivals)
	for d, n := range c.ByDifference {
		if n > 0 {
			fmt.Fprintf(&text, " %v=%d", Difference(d), n)
		}
	}
	if c.Panics > 0 {
		fmt.Fprintf(&text, " %s=%d", panicsName, c.Panics)
	}
	return text.String()
}
