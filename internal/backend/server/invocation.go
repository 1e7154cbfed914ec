package server

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/backend/frame"
)

// Errors of an invocation that the settings do not allow.
var (
	errInvocationTooLong = errors.New("frame is too long for an invocation")
	errNoDeadline        = errors.New(`field "wait" is missing: the deployment requires a deadline`)
	errNoIdempotencyKey  = errors.New(`field "once" is missing or too long: the operation requires an idempotency key`)
)

// handleInvocation decodes an invocation and starts a goroutine that serves it, or answers it directly. It runs on the
// poller.
func (c *conn) handleInvocation(h frame.Header, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		c.countInvalidFrame("stream_0", nil)
		c.sendFrame(func(to []byte) []byte { return frame.AppendError(to, streamZeroText) })
		return
	}
	inv, body, err := s.decodeInvocation(h, payload)
	if err != nil {
		c.countInvalidFrame("invocation", err)
		c.failStream(h.Stream)
		return
	}
	st := &stream{number: h.Stream, canceled: make(chan struct{})}
	inv.Canceled = st.canceled
	switch result := c.openStream(st); {
	case result == connClosed:
	case result == streamAlreadyOpen:
		c.countInvalidFrame("stream_again", nil)
		c.failStream(h.Stream)
	case result == streamRejected || !s.reserveInFlight():
		c.rejectOverLimit(st, inv)
	default:
		body = append([]byte(nil), body...) // the read buffer is reused
		go s.serveInvocation(c, st, inv, s.settings.Operations[inv.Operation], body)
	}
}

// rejectOverLimit answers an invocation beyond the limit of the connection or of the process. The answer is Throttled,
// as the invocation has not run and another backend may have capacity. If it may have run here, it is Errored, as
// another backend would run it a second time.
func (c *conn) rejectOverLimit(st *stream, inv dispatch.Invocation) {
	code := frame.Throttled
	if c.server.dispatcher.MayHaveRun(inv) {
		code = frame.Errored
	}
	c.sendFrame(func(to []byte) []byte { return frame.AppendAnswer(to, st.number, code, 0, false, nil) })
	c.removeStream(st)
}

// decodeInvocation decodes an invocation and checks it against the settings. The body is a subslice of payload.
func (s *Server) decodeInvocation(h frame.Header, payload []byte) (inv dispatch.Invocation, body []byte, err error) {
	in, err := frame.ReadInvocation(payload, s.bounds.BodySize)
	if h.Payload > len(payload) { // the rest of the frame was skipped: err is only a consequence
		return inv, nil, errInvocationTooLong
	}
	if err != nil {
		return inv, nil, err
	}
	operation, known := s.operations[string(in.Operation)]
	if !known {
		return inv, nil, fmt.Errorf(
			`field "class": unknown operation %.20q, expected one in the settings`, in.Operation)
	}
	tenant, known := s.tenants[string(in.Tenant)]
	if !known && len(s.tenants) > 0 {
		return inv, nil, fmt.Errorf(`field "tenant": unknown tenant %.20q, expected one in the settings`, in.Tenant)
	}
	inv = dispatch.Invocation{
		ID:            string(in.ID),
		Operation:     operation,
		Tenant:        tenant,
		Rank:          in.Priority,
		MemoryKB:      in.MemoryKB,
		Retry:         in.Retry,
		ExpectedWork:  in.ExpectedWork,
		ArrivedAt:     dispatch.FromWallClock(in.ArrivedAt),
		CallerTimeout: in.CallerTimeout,
	}
	if !in.HasCallerTimeout {
		if !s.settings.DeadlineOptional {
			return inv, nil, errNoDeadline
		}
		inv.CallerTimeout = s.settings.Admission.Operations[operation].ClientTimeout
	}
	if s.requiresIdempotencyKey(operation) {
		if len(in.IdempotencyKey) == 0 || len(in.IdempotencyKey) > s.bounds.IdempotencyKeySize {
			return inv, nil, errNoIdempotencyKey
		}
		inv.IdempotencyKey = idempotencyKey(in.IdempotencyKey, in.Body)
	}
	return inv, in.Body, nil
}

// requiresIdempotencyKey reports whether repeats of an operation are detected by an idempotency key.
func (s *Server) requiresIdempotencyKey(operation int) bool {
	return s.settings.Admission.Operations[operation].RetrySafety == admission.IdempotencyKeyed
}

