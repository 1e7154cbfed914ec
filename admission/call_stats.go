package admission

import "milletbarrow/monotime"

const (
	// callRetryWindow is the time constant of the retry budget of calls.
	callRetryWindow = 10 * monotime.Second
	// callBaselineWindow is the time constant of the baseline duration of a call.
	callBaselineWindow = 60 * monotime.Second
	// inFlightWindowDivisor makes the window of the mean number of calls in flight shorter than
	// Config.CallQuotaWindow, so that the limit takes effect before the quota is exceeded.
	inFlightWindowDivisor = 5

	// The prior of the baseline duration, used while no call has succeeded, is priorCallTime / priorCalls: 100 ms.
	priorCallTime = monotime.Millisecond
	priorCalls    = 0.01
)

// callStats measures the calls to the dependency. Times are in microseconds.
type callStats struct {
	firstAttempts decayingSum // over callRetryWindow
	retries       decayingSum // attempts after the first, over callRetryWindow

	succeededTime decayingSum // of calls that succeeded, over callBaselineWindow
	succeeded     decayingSum // number of calls that succeeded, over callBaselineWindow

	recentTime      decayingSum // of all calls, finished or in flight, over recentWindow
	recentSucceeded decayingSum // number of calls that succeeded, over recentWindow

	inFlightTime decayingSum       // time integral of the calls in flight, including abandoned ones
	lingering    []monotime.Micros // when each abandoned call leaves the dependency, ascending
}

func newCallStats(quotaWindow monotime.Micros) callStats {
	return callStats{
		firstAttempts:   newDecayingSum(callRetryWindow),
		retries:         newDecayingSum(callRetryWindow),
		succeededTime:   newDecayingSum(callBaselineWindow),
		succeeded:       newDecayingSum(callBaselineWindow),
		recentTime:      newDecayingSum(recentWindow),
		recentSucceeded: newDecayingSum(recentWindow),
		inFlightTime:    newDecayingSum(max(quotaWindow/inFlightWindowDivisor, 1)),
	}
}

// baselineDuration returns the mean duration of successful calls over callBaselineWindow.
func (c *callStats) baselineDuration(now monotime.Micros) float64 {
	return (c.succeededTime.read(now) + float64(priorCallTime)) / (c.succeeded.read(now) + priorCalls)
}

// recentDuration returns the time spent in calls per recent success; calls in flight count.
func (c *callStats) recentDuration(now monotime.Micros) float64 {
	return (c.recentTime.read(now) + c.baselineDuration(now)) / (c.recentSucceeded.read(now) + 1)
}

// recordSuccess adds a successful call to the statistics.
func (c *callStats) recordSuccess(now, took monotime.Micros) {
	c.succeededTime.add(now, float64(took))
	c.succeeded.add(now, 1)
	c.recentSucceeded.add(now, 1)
}

// recordAttempt counts an attempt for the retry budget.
func (c *callStats) recordAttempt(now monotime.Micros, isRetry bool) {
	if isRetry {
		c.retries.add(now, 1)
	} else {
		c.firstAttempts.add(now, 1)
	}
}

// linger counts an abandoned call as in flight until the given time.
func (c *callStats) linger(until monotime.Micros) { c.lingering = append(c.lingering, until) }

// dropLingering removes the abandoned calls that have left the dependency.
func (c *callStats) dropLingering(now monotime.Micros) {
	for len(c.lingering) > 0 && c.lingering[0] <= now {
		c.lingering = c.lingering[1:]
	}
}
