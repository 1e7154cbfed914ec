package admission

import "milletbarrow/monotime"

// Event is what happened: one of the types of this file.
type Event any

// Opened is the first event of a backend.
type Opened struct{}

// Arrived reports that a request has been read. It is in flight from now on, and owed one final answer.
type Arrived struct {
	ID           string          // of this attempt; never used again
	Operation    int             // index into Config.Operations
	Tenant       int             // index into Config.QuotaPerSecond; beyond its end: no tenant
	Priority     float64         // 0 (lowest) to 1
	Retry        bool            // marked by the caller as a retry or a hedged request
	ExpectedWork monotime.Micros // on a standard core; 0: unknown
	QueueTime    monotime.Micros // since it reached the host, before it was read
	TimeLeft     monotime.Micros // until its caller's deadline; 0: unknown, see Operation.ClientTimeout
	MemoryKB     float64         // while it waits
	RepeatOf     string          // ID of the remembered request with the same idempotency key; "": none
	ShedFor      monotime.Micros // graceful degradation sheds it, for at most so long; 0: it is not shed
	Quota        QuotaStanding   // how it relates to its tenant's lease of a fleet-wide quota
}

// QuotaStanding says whether a request is within what its tenant may use of this backend.
type QuotaStanding int8

// The standings.
const (
	QuotaUnknown QuotaStanding = iota // no lease tells: it is estimated from Config.QuotaPerSecond and FleetSize
	WithinQuota
	OverQuota
)

// Launched confirms the start of a waiting request; see Config.ConfirmStarts.
type Launched struct {
	ID string
}

// Outcome is how a run, or a call to the dependency, ended.
type Outcome int

// The outcomes. QueueFull, Unreachable, NeverRan and Unrunnable prove that nothing ran.
const (
	OK          Outcome = iota
	Errored             // it ended with an error
	QueueFull           // the dependency refused the call
	TimedOut            // the call timed out and may still be at the dependency
	Unreachable         // the dependency could not be reached
	Reset               // the connection broke during the call
	Canceled            // the run was stopped, or its caller had left
	NeverRan            // the executor did not start it
	Unrunnable          // the executor knows no such request: it was no caller's work
)

// Finished reports that a run, or the answer of a Reuse, has ended.
type Finished struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros // since the action that began it
}

// CallerGone reports that the caller no longer waits: no answer is owed.
type CallerGone struct {
	ID string
}

// NeedsCall reports that a run waits for a call to the dependency.
type NeedsCall struct {
	ID string
}

// CallReturned reports how a call to the dependency ended.
type CallReturned struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros // since its Call
}

// DrainNotice begins a graceful shutdown.
type DrainNotice struct {
	Left monotime.Micros // until the process is stopped
}

// Reading is the expiry of a Wake, with the gauges of that moment. A gauge that the deployment lacks is -1.
type Reading struct {
	Token       int64   // of the Wake
	CoreUse     float64 // share of the cores in use, 0 to 1
	OnCores     float64 // tasks that run or wait for a core
	MemoryShare float64 // share of the memory limit in use, 0 to 1
	Connections float64 // open connections
}
