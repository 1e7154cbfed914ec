package quota

import "milletbarrow/monotime"

const (
	maxDemand int64 = 1 << 40 // units per second; keeps the arithmetic within int64

	// A client's denied units count at most as maxDeniedQuotas times its quota, plus 1/maxDeniedOfTotalDivisor of the
	// total.
	maxDeniedQuotas         int64 = 2
	maxDeniedOfTotalDivisor int64 = 8

	smoothingDivisor int64 = 2 // an estimate moves by 1/smoothingDivisor of its difference to the observation
)

// demandSample is the usage of one client of one rate over a duration.
type demandSample struct {
	quota    int64 // units per second that the client may draw
	total    int64 // units per second of the rate
	drawn    int64 // units
	denied   int64 // units
	duration monotime.Micros
}

// estimateDemand updates a smoothed demand, in units per second, with a new sample. Denied units count only up to a
// bound, so that a client can't claim everything by overstating its demand.
func estimateDemand(previous int64, sample demandSample) int64 {
	if sample.duration <= 0 || sample.drawn < 0 || sample.denied < 0 {
		return previous
	}
	maxDenied := maxDeniedQuotas*sample.quota + sample.total/maxDeniedOfTotalDivisor + 1
	observed := min(maxDemand, sample.perSecond(sample.drawn)+min(sample.perSecond(sample.denied), maxDenied))
	// Differences are rounded up, so that the estimate reaches 0 once there is no demand.
	if observed >= previous {
		return previous + (observed-previous+smoothingDivisor-1)/smoothingDivisor
	}
	return previous - (previous-observed+smoothingDivisor-1)/smoothingDivisor
}

// perSecond converts units over the sample's duration to units per second.
func (s *demandSample) perSecond(units int64) int64 {
	return min(units, maxDemand) * int64(monotime.Second) / int64(s.duration)
}
