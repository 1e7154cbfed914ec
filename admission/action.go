package admission

import "milletbarrow/monotime"

// Action is what is to be done: one of the types below.
type Action any

// Start runs a waiting invocation or resumes a paused one.
type Start struct{ ID string }

// Stop takes running work off the cores.
type Stop struct{ ID string }

// Throttle rejects an invocation that has had no effect.
type Throttle struct {
	ID         string
	RetryAfter monotime.Micros // send nothing to this backend for so long
	DontRetry  bool            // do not retry at another backend either
}

// Fail answers with an error.
type Fail struct{ ID string }

// Call makes the call that a run waits for.
type Call struct {
	ID      string
	Timeout monotime.Micros
}

// SkipCall goes on without the call.
type SkipCall struct{ ID string }

// Remember puts an invocation into the table of idempotency keys.
type Remember struct {
	ID  string
	For monotime.Micros
}

// Forget removes an invocation from that table.
type Forget struct{ ID string }

// Reuse answers a repeat with the result of the invocation that it repeats.
type Reuse struct{ ID string }

// SetHealth answers health checks from now on.
type SetHealth struct{ Good, FromStore bool }

// Advertise sends callers the value of Config.AdvertisedValue.
type Advertise struct{ Value float64 }

// CloseIdle closes, from now on, connections that have carried nothing for so long.
type CloseIdle struct{ After monotime.Micros }

// Wake asks for a Reading at a point in time.
type Wake struct {
	At    monotime.Micros
	Token int64
}

// Log adds a line to the operator's report.
type Log struct{ Text string }
