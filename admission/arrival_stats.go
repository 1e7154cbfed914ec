package admission

// arrivalStats counts the requests that have been read.
type arrivalStats struct {
	recent    decayingSum // all, over retryWindow
	retries   decayingSum // marked or recognised as retries, over retryWindow
	throttled decayingSum // rejected, over retryWindow
	usual     decayingSum // all, over learningWindow

	deadlines [deadlineGroups]deadlineGroup // the most frequent deadlines, where retries are not marked
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		recent:    newDecayingSum(retryWindow),
		retries:   newDecayingSum(retryWindow),
		throttled: newDecayingSum(retryWindow),
		usual:     newDecayingSum(learningWindow),
	}
}
