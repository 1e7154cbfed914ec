package admission

import "milletbarrow/monotime"

// Event is what happened: one of the types below.
type Event any

// Opened is the first event of an instance.
type Opened struct{}

// Arrived says that an invocation has been read and waits for a decision or a start.
type Arrived struct {
	ID           string
	Operation    int
	Tenant       int
	Priority     float64
	Retry        bool
	ExpectedWork monotime.Micros // on a standard core; 0: unknown
	QueueTime    monotime.Micros // since it reached the host, before it was read
	TimeLeft     monotime.Micros // until its caller's deadline; 0: unknown
	MemoryKB     float64
	RepeatOf     string          // ID of the remembered invocation with the same idempotency key; "": none
	ShedFor      monotime.Micros // graceful degradation sheds it, for at most so long; 0: it does not
	Quota        QuotaStanding   // how it stands to its tenant's lease of a fleet-wide quota
}

// QuotaStanding is how an invocation stands to what its tenant may use of this backend.
type QuotaStanding int8

// QuotaUnknown has the module estimate it from Config.QuotaPerSecond and FleetSize.
const (
	QuotaUnknown QuotaStanding = iota
	WithinQuota
	OverQuota
)

// Launched confirms the start of a waiting invocation; see Config.ConfirmStarts.
type Launched struct{ ID string }

// Outcome is how a run or a call to a dependency ended.
type Outcome int

// Outcomes of runs and calls. QueueFull, Unreachable, NeverRan and Unrunnable prove that nothing ran.
const (
	OK Outcome = iota
	Errored
	QueueFull
	TimedOut
	Unreachable
	Reset
	Canceled
	NeverRan
	Unrunnable // the executor knows no such invocation: it was no caller's work
)

// Finished says that a run, or the answer of a Reuse, has ended.
type Finished struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros
}

// CallerGone says that nobody waits for this invocation any more.
type CallerGone struct{ ID string }

// NeedsCall says that a run waits for a call to a dependency.
type NeedsCall struct{ ID string }

// CallReturned says how a call to a dependency ended.
type CallReturned struct {
	ID      string
	Outcome Outcome
	Took    monotime.Micros
}

// DrainNotice begins a graceful shutdown: the process is stopped after Left.
type DrainNotice struct{ Left monotime.Micros }

// Reading is the timer of Wake with the gauges of that moment; a gauge that the deployment lacks is -1.
type Reading struct {
	Token       int64
	CoreUse     float64 // share of the cores in use, 0 to 1
	OnCores     float64 // tasks that run or wait for a core
	MemoryShare float64 // share of the memory limit in use, 0 to 1
	Connections float64
}
