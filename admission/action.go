package admission

import "milletbarrow/monotime"

// Action is an instruction to the caller of Decide: one of the types of this file.
type Action any

// Start runs a waiting request, or resumes a paused one.
type Start struct {
	ID string
}

// Stop ends or pauses a run, see Config.Preemption. It does not answer the request.
type Stop struct {
	ID string
}

// Throttle answers that a request has been rejected and had no effect.
type Throttle struct {
	ID         string
	RetryAfter monotime.Micros // how long the caller sends nothing to this backend; 0: not specified
	DontRetry  bool            // the caller does not retry on another backend either
}

// Fail answers a request with an error.
type Fail struct {
	ID string
}

// Call makes the dependency call that a run is waiting for.
type Call struct {
	ID      string
	Timeout monotime.Micros
}

// SkipCall resumes a run without its dependency call.
type SkipCall struct {
	ID string
}

// Remember adds a request to the idempotency key table.
type Remember struct {
	ID  string
	For monotime.Micros // from now on
}

// Forget removes a request from the idempotency key table.
type Forget struct {
	ID string
}

// Reuse answers a repeated request with the result of the original, once that has ended.
type Reuse struct {
	ID string
}

// SetHealth sets the result of health checks from now on.
type SetHealth struct {
	Good      bool
	FromStore bool // checks return Good without running a probe
}

// Advertise sends a value to callers; Config.AdvertisedValue defines its meaning.
type Advertise struct {
	Value float64
}

// CloseIdle sets the idle timeout of connections from now on.
type CloseIdle struct {
	After monotime.Micros
}

// Wake requests a Reading at a time.
type Wake struct {
	At    monotime.Micros
	Token int64 // repeated in the Reading
}

// Log writes a line to the operator's log.
type Log struct {
	Text string
}
