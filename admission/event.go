package admission

import "milletbarrow/monotime"

// Event is an input of Decide: one of the types of this file.
type Event any

// Opened is the first event of a backend.
type Opened struct{}

// Arrived reports that a request has been read. From then on it is in flight and must get exactly one final answer.
type Arrived struct {
	ID           string          // of this attempt; unique
	Operation    int             // index into Config.Operations
	Tenant       int             // index into Config.QuotaPerSecond; past its end: no tenant
	Priority     float64         // 0 (lowest) to 1
	Retry        bool            // marked by the caller as a retry or a hedged request
	ExpectedWork monotime.Micros // on a standard core; 0: unknown
	QueueTime    monotime.Micros // from reaching the host until it was read
	TimeLeft     monotime.Micros // until the caller's deadline; 0: unknown, see Operation.ClientTimeout
	MemoryKB     float64         // while it waits
	RepeatOf     string          // ID of the stored request with the same idempotency key; "": none
	ShedFor      monotime.Micros // longest time for which graceful degradation sheds it; 0: not shed
	Quota        QuotaStanding   // relation to the tenant's lease of a fleet-wide quota
}

// QuotaStanding specifies whether a request is within its tenant's quota at this backend.
type QuotaStanding int8

// The quota standings.
const (
	QuotaUnknown QuotaStanding = iota // there is no lease: estimated from Config.QuotaPerSecond and FleetSize
	WithinQuota
	OverQuota
)

// Launched confirms the start of a waiting request; see Config.ConfirmStarts.
type Launched struct {
	ID string
}

// Outcome is the result of a run or of a call to the dependency.
type Outcome int

// The outcomes. After QueueFull, Unreachable, NeverRan and Unrunnable it is certain that nothing ran.
const (
	OK          Outcome = iota
	Errored             // the run or call ended with an error
	QueueFull           // the dependency refused the call
	TimedOut            // the call timed out and may still be at the dependency
	Unreachable         // no connection to the dependency
	Reset               // the connection broke during the call
	Canceled            // the run was stopped, or its caller no longer waited
	NeverRan            // the executor did not start it
	Unrunnable          // unknown to the executor: not sent by a caller
)

// Finished reports that a run, or the answer to a Reuse, has ended.
type Finished struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros // since the Start or Reuse
}

// CallerGone reports that the caller no longer waits for an answer: none is needed.
type CallerGone struct {
	ID string
}

// NeedsCall reports that a run is waiting for a call to the dependency.
type NeedsCall struct {
	ID string
}

// CallReturned reports the end of a call to the dependency.
type CallReturned struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros // since the Call
}

// DrainNotice starts the graceful shutdown.
type DrainNotice struct {
	Left monotime.Micros // until the process is stopped
}

// Reading reports that the time of a Wake has come, with the current gauges. A gauge that is not available is -1.
type Reading struct {
	Token       int64   // of the Wake
	CoreUse     float64 // share of the cores in use, 0 to 1
	OnCores     float64 // number of tasks that run or wait for a core
	MemoryShare float64 // share of the memory limit in use, 0 to 1
	Connections float64 // open connections
}
