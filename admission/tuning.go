package admission

import "milletbarrow/monotime"

// Tuned values. Times are in microseconds; "per core" values are for each core of the backend.
const (
	maxTick    = 20_000                   // gauges are read at least this often
	timerToken = int64(1)                 // of the one timer
	never      = monotime.Micros(1 << 60) // no such time

	retryWindow    = 4_000_000  // the recent past of the share of retries
	learningTime   = 20_000_000 // what an operation costs here is learnt over this
	recentTime     = 2_000_000  // and over this, whether runs, calls and tenants are as they were
	queueSmoothing = 200_000    // time constant of the run queue
	slowdownPrior  = 100_000    // core time, by core, that speaks for no slowdown
	usualDeadline  = 0.15       // a time left that so many arrivals have is a first attempt's
	sameDeadline   = 0.01       // times left that differ by less, in client timeouts, are the same

	busyCoreUse         = 0.85 // cores count as busy from here on
	thresholdLow        = 1.0  // run queue per core at which the lowest priority is rejected
	thresholdTop        = 2.5  // the same for the highest
	burstLow            = 2.0  // and so many more, whatever the cores: chance weighs more on few
	burstTop            = 4.0  // the same for the highest
	retryLimit          = 0.10 // share of retries from which the lowest priority hears "don't retry"
	retryLimitTop       = 0.50 // the same for the highest
	unmarkedRetriesSeen = 0.5  // about the part of unmarked retries that unusualDeadline finds
	maxWaitingMemory    = 0.90 // part of memory from which no invocation is admitted

	quotaSlack       = 1.5 // standard deviations by which chance may exceed an even part of a quota
	withinQuotaFloor = 0.3 // work within its tenant's quota has a priority above this, work beyond it below

	runsPerCore    = 1.2  // whole runs wanted: a third on two slows all, a seventh on six spans a gap
	runsSafety     = 0.85 // part of the survivable number of runs ever used
	maxStartMemory = 0.80 // part of memory beyond which nothing is started
	stopInterval   = 10   // ticks between two requests to stop the same run

	maxCallAttempts  = 3
	callRetryBudget  = 0.10       // retried calls to first calls
	callRetryWindow  = 10_000_000 // measured over this
	callLearningTime = 60_000_000 // what a call usually takes is learnt over this
	slowCallsFrom    = 2.0        // times the usual; from here on fewer calls are in flight
	callsWaitPerCore = 2.0        // invocations waiting for their call, by core
	callQuotaUsed    = 0.9        // part of the mean calls in flight that is used

	minRetryAfter  = 50_000
	minValue       = 0.05       // least weight, and the weight or allowance while unhealthy
	stuckAfter     = 2_000_000  // full cores that make no progress for so long are stuck
	stuckAfterRuns = 8          // or for so many usual runs, if that is longer
	stuckReads     = 0.5        // and read less than this part of what they usually do
	unhealthyFor   = 3_000_000  // a backend that was stuck is not healthy for so long after
	sparseInterval = 8e6        // callers that come less often than this, in the mean, are sparse
	rateKnownAfter = 1_000_000  // after so long the rate of arrivals is known well enough
	fewCallers     = 16         // a core: any table has capacity for them all, and nothing is closed
	saturatedShare = 0.9        // of what is read is throttled: new connections bring hardly anything
	saturatedReads = 10.0       // recent arrivals, below which that share says nothing
	saturatedFor   = 60_000_000 // and for so long after
	minIdleTimeout = 50_000     // of the connections of sparse callers
)
