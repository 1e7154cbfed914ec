package admission

// arrivalStats counts the requests read.
type arrivalStats struct {
	recent    decayingSum // all, over arrivalWindow
	retries   decayingSum // marked or recognised as retries, over arrivalWindow
	throttled decayingSum // rejected, over arrivalWindow
	baseline  decayingSum // all, over baselineWindow

	deadlines [deadlineGroups]deadlineGroup // the most frequent deadlines, if retries are not marked
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		recent:    newDecayingSum(arrivalWindow),
		retries:   newDecayingSum(arrivalWindow),
		throttled: newDecayingSum(arrivalWindow),
		baseline:  newDecayingSum(baselineWindow),
	}
}
