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
	MemoryKB       float64         // memory that the request occupies, in KB
	Retry          bool            // its caller marked it as a retry
	ExpectedWork   monotime.Micros // CPU time on a standard core; 0: unknown
	ArrivedAt      monotime.Micros // when it reached the host, on the dispatcher's clock
	CallerTimeout  monotime.Micros // how long its caller waits for the answer, from ArrivedAt
	CallerLeft     <-chan struct{} // closed once the caller is known to have left
	IdempotencyKey string          // identifies repeats of a keyed operation; "": none
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts. All but Admitted are final.
const (
	Admitted  Verdict = iota // the request is to run
	Throttled                // rejected; RetryAfter and DontRetry advise the caller
	Errored                  // failed
	Abandoned                // the caller has left; no answer is owed
	Replayed                 // answered with the result of an earlier request with the same idempotency key
)

// Response is a verdict with what the caller is to be answered.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // how long the caller sends nothing to this backend; 0: no advice
	DontRetry  bool            // the caller must not retry on another backend either
	Result     []byte          // result of the earlier run, if the verdict is Replayed
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	RunSucceeded Outcome = iota
	RunErrored
	RunCancelled
	NeverRan   // the executor did not start it
	Unrunnable // the executor does not know the operation
)

// moduleOutcomes maps outcomes to those of the decision module.
var moduleOutcomes = [...]admission.Outcome{
	RunSucceeded: admission.OK,
	RunErrored:   admission.Errored,
	RunCancelled: admission.Canceled,
	NeverRan:     admission.NeverRan,
	Unrunnable:   admission.Unrunnable,
}

// maxResponses bounds the responses to a request: Admitted and a final one.
const maxResponses = 2

// noBudget is the index of a budget where there is none.
const noBudget = -1

// Request is a request in flight.
type Request struct {
	id          string
	deadline    monotime.Micros // the caller waits no longer
	objectiveAt monotime.Micros // a later answer misses the latency objective
	responses   chan Response   // Admitted, if it is, and the final response
	shedAdvice  monotime.Micros // minimum Retry-After of the degradation level that sheds it; 0: not shed
	drawnBudget int             // index of the budget that a unit was acquired from, or noBudget
	key         idempotency.Key // zero unless the operation is keyed
	original    string          // ID of the request that it repeats; "": it is no repeat
	running     bool
	answered    bool // the final response has been given, or none is owed
}

// FinalResponse returns the channel of the final response. It stays empty if the run ends first.
func (r *Request) FinalResponse() <-chan Response { return r.responses }
