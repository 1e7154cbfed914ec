package admission

// arrivals counts what has been read.
type arrivals struct {
	recent, retries, throttled decayingSum      // over retryWindow
	usual                      decayingSum      // over learningTime
	timesLeft                  [6]deadlineGroup // the most frequent ones, where retries are not marked
}
