package admission

import "milletbarrow/monotime"

const (
	// callRetryWindow is the recent past over which the retry budget of calls is kept.
	callRetryWindow = 10 * monotime.Second
	// callLearningWindow is the past over which the usual duration of a call is learnt.
	callLearningWindow = 60 * monotime.Second
	// inFlightWindowDivisor makes the window of the mean calls in flight shorter than Config.CallQuotaWindow, so that
	// the quota binds before it is exceeded.
	inFlightWindowDivisor = 5

	// While nothing has been learnt, a call is taken to last unlearntCallTime / unlearntCalls: 100 ms.
	unlearntCallTime = monotime.Millisecond
	unlearntCalls    = 0.01
)

// callStats measures the calls to the dependency. Times are in microseconds.
type callStats struct {
	first   decayingSum // first attempts, over callRetryWindow
	retried decayingSum // further attempts, over callRetryWindow

	succeededTime decayingSum // of calls that succeeded, over callLearningWindow
	succeeded     decayingSum // number of calls that succeeded, over callLearningWindow

	spent           decayingSum // of all calls, ended or not, over recentWindow
	recentSucceeded decayingSum // number of calls that succeeded, over recentWindow

	inFlightTime decayingSum       // calls at the dependency, those abandoned included, times time
	lingering    []monotime.Micros // when each abandoned call will have left the dependency, ascending
}

func newCallStats(quotaWindow monotime.Micros) callStats {
	return callStats{
		first:           newDecayingSum(callRetryWindow),
		retried:         newDecayingSum(callRetryWindow),
		succeededTime:   newDecayingSum(callLearningWindow),
		succeeded:       newDecayingSum(callLearningWindow),
		spent:           newDecayingSum(recentWindow),
		recentSucceeded: newDecayingSum(recentWindow),
		inFlightTime:    newDecayingSum(max(quotaWindow/inFlightWindowDivisor, 1)),
	}
}

// usual returns the duration of a call that succeeds.
func (c *callStats) usual(now monotime.Micros) float64 {
	return (c.succeededTime.read(now) + float64(unlearntCallTime)) / (c.succeeded.read(now) + unlearntCalls)
}

// recent returns the recent duration of calls, those that have not ended included.
func (c *callStats) recent(now monotime.Micros) float64 {
	return (c.spent.read(now) + c.usual(now)) / (c.recentSucceeded.read(now) + 1)
}

// succeed learns from a call that succeeded.
func (c *callStats) succeed(now, took monotime.Micros) {
	c.succeededTime.add(now, float64(took))
	c.succeeded.add(now, 1)
	c.recentSucceeded.add(now, 1)
}

// countAttempt counts a call that is made.
func (c *callStats) countAttempt(now monotime.Micros, isRetry bool) {
	if isRetry {
		c.retried.add(now, 1)
	} else {
		c.first.add(now, 1)
	}
}

// linger counts an abandoned call as in flight until a time.
func (c *callStats) linger(until monotime.Micros) { c.lingering = append(c.lingering, until) }

// dropLingering forgets the abandoned calls that have left the dependency.
func (c *callStats) dropLingering(now monotime.Micros) {
	for len(c.lingering) > 0 && c.lingering[0] <= now {
		c.lingering = c.lingering[1:]
	}
}
