// Package loadgen sends a scenario's day over sockets, open loop, to real backends on this machine, with the attempts and
// backoff of the simulation's edge nodes, and records the same figures. What a node does next is decided in retry.go,
// which does no I/O and reads no clock; sender.go and connection.go send.
package loadgen

import (
	"math"
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// Request is the state of one request at its caller.
type Request struct {
	simulation.Arrival
	Number       int
	Due          monotime.Micros
	Attempts     int
	LastBackend  int // backend of the latest attempt; -1: none
	OpenAttempts int // unanswered attempts
	Finished     bool
}

// BackendView is what one node knows of the backends.
type BackendView struct {
	AvoidUntil []monotime.Micros // by backend: it gets no attempt before
	next       int
}

// Choose returns the backend of an attempt: round robin, without those that asked to be left alone, and without that of
// the previous attempt while there are others. A first attempt is sent all the same. -1: no backend.
func (b *BackendView) Choose(now monotime.Micros, req *Request) int {
	n := len(b.AvoidUntil)
	for range n {
		b.next = (b.next + 1) % n
		if b.AvoidUntil[b.next] <= now && (n == 1 || req.Attempts == 0 || b.next != req.LastBackend) {
			return b.next
		}
	}
	if req.Attempts > 0 {
		return -1
	}
	b.next = (b.next + 1) % n
	return b.next
}

// RecordResponse takes in a Retry-After, or that a backend could not be reached: it is avoided for as long. A node that
// ignores advice honours no Retry-After.
func (b *BackendView) RecordResponse(now monotime.Micros, backend int, response Response, ignoresAdvice bool) {
	switch response.Outcome {
	case simulation.Throttled:
		if !ignoresAdvice {
			b.AvoidUntil[backend] = max(b.AvoidUntil[backend], now+response.RetryAfter)
		}
	case simulation.Unreachable, simulation.Reset:
		b.AvoidUntil[backend] = now + unreachableBackoff
	}
}

// unreachableBackoff is how long a backend is avoided that could not be reached.
const unreachableBackoff = simulation.Second / 4

// Response is the outcome of an attempt.
type Response struct {
	Outcome    simulation.Outcome
	RetryAfter monotime.Micros
	DontRetry  bool
}

// Next decides after an attempt without success whether the request is retried, and after which pause. A node that
// ignores advice honours neither "don't retry" nor the growth of the backoff.
func Next(s *simulation.Scenario, now monotime.Micros, req *Request, response Response, ignoresAdvice bool, random *rand.Rand) (backoff monotime.Micros, retry bool) {
	op := &s.Operations[req.Operation]
	ran := response.Outcome != simulation.Throttled && response.Outcome != simulation.Unreachable
	if ran && op.RetrySafety == admission.NonIdempotent || response.DontRetry && !ignoresAdvice || s.Nodes.MaxAttempts > 0 && req.Attempts >= s.Nodes.MaxAttempts {
		return 0, false
	}
	wait := float64(s.Nodes.Backoff)
	if !ignoresAdvice {
		wait *= math.Exp2(float64(min(req.Attempts, 8) - 1))
	}
	backoff = max(1000, monotime.Micros(wait*(0.5+random.Float64())))
	return backoff, now+backoff < req.Due
}

// EarnedValue returns the value billed for a success after that long.
func EarnedValue(op *simulation.Operation, took monotime.Micros) float64 {
	if took > op.Objective {
		return op.Value * op.LateValue
	}
	return op.Value
}
