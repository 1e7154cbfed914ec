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
