// Package admission is the decision module of one backend: admission control, scheduling, load shedding and
// graceful shutdown. Backend.Decide takes an event and appends the actions that follow from it. The package
// knows of no wire, no other instance and no clock of its own, and does no I/O: the same events give the same
// actions.
//
// This file is the interface and holds no decision; the files beside it decide. Beside the threshold for
// arrivals and the four rules (see Backend), five mechanisms stand: work that misses its latency objective is
// given up at once (deadlines.go); waiting work runs by response ratio and value (schedule.go); work beyond a
// tenant's quota loses priority (tenants.go); callers hear how loaded the backend is by Retry-After, by the
// advertised value, health and idle timeout (feedback.go); the slower calls to the dependency are, the fewer
// are in flight (calls.go).
package admission

import "milletbarrow/monotime"

// RetrySafety tells whether a second attempt of an operation may have a second effect.
type RetrySafety int

// The three kinds of operation.
const (
	Idempotent       RetrySafety = iota // safe to repeat
	IdempotencyKeyed                    // safe to repeat as long as its key is remembered; see Remember
	NonIdempotent                       // at most one attempt may run
)

// Preemption says whether a run can be taken off the cores, and what becomes of its progress.
type Preemption int

// How running work can be stopped.
const (
	NoPreemption       Preemption = iota
	PreemptionDiscards            // the run is over
	PreemptionPauses              // Start resumes it
)

// AdvertisedValue is the meaning that callers give to the value of Advertise.
type AdvertisedValue int

// The meanings that a deployment can give to the advertised value.
const (
	NothingAdvertised AdvertisedValue = iota
	CallerAllowance                   // requests in flight that each caller may have here
	TrafficWeight                     // weight in the callers' load balancing, up to 1
)

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

// Operation is the configuration of one kind of invocation.
type Operation struct {
	RetrySafety      RetrySafety
	Value            float64         // billed value, for each unit of work if Config.ValuePerWork; 0: unknown
	Objective        monotime.Micros // latency objective, from arrival to answer
	ObjectiveStretch float64         // the objective grows by this multiple of the expected work
	ClientTimeout    monotime.Micros
	RepeatWindow     monotime.Micros // how long after its arrival a keyed invocation can be repeated
	LateValue        float64         // share of the billed value left after the objective
	MakesCalls       bool            // its runs may call a dependency
	ValueWithoutCall float64         // share of the billed value left if the call is skipped; 0: it may not be
}

// Config is what a deployment configures for one backend.
type Config struct {
	Operations          []Operation
	QuotaPerSecond      []float64 // invocations by tenant, over the whole fleet; 0: no quota
	OverQuotaValue      float64   // value of an invocation beyond its tenant's quota, as a part of one within it
	FleetSize           int
	Callers             int
	Cores               int
	MemoryKB            float64
	RunFactor           float64 // memory of a running invocation over that of a waiting one
	IdempotencyKeyKB    float64
	JustStarted         bool
	Preemption          Preemption
	AdvertisedValue     AdvertisedValue
	AnswerSlack         monotime.Micros
	DrainGrace          monotime.Micros
	ColdSpeed           float64
	WarmUp              monotime.Micros
	CollapseMultiple    float64
	CollapseAfter       monotime.Micros
	SharedDependency    bool    // one dependency serves every backend of the fleet
	CallQuota           float64 // mean calls in flight that this backend may have
	CallQuotaWindow     monotime.Micros
	AbandonedCallLinger monotime.Micros // an abandoned call may stay at the dependency for so long
	MaxRetryAfter       monotime.Micros // 0: Retry-After is not passed on to callers
	BatchInterval       monotime.Micros // least time between two batches of events
	ValuePerWork        bool            // values are billed for each unit of work, not for each invocation
	ConfirmStarts       bool            // Start is a proposal, one at a time, and Launched confirms it
	RetriesUnmarked     bool            // callers do not mark retries
	IdleTimeout         monotime.Micros // callers close connections that have been idle for so long
}

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
