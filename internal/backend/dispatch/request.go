package dispatch

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/monotime"
)

// Invocation is a request as the server has read it.
type Invocation struct {
	ID                string          // unique for each attempt
	Operation, Tenant int             // indices into the settings
	Rank              float64         // of the caller's users, 0 to below 1
	MemoryKB          float64         // that the request holds, in KB
	Retry             bool            // marked as a retry by its caller
	ExpectedWork      monotime.Micros // of CPU; 0 if unknown
	ArrivedAt         monotime.Micros // when it reached the machine
	CallerTimeout     monotime.Micros // for so long from then the caller waits
	CallerLeft        <-chan struct{} // closed once the caller is known to have left
	IdempotencyKey    string          // by which repeats of a keyed operation are recognised
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts. All but Admitted are final.
const (
	Admitted  Verdict = iota // the request is to run
	Throttled                // rejected; RetryAfter and DontRetry advise the caller
	Errored                  // failed
	Abandoned                // the caller has left; no answer is owed
	Replayed                 // answered with the result of an earlier run with the same idempotency key
)

// Response is a verdict with what the caller is to be answered.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // the caller stays away from this backend for so long
	DontRetry  bool            // the caller tries no other backend either
	Result     []byte          // of the earlier run, if the verdict is Replayed
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	RunSucceeded Outcome = iota
	RunErrored
	RunCancelled
	NeverRan   // the executor has not started it
	Unrunnable // the executor does not know the operation: no caller can have meant it
)

// moduleOutcomes has the outcomes as the decision module names them.
var moduleOutcomes = [...]admission.Outcome{
	RunSucceeded: admission.OK, RunErrored: admission.Errored, RunCancelled: admission.Canceled, NeverRan: admission.NeverRan,
	Unrunnable: admission.Unrunnable,
}

// maxResponses is how many responses a request gets at most: Admitted and a final one.
const maxResponses = 2

// noBudget is the index of no budget: no quota unit was acquired.
const noBudget = -1

// Request is a request in flight.
type Request struct {
	id          string
	deadline    monotime.Micros // the caller waits no longer
	objectiveAt monotime.Micros // a later answer misses the latency objective
	responses   chan Response
	shedAdvice  monotime.Micros // above 0 if a degradation level sheds it
	drawnBudget int             // the budget that a unit was acquired from, or noBudget
	key         idempotency.Key // zero unless the operation is keyed
	original    string          // the id of the request that it repeats, if any
	running     bool
	answered    bool // the final response is out, or none is owed
}

// FinalResponse delivers the final response, if there is one before the run ends.
func (r *Request) FinalResponse() <-chan Response { return r.responses }
