package backoff

// RetryBudget bounds retries: a tenth of the first attempts on top of a few, so that a client of many servers does not
// multiply its calls when many are away. It is not for use by several goroutines at once.
type RetryBudget struct {
	attempts, retries int
}

const (
	freeRetries      = 20 // retries that are allowed whatever was attempted
	attemptsPerRetry = 10 // first attempts that allow one more
)

// RecordAttempt counts a first attempt.
func (r *RetryBudget) RecordAttempt() { r.attempts++ }

// AllowRetry uses one retry up, if the budget allows one.
func (r *RetryBudget) AllowRetry() bool {
	if r.retries >= freeRetries+r.attempts/attemptsPerRetry {
		return false
	}
	r.retries++
	return true
}
