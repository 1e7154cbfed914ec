package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/monotime"
)

// Invocation is a request as the server has read it.
type Invocation struct {
	ID             string          // unique for each attempt
	Operation      int             // index into the settings' operations
	Tenant         int             // index into the settings' tenants
	Rank           float64         // priority of the caller's user, 0 to below 1
	MemoryKB       float64         // memory that the request needs, in KB
	Retry          bool            // the caller marked it as a retry
	ExpectedWork   monotime.Micros // CPU time on a standard core; 0: unknown
	ArrivedAt      monotime.Micros // when the request reached the host, on the dispatcher's clock
	CallerTimeout  monotime.Micros // how long the caller waits for the answer, from ArrivedAt
	Canceled       <-chan struct{} // closed when the caller cancels the request or its connection is closed
	IdempotencyKey string          // shared by a request and its repeats; "": none
}

// Verdict is the result of admission, or the kind of a final response.
type Verdict int

// The verdicts. All except Admitted are final.
const (
	Admitted  Verdict = iota // the request may run
	Throttled                // rejected; RetryAfter and DontRetry tell the caller whether and when to retry
	Errored                  // failed
	Abandoned                // canceled by the caller; no answer is sent
	Replayed                 // answered with the result of an earlier request with the same idempotency key
)

// Response is a verdict with the content of the answer to the caller.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // how long the caller must send nothing to this backend; 0: not set
	DontRetry  bool            // the caller must not retry on another backend either
	Result     []byte          // result of the earlier run; set if the verdict is Replayed
}

// Outcome is the outcome of a run.
type Outcome int

// The outcomes of a run.
const (
	RunSucceeded Outcome = iota
	RunErrored
	RunCancelled
	NeverRan   // the executor did not start it
	Unrunnable // the executor does not know the operation
)

// moduleOutcomes maps outcomes to the decision module's outcomes.
var moduleOutcomes = [...]admission.Outcome{
	RunSucceeded: admission.OK,
	RunErrored:   admission.Errored,
	RunCancelled: admission.Canceled,
	NeverRan:     admission.NeverRan,
	Unrunnable:   admission.Unrunnable,
}

// maxResponses is the maximum number of responses to a request: Admitted and a final one.
const maxResponses = 2

// noBudget stands for no budget where a budget index is expected.
const noBudget = -1

// Request is a request in flight.
type Request struct {
	id             string
	deadline       monotime.Micros // the caller does not wait beyond this time
	objectiveAt    monotime.Micros // an answer after this time misses the latency objective
	responses      chan Response   // Admitted, if the request is admitted, and the final response
	shedRetryAfter monotime.Micros // minimum Retry-After if a degradation level sheds it; 0: not shed
	unitBudget     int             // index of the budget that its unit was acquired from, or noBudget
	key            idempotency.Key // zero unless the operation uses idempotency keys
	nonIdempotent  bool            // it must not run again once it has run
	original       string          // ID of the request that it repeats; "": not a repeat
	running        bool
	answered       bool // the final response has been sent, or none is needed
}

// FinalResponse returns the channel of the final response. Nothing is sent on it if the run ends first.
func (r *Request) FinalResponse() <-chan Response { return r.responses }
