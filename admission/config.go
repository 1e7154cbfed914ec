package admission

import "milletbarrow/monotime"

// RetrySafety specifies whether a second attempt of an operation may have a second effect.
type RetrySafety int

// The kinds of operation by retry safety.
const (
	Idempotent       RetrySafety = iota // safe to repeat
	IdempotencyKeyed                    // safe to repeat while its key is stored; see Remember
	NonIdempotent                       // at most one attempt may run
)

// Preemption specifies whether a run can be stopped, and whether its progress is kept.
type Preemption int

// The kinds of preemption.
const (
	NoPreemption       Preemption = iota // runs cannot be stopped
	PreemptionDiscards                   // Stop ends the run, and its progress is lost
	PreemptionPauses                     // Stop pauses the run, and Start resumes it
)

// AdvertisedValue is how callers interpret the value of Advertise.
type AdvertisedValue int

// The meanings of the advertised value.
const (
	NothingAdvertised AdvertisedValue = iota // callers accept no value
	CallerAllowance                          // limit on requests in flight from each caller to this backend
	TrafficWeight                            // weight in the callers' load balancing, 0 to 1
)

// Operation configures one request class.
type Operation struct {
	// RetrySafety specifies whether another attempt may run.
	RetrySafety RetrySafety
	// Value is the billed value of a successful request, or of each unit of its work if Config.ValuePerWork is set.
	// Only ratios between operations matter. 0 means unknown and counts as 1.
	Value float64
	// Objective is the latency objective: the longest time from arrival to an answer of full value.
	Objective monotime.Micros
	// ObjectiveStretch extends the objective by this multiple of the expected work.
	ObjectiveStretch float64
	// ClientTimeout is the deadline, counted from arrival, of a request without a stated deadline.
	ClientTimeout monotime.Micros
	// RepeatWindow is how long after its arrival a keyed request can be repeated. It applies to IdempotencyKeyed only.
	RepeatWindow monotime.Micros
	// LateValue is the share of the value, 0 to 1, of an answer between the objective and the deadline.
	LateValue float64
	// MakesCalls specifies that runs may call the dependency.
	MakesCalls bool
	// ValueWithoutCall is the share of the value, 0 to 1, of an answer without the call; 0 forbids skipping the call.
	ValueWithoutCall float64
}

// Config configures one backend. The zero value, with Operations set, describes one core without memory, quotas or a
// dependency.
type Config struct {
	// Operations are the request classes; Arrived.Operation is an index into them.
	Operations []Operation

	// QuotaPerSecond is the fleet-wide quota of each tenant in requests per second, by tenant number. 0 means that the
	// tenant has no quota.
	QuotaPerSecond []float64
	// OverQuotaValue is the value of a request beyond its tenant's quota, as a share, 0 to 1, of a request within it.
	OverQuotaValue float64
	// FleetSize is the number of backends that serve this traffic; values below 1 count as 1.
	FleetSize int
	// Callers is the number of callers that connect to this backend; values below 1 count as 1.
	Callers int

	// Cores is the number of cores of this backend; values below 1 count as 1.
	Cores int
	// MemoryKB is the memory available to all requests together, in KB.
	MemoryKB float64
	// RunFactor is the memory of a running request as a multiple of its memory while it waits.
	RunFactor float64
	// IdempotencyKeyKB is the memory of one stored idempotency key, in KB; 0 means that keys are stored elsewhere.
	IdempotencyKeyKB float64
	// CollapseMultiple is the number of concurrent runs per core that a warm backend sustains without collapsing.
	CollapseMultiple float64
	// CollapseAfter is the time over which concurrent runs are averaged for CollapseMultiple. No decision depends on
	// it.
	CollapseAfter monotime.Micros

	// JustStarted specifies that the backend starts cold.
	JustStarted bool
	// WarmUp is how long a cold backend takes, at most, to reach its full speed.
	WarmUp monotime.Micros
	// ColdSpeed is the speed of a cold backend at its start, as a share, 0 to 1, of its full speed.
	ColdSpeed float64

	// Preemption specifies whether runs can be stopped.
	Preemption Preemption
	// AdvertisedValue is the meaning of the value of Advertise; with NothingAdvertised none is sent.
	AdvertisedValue AdvertisedValue
	// AnswerSlack is how long after a deadline an answer is still accepted.
	AnswerSlack monotime.Micros
	// DrainGrace is the time after a drain notice within which arrivals may still run.
	DrainGrace monotime.Micros

	// SharedDependency specifies that one dependency serves every backend of the fleet, so that CallQuota applies.
	SharedDependency bool
	// CallQuota limits the mean number of this backend's calls in flight; it may be below 1.
	CallQuota float64
	// CallQuotaWindow is the time over which that mean is taken.
	CallQuotaWindow monotime.Micros
	// AbandonedCallLinger is the longest time for which an abandoned call stays at the dependency.
	AbandonedCallLinger monotime.Micros

	// MaxRetryAfter is the longest Retry-After that callers obey; 0 means that none is sent.
	MaxRetryAfter monotime.Micros
	// IdleTimeout is how long a connection may be idle before callers close it.
	IdleTimeout monotime.Micros
	// RetriesUnmarked specifies that callers do not mark retries; see unmarked_retry.go.
	RetriesUnmarked bool

	// BatchInterval is the minimum time between two batches of events; 0 means that events are not batched.
	BatchInterval monotime.Micros
	// ValuePerWork specifies that Operation.Value is billed for each unit of work, not for each request.
	ValuePerWork bool
	// ConfirmStarts specifies that Start is only a proposal, one at a time, which Launched confirms.
	ConfirmStarts bool
}
