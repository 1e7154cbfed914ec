package admission

import "milletbarrow/monotime"

// feedback is what callers last heard, and since when health and connections are as they are.
type feedback struct {
	healthy, closingIdle           bool            // closingIdle: idle connections are closed early
	lastProgress, lastLate         monotime.Micros // last arrival read in time or run that succeeded; last late arrival
	unhealthyUntil, saturatedUntil monotime.Micros
	advertised                     float64
}
