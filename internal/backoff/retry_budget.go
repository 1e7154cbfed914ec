package backoff

// RetryBudget bounds the retries of a client to a share of its first attempts, so that a client of many servers does
// not multiply its calls when many are unavailable. It is not safe for concurrent use.
type RetryBudget struct {
	attempts int // first attempts so far
	retries  int // retries so far
}

const (
	freeRetries      = 20 // retries that are allowed without any attempt
	attemptsPerRetry = 10 // first attempts that allow one more retry
)

// RecordAttempt counts a first attempt.
func (r *RetryBudget) RecordAttempt() { r.attempts++ }

// AllowRetry reports whether the budget allows a retry, and uses it.
func (r *RetryBudget) AllowRetry() bool {
	if r.retries >= freeRetries+r.attempts/attemptsPerRetry {
		return false
	}
	r.retries++
	return true
}
