package loadgen

import (
	"fmt"
	"strconv"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/simulation"
)

// sendAttempt sends one attempt. The caller holds s.mu.
func (s *sender) sendAttempt(req *Request) {
	now := s.now()
	b := s.views[req.Node].Choose(now, req)
	if b < 0 {
		s.retryOrEnd(req, Response{Outcome: simulation.Unreachable})
		return
	}
	retry := req.Attempts > 0
	req.Attempts++
	req.LastBackend = b
	s.report.Attempts++
	s.attempts++
	op := &s.scenario.Operations[req.Operation]
	invocation := &frame.OutgoingInvocation{
		Operation: op.Name, ID: fmt.Sprintf("%016x", s.idBase+s.attempts), ArrivedAt: time.Now().UnixMilli(), CallerTimeout: max(1000, req.Due-now), Retry: retry, ExpectedWork: req.Hint,
		MemoryKB: max(0.1, min(s.scenario.Hosts.RequestKB, 1999)), Priority: min(op.Priority, 0.9999), Body: strconv.AppendInt([]byte("work="), int64(req.Work), 10),
	}
	if len(s.scenario.Tenants) > 0 {
		invocation.Tenant = s.scenario.Tenants[req.Tenant].Name
	}
	c := s.connections[connectionKey{req.Node, b}]
	if c == nil {
		c = &connection{sender: s, node: req.Node, backend: b, unanswered: map[uint32]*sentAttempt{}}
		s.connections[connectionKey{req.Node, b}] = c
		go c.dial(s.options.Backends[b])
	}
	c.send(req, invocation)
}

// handleResponse handles the end of an attempt. The caller holds s.mu.
func (s *sender) handleResponse(req *Request, node, backend int, response Response) {
	if req.Finished {
		return
	}
	now := s.now()
	if response.Outcome == simulation.Succeeded {
		took := now - req.At
		req.Finished = true
		s.report.RecordOutcome(s.scenario, now, req.Operation, req.Tenant, simulation.Succeeded, took, EarnedValue(&s.scenario.Operations[req.Operation], took))
		s.inFlight--
		s.closeIfDone()
		return
	}
	s.views[node].RecordResponse(now, backend, response, s.ignoresAdvice[node])
	s.retryOrEnd(req, response)
}

// retryOrEnd retries or ends a request after an attempt without success. The caller holds s.mu.
func (s *sender) retryOrEnd(req *Request, response Response) {
	backoff, retry := Next(s.scenario, s.now(), req, response, s.ignoresAdvice[req.Node], s.rand)
	if !retry {
		s.endRequest(req, response.Outcome)
		return
	}
	time.AfterFunc(time.Duration(backoff)*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !req.Finished {
			s.sendAttempt(req)
		}
	})
}

// endRequest ends a request without success. The caller holds s.mu.
func (s *sender) endRequest(req *Request, out simulation.Outcome) {
	req.Finished = true
	s.report.RecordOutcome(s.scenario, s.now(), req.Operation, req.Tenant, out, s.now()-req.At, 0)
	s.inFlight--
	s.closeIfDone()
}
