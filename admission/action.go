package admission

import "milletbarrow/monotime"

// Action is what is to be done: one of the types of this file.
type Action any

// Start runs a waiting request, or resumes a paused one.
type Start struct {
	ID string
}

// Stop takes a run off the cores. It is no answer.
type Stop struct {
	ID string
}

// Throttle answers that a request is rejected and has had no effect.
type Throttle struct {
	ID         string
	RetryAfter monotime.Micros // the caller sends nothing to this backend for so long; 0: no advice
	DontRetry  bool            // the caller does not retry at another backend either
}

// Fail answers with an error.
type Fail struct {
	ID string
}

// Call makes the call to the dependency that a run waits for.
type Call struct {
	ID      string
	Timeout monotime.Micros
}

// SkipCall resumes a run without its call.
type SkipCall struct {
	ID string
}

// Remember enters a request into the table of idempotency keys.
type Remember struct {
	ID  string
	For monotime.Micros // from now on
}

// Forget removes a request from the table of idempotency keys.
type Forget struct {
	ID string
}

// Reuse answers a repeat with the result of the request that it repeats, once that has ended.
type Reuse struct {
	ID string
}

// SetHealth sets how health checks are answered from now on.
type SetHealth struct {
	Good      bool
	FromStore bool // checks are answered by Good alone, without work of their own
}

// Advertise sends callers a value; Config.AdvertisedValue is its meaning.
type Advertise struct {
	Value float64
}

// CloseIdle closes, from now on, each connection that has carried nothing for so long.
type CloseIdle struct {
	After monotime.Micros
}

// Wake asks for a Reading.
type Wake struct {
	At    monotime.Micros
	Token int64 // repeated in the Reading
}

// Log adds a line to the operator's report.
type Log struct {
	Text string
}