// idempotencyKey returns the key by which attempts of an invocation are matched: the key on the wire with a hash of the
// body. A client may copy the key of another client's invocation. With a different body it is a different invocation,
// which must neither get the other's result nor block it.
func idempotencyKey(key, body []byte) string {
	sum := sha256.Sum256(body)
	return string(key) + string(sum[:])
}

// reserveInFlight counts an invocation as in flight. It returns false if the limit of the process is reached.
func (s *Server) reserveInFlight() bool {
	if s.inFlight.Add(1) > int64(s.bounds.Invocations) {
		s.inFlight.Add(-1)
		s.violations.Warn("invocations", nil)
		return false
	}
	return true
}

// serveInvocation admits, launches and answers one invocation. It returns when the run has ended.
func (s *Server) serveInvocation(c *conn, st *stream, inv dispatch.Invocation, operation string, body []byte) {
	defer s.inFlight.Add(-1)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "carry", "id", inv.ID, "text", r, "stack", string(debug.Stack()))
			c.answerStream(st, frame.Errored, 0, false, nil)
		}
	}()
	select {
	case <-st.canceled: // canceled before admission: it must not count as load or as a first attempt
		return
	default:
	}
	response, request := s.dispatcher.Admit(inv)
	if response.Verdict != dispatch.Admitted {
		s.respond(c, st, response)
		return
	}
	if hook := s.beforeLaunch.Load(); hook != nil {
		(*hook)()
	}
	if s.endedBeforeLaunch(c, st, request) {
		return
	}
	s.awaitRun(c, st, request, s.executor.Launch(inv.ID, operation, body))
}

// endedBeforeLaunch reports whether an admitted invocation was canceled, or answered at its deadline, before its
// launch. It completes such an invocation; the caller must not launch it.
func (s *Server) endedBeforeLaunch(c *conn, st *stream, request *dispatch.Request) bool {
	select {
	case <-st.canceled:
		s.dispatcher.Complete(request, dispatch.Unrunnable, nil)
		return true
	default:
	}
	select {
	case response := <-request.FinalResponse():
		s.respond(c, st, response)
		s.dispatcher.Complete(request, dispatch.NeverRan, nil)
		return true
	default:
		return false
	}
}

// awaitRun waits for the end of a run. If the final response is given earlier, or the caller cancels or disconnects,
// the run continues without a caller.
func (s *Server) awaitRun(c *conn, st *stream, request *dispatch.Request, run *executor.Run) {
	canceled := st.canceled
	for {
		select {
		case outcome := <-run.Done():
			s.completeRun(c, st, request, outcome)
			return
		case response := <-request.FinalResponse():
			s.respond(c, st, response)
		case <-canceled:
			canceled = nil
			s.dispatcher.Abandon(request)
		}
	}
}

// completeRun reports the end of a run to the dispatcher, and answers the caller unless that was done before.
func (s *Server) completeRun(c *conn, st *stream, request *dispatch.Request, outcome executor.Outcome) {
	if outcome.End == dispatch.Unrunnable {
		c.countInvalidFrame("unrunnable", nil)
	}
	switch answerDue := s.dispatcher.Complete(request, outcome.End, outcome.Result); {
	case answerDue && outcome.End == dispatch.RunSucceeded:
		c.answerStream(st, frame.Succeeded, 0, false, outcome.Result)
	case answerDue:
		c.answerStream(st, frame.Errored, 0, false, nil)
	default: // the final response was given earlier, possibly just after the run ended
		select {
		case response := <-request.FinalResponse():
			s.respond(c, st, response)
		default:
		}
	}
}

// respond sends the dispatcher's response to the caller.
func (s *Server) respond(c *conn, st *stream, response dispatch.Response) {
	switch response.Verdict {
	case dispatch.Throttled:
		c.answerStream(st, frame.Throttled, response.RetryAfter, response.DontRetry, nil)
	case dispatch.Errored:
		c.answerStream(st, frame.Errored, 0, false, nil)
	case dispatch.Replayed:
		c.answerStream(st, frame.Succeeded, 0, false, response.Result)
	default: // Abandoned: the caller has canceled or disconnected; Admitted is not a final response
	}
}
