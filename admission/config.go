package admission

import "milletbarrow/monotime"

// RetrySafety says whether a second attempt of an operation may have a second effect.
type RetrySafety int

// The kinds of operation by retry safety.
const (
	Idempotent       RetrySafety = iota // safe to repeat
	IdempotencyKeyed                    // safe to repeat while its key is remembered; see Remember
	NonIdempotent                       // at most one attempt may run
)

// Preemption says whether a run can be taken off the cores, and what becomes of its progress.
type Preemption int

// The kinds of preemption.
const (
	NoPreemption       Preemption = iota // a run keeps its core until it ends
	PreemptionDiscards                   // Stop ends the run, and its progress is lost
	PreemptionPauses                     // Stop pauses the run, and Start resumes it
)

// AdvertisedValue is the meaning that callers give to the value of Advertise.
type AdvertisedValue int

// The meanings of the advertised value.
const (
	NothingAdvertised AdvertisedValue = iota // callers take no value
	CallerAllowance                          // requests in flight that each caller may have at this backend
	TrafficWeight                            // weight in the callers' load balancing, 0 to 1
)

// Operation configures one request class.
type Operation struct {
	// RetrySafety says whether another attempt may run.
	RetrySafety RetrySafety
	// Value is the billed value of a successful request, or of each unit of its work if Config.ValuePerWork is set.
	// Only ratios between operations count. 0 means unknown: all operations count alike.
	Value float64
	// Objective is the latency objective: the longest time from arrival to an answer of full value.
	Objective monotime.Micros
	// ObjectiveStretch extends the objective by this multiple of the expected work; 0 extends it by nothing.
	ObjectiveStretch float64
	// ClientTimeout is the deadline, counted from arrival, of a request that states none.
	ClientTimeout monotime.Micros
	// RepeatWindow is how long after its arrival a keyed request can be repeated. It counts for IdempotencyKeyed alone.
	RepeatWindow monotime.Micros
	// LateValue is the share of the value, 0 to 1, that is left between the objective and the deadline.
	LateValue float64
	// MakesCalls says that runs may call the dependency.
	MakesCalls bool
	// ValueWithoutCall is the share of the value, 0 to 1, that is left if the call is skipped; 0 forbids skipping it.
	ValueWithoutCall float64
}

// Config configures one backend. Its zero value, with Operations set, decides for one core without memory, quota or
// dependency.
type Config struct {
	// Operations are the request classes; Arrived.Operation is an index into them.
	Operations []Operation

	// QuotaPerSecond is the quota of each tenant over the whole fleet, in requests per second, by tenant number. 0
	// means that the tenant has no quota.
	QuotaPerSecond []float64
	// OverQuotaValue is the value of a request beyond its tenant's quota, as a share, 0 to 1, of one within it.
	OverQuotaValue float64
	// FleetSize is the number of backends that serve this traffic; below 1 it counts as 1.
	FleetSize int
	// Callers is the number of callers that connect to this backend; below 1 it counts as 1.
	Callers int

	// Cores is the number of cores of this backend; below 1 it counts as 1.
	Cores int
	// MemoryKB is the memory that requests may take together, in KB.
	MemoryKB float64
	// RunFactor is the memory of a running request as a multiple of the same request's while it waits.
	RunFactor float64
	// IdempotencyKeyKB is the memory of one remembered idempotency key, in KB; 0 means that keys are kept elsewhere.
	IdempotencyKeyKB float64
	// CollapseMultiple is the number of concurrent runs per core that a warm backend survives.
	CollapseMultiple float64
	// CollapseAfter is the span over which concurrent runs are averaged for CollapseMultiple. No decision depends on
	// it.
	CollapseAfter monotime.Micros

	// JustStarted says that the backend starts cold.
	JustStarted bool
	// WarmUp is how long a cold backend takes, at most, to reach its full speed.
	WarmUp monotime.Micros
	// ColdSpeed is the speed of a cold backend at its start, as a share, 0 to 1, of its full speed.
	ColdSpeed float64

	// Preemption says whether runs can be stopped.
	Preemption Preemption
	// AdvertisedValue is the meaning of Advertise; NothingAdvertised sends none.
	AdvertisedValue AdvertisedValue
	// AnswerSlack is how long after a deadline an answer still counts.
	AnswerSlack monotime.Micros
	// DrainGrace is the time after a drain notice within which arrivals may still run.
	DrainGrace monotime.Micros

	// SharedDependency says that one dependency serves every backend of the fleet, so that CallQuota binds.
	SharedDependency bool
	// CallQuota is the mean number of calls that this backend may have at the dependency; it may be below 1.
	CallQuota float64
	// CallQuotaWindow is the span over which that mean is taken.
	CallQuotaWindow monotime.Micros
	// AbandonedCallLinger is how long an abandoned call stays at the dependency, at most.
	AbandonedCallLinger monotime.Micros

	// MaxRetryAfter is the longest Retry-After that callers obey; 0 means that none is passed on to them.
	MaxRetryAfter monotime.Micros
	// IdleTimeout is how long a connection may be idle before callers close it.
	IdleTimeout monotime.Micros
	// RetriesUnmarked says that callers do not mark retries; see unmarked_retry.go.
	RetriesUnmarked bool

	// BatchInterval is the least time between two batches of events; 0 means that events come one by one.
	BatchInterval monotime.Micros
	// ValuePerWork says that Operation.Value is billed for each unit of work, not for each request.
	ValuePerWork bool
	// ConfirmStarts says that Start is a proposal, one at a time, which Launched confirms.
	ConfirmStarts bool
}
