// Package loadgen sends a modelled day over sockets: open loop, to real backends on this machine, with the attempts, pauses and
// heeding of the model's edge nodes, and keeps the same books. What a node does next is decided in this file, which
// does no I/O and holds no clock; sender.go has the connections.
package loadgen

import (
	"math"
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/simulation"
)

// Micros is a time of the day that is sent, in whole microseconds.
type Micros = simulation.Micros

// Request is one request as its caller sees it, from its time in the day to its one end.
type Request struct {
	simulation.Arrival
	Number       int
	Due          Micros
	Attempts     int
	LastBackend  int // the backend of the latest try
	OpenAttempts int // attempts without an answer
	Finished     bool
}

// BackendView are what one node knows of the backends it may try.
type BackendView struct {
	AvoidUntil []Micros // not before
	next       int
}

// Choose is the backend of a try: in turn, none that asked to be left alone, and not the one of the try before while there are
// others. A first try goes to somebody all the same. -1: nobody.
func (b *BackendView) Choose(now Micros, req *Request) int {
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

// RecordResponse takes in what a backend said, or that it could not be reached: it is left alone for as long. A deaf node heeds no advice.
func (b *BackendView) RecordResponse(now Micros, backend int, h Response, ignoresAdvice bool) {
	switch h.Outcome {
	case simulation.Throttled:
		if !ignoresAdvice {
			b.AvoidUntil[backend] = max(b.AvoidUntil[backend], now+h.RetryAfter)
		}
	case simulation.Unreachable, simulation.Reset:
		b.AvoidUntil[backend] = now + unreachableBackoff
	}
}

// unreachableBackoff is how long a backend that could not be reached is left alone.
const unreachableBackoff = simulation.Second / 4

// Response is what came of a try.
type Response struct {
	Outcome    simulation.Outcome
	RetryAfter Micros
	DontRetry  bool
}

// Next is what follows a try that was no success: the pause before another, or the end of the ask. deaf: the node heeds nothing.
func Next(s *simulation.Scenario, now Micros, req *Request, h Response, ignoresAdvice bool, chance *rand.Rand) (pause Micros, again bool) {
	op := &s.Operations[req.Operation]
	ran := h.Outcome != simulation.Throttled && h.Outcome != simulation.Unreachable
	if ran && op.RetrySafety == admission.NonIdempotent || h.DontRetry && !ignoresAdvice || s.Nodes.MaxAttempts > 0 && req.Attempts >= s.Nodes.MaxAttempts {
		return 0, false
	}
	wait := float64(s.Nodes.Backoff)
	if !ignoresAdvice {
		wait *= math.Exp2(float64(min(req.Attempts, 8) - 1))
	}
	pause = max(1000, Micros(wait*(0.5+chance.Float64())))
	return pause, now+pause < req.Due
}

// EarnedValue is what an answer that took so long is billed.
func EarnedValue(op *simulation.Operation, took Micros) float64 {
	if took > op.Objective {
		return op.Value * op.LateValue
	}
	return op.Value
}
