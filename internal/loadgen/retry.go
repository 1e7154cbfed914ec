package loadgen

import (
	"math"
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// noBackend is the index that stands for no backend.
const noBackend = -1

// unreachableBackoff is how long a node avoids a backend whose connection failed.
const unreachableBackoff = simulation.Second / 4

// Bounds of the backoff before a retry.
const (
	minBackoff          = monotime.Millisecond
	maxBackoffDoublings = 7
	minJitterFactor     = 0.5 // the factor is uniform between this and 1 more
)

// Request is the state of one request at its edge node.
type Request struct {
	simulation.Arrival
	Due         monotime.Micros // end of the client timeout, on the clock of the load
	Attempts    int             // sent so far
	LastBackend int             // index of the backend of the latest attempt; noBackend before the first
	Finished    bool            // the request has an outcome
}

// BackendView is one node's view of the backends.
type BackendView struct {
	AvoidUntil []monotime.Micros // by index of the backend; zero: not avoided
	next       int               // index of the backend of the latest choice
}

// Choose returns the index of the backend for an attempt, in round robin order. It skips avoided backends and, for a
// retry with more than one backend, the backend of the previous attempt. If all are skipped, a first attempt gets the
// next backend in order, and a retry gets noBackend.
func (b *BackendView) Choose(now monotime.Micros, req *Request) int {
	n := len(b.AvoidUntil)
	for range n {
		b.next = (b.next + 1) % n
		if b.AvoidUntil[b.next] <= now && (n == 1 || req.Attempts == 0 || b.next != req.LastBackend) {
			return b.next
		}
	}
	if req.Attempts > 0 {
		return noBackend
	}
	b.next = (b.next + 1) % n
	return b.next
}

// RecordResponse avoids a backend that throttled for its Retry-After, and one whose connection failed for
// unreachableBackoff. A node that ignores advice honours no Retry-After.
func (b *BackendView) RecordResponse(now monotime.Micros, backend int, response Response, ignoresAdvice bool) {
	switch response.Outcome {
	case simulation.Throttled:
		if !ignoresAdvice {
			b.AvoidUntil[backend] = max(b.AvoidUntil[backend], now+response.RetryAfter)
		}
	case simulation.Unreachable, simulation.Reset:
		b.AvoidUntil[backend] = now + unreachableBackoff
	default: // other outcomes do not indicate an overloaded backend
	}
}

// Response is the outcome of an attempt.
type Response struct {
	Outcome    simulation.Outcome
	RetryAfter monotime.Micros // zero: none
	DontRetry  bool            // the backend advises against a retry
}

// Next decides whether to retry a request after a failed attempt, and returns the backoff. A node that ignores advice
// honours neither "don't retry" nor the exponential growth of the backoff.
func Next(
	scenario *simulation.Scenario,
	now monotime.Micros,
	req *Request,
	response Response,
	ignoresAdvice bool,
	random *rand.Rand,
) (backoff monotime.Micros, retry bool) {
	if !mayRetry(scenario, req, response, ignoresAdvice) {
		return 0, false
	}
	wait := float64(scenario.Nodes.Backoff)
	if !ignoresAdvice {
		wait *= math.Exp2(float64(min(req.Attempts-1, maxBackoffDoublings)))
	}
	backoff = max(minBackoff, monotime.Micros(wait*(minJitterFactor+random.Float64())))
	return backoff, now+backoff < req.Due
}

// mayRetry reports whether the operation, the backend's advice and the limit on attempts allow a retry.
func mayRetry(scenario *simulation.Scenario, req *Request, response Response, ignoresAdvice bool) bool {
	mayHaveRun := response.Outcome != simulation.Throttled && response.Outcome != simulation.Unreachable
	if mayHaveRun && scenario.Operations[req.Operation].RetrySafety == admission.NonIdempotent {
		return false
	}
	if response.DontRetry && !ignoresAdvice {
		return false
	}
	return scenario.Nodes.MaxAttempts <= 0 || req.Attempts < scenario.Nodes.MaxAttempts
}

// EarnedValue returns the value billed for a success with the given latency.
func EarnedValue(op *simulation.Operation, latency monotime.Micros) float64 {
	if latency > op.Objective {
		return op.Value * op.LateValue
	}
	return op.Value
}
