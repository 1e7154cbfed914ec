package backoff

// RetryBudget limits the retries of a client to a share of its first attempts, so that a client of many servers does
// not amplify its load when many of them are unavailable. It is not safe for concurrent use.
type RetryBudget struct {
	attempts int // first attempts so far
	retries  int // retries so far
}

const (
	freeRetries      = 20 // retries that are allowed before any attempt
	attemptsPerRetry = 10 // number of first attempts that allow one more retry
)

// RecordAttempt counts a first attempt.
func (r *RetryBudget) RecordAttempt() { r.attempts++ }

// AllowRetry reports whether the budget allows a retry, and if so counts it.
func (r *RetryBudget) AllowRetry() bool {
	if r.retries >= freeRetries+r.attempts/attemptsPerRetry {
		return false
	}
	r.retries++
	return true
}
