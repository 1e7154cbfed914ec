package loadgen

import (
	"fmt"
	"strconv"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// Bounds of the fields of an invocation, as the protocol accepts them.
const (
	minCallerTimeout = monotime.Millisecond
	minMemoryKB      = 0.1
	maxMemoryKB      = 1999
	maxPriority      = 0.9999
)

const decimal = 10 // base of the numbers in a request body

// sendAttempt sends one attempt. The caller holds s.mu.
func (s *sender) sendAttempt(req *Request) {
	now := s.now()
	backend := s.views[req.Node].Choose(now, req)
	if backend == noBackend {
		s.retryOrEnd(req, Response{Outcome: simulation.Unreachable})
		return
	}
	isRetry := req.Attempts > 0
	req.Attempts++
	req.LastBackend = backend
	s.report.Attempts++
	s.attempts++
	s.connection(req.Node, backend).send(req, s.invocation(req, now, isRetry))
}

// invocation returns the frame of the latest attempt of a request. The caller holds s.mu.
func (s *sender) invocation(req *Request, now monotime.Micros, isRetry bool) *frame.OutgoingInvocation {
	op := &s.scenario.Operations[req.Operation]
	invocation := &frame.OutgoingInvocation{
		Operation:     op.Name,
		ID:            fmt.Sprintf("%016x", s.idBase+s.attempts),
		ArrivedAt:     time.Now().UnixMilli(),
		CallerTimeout: max(minCallerTimeout, req.Due-now),
		Retry:         isRetry,
		ExpectedWork:  req.Hint,
		MemoryKB:      max(minMemoryKB, min(s.scenario.Hosts.RequestKB, maxMemoryKB)),
		Priority:      min(op.Priority, maxPriority),
		Body:          strconv.AppendInt([]byte("work="), int64(req.Work), decimal),
	}
	if len(s.scenario.Tenants) > 0 {
		invocation.Tenant = s.scenario.Tenants[req.Tenant].Name
	}
	return invocation
}

// connection returns the connection of a node to a backend that takes new attempts, and opens one if there is none. The
// caller holds s.mu.
func (s *sender) connection(node, backend int) *connection {
	key := connectionKey{node: node, backend: backend}
	if c := s.connections[key]; c != nil {
		return c
	}
	c := &connection{sender: s, key: key, unanswered: map[uint32]*sentAttempt{}}
	s.connections[key] = c
	go c.dial(s.options.Backends[backend])
	return c
}

// handleResponse records the outcome of an attempt of a node at a backend. The caller holds s.mu.
func (s *sender) handleResponse(req *Request, from connectionKey, response Response) {
	if req.Finished {
		return
	}
	now := s.now()
	if response.Outcome == simulation.Succeeded {
		latency := now - req.At
		value := EarnedValue(&s.scenario.Operations[req.Operation], latency)
		s.finishRequest(req, now, simulation.Succeeded, latency, value)
		return
	}
	s.views[from.node].RecordResponse(now, from.backend, response, s.ignoresAdvice[from.node])
	s.retryOrEnd(req, response)
}

// retryOrEnd retries or ends a request after a failed attempt. The caller holds s.mu.
func (s *sender) retryOrEnd(req *Request, response Response) {
	backoff, retry := Next(s.scenario, s.now(), req, response, s.ignoresAdvice[req.Node], s.rand)
	if !retry {
		s.endRequest(req, response.Outcome)
		return
	}
	s.after(backoff, req, func() { s.sendAttempt(req) })
}

// endRequest ends a request without success. The caller holds s.mu.
func (s *sender) endRequest(req *Request, outcome simulation.Outcome) {
	now := s.now()
	s.finishRequest(req, now, outcome, now-req.At, 0)
}

// finishRequest records the outcome of a request. The caller holds s.mu.
func (s *sender) finishRequest(
	req *Request, now monotime.Micros, outcome simulation.Outcome, latency monotime.Micros, value float64,
) {
	req.Finished = true
	s.report.RecordOutcome(s.scenario, now, req.Operation, req.Tenant, outcome, latency, value)
	s.inFlight--
	s.closeIfDone()
}
