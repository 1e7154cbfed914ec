package shadow

import (
	"fmt"
	"strings"
)

// Difference is a kind of difference between the decisions of the shadow and those of the primary.
type Difference int

// The kinds of difference. Health, IdleTimeout and AdvertisedValue are counted once per change, the others once per
// request and event.
const (
	OnlyShadowAdmits  Difference = iota // the primary rejects the request on arrival, the shadow does not
	OnlyShadowRejects                   // the shadow rejects the request on arrival, the primary does not
	RetryElsewhere                      // both throttle the request; only one allows a retry on another backend
	RetryAfter                          // both throttle the request; the Retry-After values differ by more than half
	StartOrder                          // the sides start different requests first
	OnlyShadowGivesUp                   // the shadow throttles or fails the request later, the primary does not
	OnlyShadowKeeps                     // the primary throttles or fails the request later, the shadow does not
	Preemption                          // only one side stops a run
	Replay                              // only one side answers with the result of an earlier run
	Health                              // the sides answer health checks differently
	IdleTimeout                         // the idle timeouts of connections differ
	AdvertisedValue                     // the advertised values differ, or only one side advertises a value
	differenceCount
)

// Names of the other counts in logs and on the admin socket.
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

// Counts are the totals since the shadow was started.
type Counts struct {
	ByDifference [differenceCount]int
	Arrivals     int // requests that arrived at both modules
	Panics       int // of the shadow, which is stopped after the first
}

// Map returns the arrivals, the panics and the nonzero counts of differences, by name.
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
