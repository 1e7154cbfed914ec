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
	Number int
	Due    Micros
	Tries  int
	Last   int // the backend of the latest try
	Open   int // attempts without an answer
	Over   bool
}

// Backends are what one node knows of the backends it may try.
type Backends struct {
	Avoid []Micros // not before
	turn  int
}

// Choose is the backend of a try: in turn, none that asked to be left alone, and not the one of the try before while there are
// others. A first try goes to somebody all the same. -1: nobody.
func (b *Backends) Choose(now Micros, a *Request) int {
	n := len(b.Avoid)
	for range n {
		b.turn = (b.turn + 1) % n
		if b.Avoid[b.turn] <= now && (n == 1 || a.Tries == 0 || b.turn != a.Last) {
			return b.turn
		}
	}
	if a.Tries > 0 {
		return -1
	}
	b.turn = (b.turn + 1) % n
	return b.turn
}

// Heed takes in what a backend said, or that it could not be reached: it is left alone for as long. A deaf node heeds no advice.
func (b *Backends) Heed(now Micros, backend int, h Response, deaf bool) {
	switch h.Outcome {
	case simulation.Throttled:
		if !deaf {
			b.Avoid[backend] = max(b.Avoid[backend], now+h.RetryIn)
		}
	case simulation.Unreachable, simulation.Reset:
		b.Avoid[backend] = now + gone
	}
}

// gone is how long a backend that could not be reached is left alone.
const gone = simulation.Second / 4

// Response is what came of a try.
type Response struct {
	Outcome simulation.Outcome
	RetryIn Micros
	Dont    bool
}

// Next is what follows a try that was no success: the pause before another, or the end of the ask. deaf: the node heeds nothing.
func Next(s *simulation.Scenario, now Micros, a *Request, h Response, deaf bool, chance *rand.Rand) (pause Micros, again bool) {
	op := &s.Operations[a.Operation]
	ran := h.Outcome != simulation.Throttled && h.Outcome != simulation.Unreachable
	if ran && op.RetrySafety == admission.NonIdempotent || h.Dont && !deaf || s.Nodes.MaxAttempts > 0 && a.Tries >= s.Nodes.MaxAttempts {
		return 0, false
	}
	wait := float64(s.Nodes.Backoff)
	if !deaf {
		wait *= math.Exp2(float64(min(a.Tries, 8) - 1))
	}
	pause = max(1000, Micros(wait*(0.5+chance.Float64())))
	return pause, now+pause < a.Due
}

// EarnedValue is what an answer that took so long is billed.
func EarnedValue(op *simulation.Operation, took Micros) float64 {
	if took > op.Objective {
		return op.Value * op.LateValue
	}
	return op.Value
}
