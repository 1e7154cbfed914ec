package server

import (
	"crypto/sha256"
	"errors"
	"log/slog"
	"runtime/debug"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/backend/frame"
)

// Errors of an invocation that does not fit the settings.
var (
	errInvocationTooLong = errors.New("frame is too long for an invocation")
	errUnknownOperation  = errors.New("unknown operation")
	errUnknownTenant     = errors.New("unknown tenant")
	errNoDeadline        = errors.New(`field "wait" is missing: the deployment requires a deadline`)
	errNoIdempotencyKey  = errors.New(`field "once" is missing or too long: the operation requires an idempotency key`)
)

// handleInvocation starts a goroutine for the invocation of a frame, or answers it at once. It runs on the poller.
func (c *conn) handleInvocation(h frame.Header, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		c.reject("stream_0", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, streamZeroText) })
		return
	}
	inv, body, err := s.decodeInvocation(h, payload)
	if err != nil {
		c.reject("invocation", err)
		c.fail(h.Stream)
		return
	}
	st := &stream{number: h.Stream, canceled: make(chan struct{})}
	inv.Canceled = st.canceled
	switch result := c.openStream(st); {
	case result == connClosed:
	case result == streamReused:
		c.reject("stream_again", nil)
		c.fail(h.Stream)
	case result == streamRefused || !s.reserve():
		c.refuse(st, inv)
	default:
		body = append([]byte(nil), body...) // the buffer is reused
		go s.handle(c, st, inv, s.settings.Operations[inv.Operation], body)
	}
}

// refuse answers an invocation beyond the bound of the connection or of the process. It has not run, and another
// backend may have capacity: it is throttled. A repeat of an invocation that ran here is errored, as another backend
// would run it again.
func (c *conn) refuse(st *stream, inv dispatch.Invocation) {
	code := frame.Throttled
	if c.server.dispatcher.IsRepeat(inv) {
		code = frame.Errored
	}
	c.send(func(to []byte) []byte { return frame.AppendAnswer(to, st.number, code, 0, false, nil) })
	c.closeStream(st)
}

// decodeInvocation decodes an invocation and checks it against the settings. The body is a slice of payload.
func (s *Server) decodeInvocation(h frame.Header, payload []byte) (inv dispatch.Invocation, body []byte, err error) {
	in, err := frame.ReadInvocation(payload, s.bounds.BodySize)
	if h.Payload > len(payload) { // the rest of the frame was skipped: err is of a truncated payload
		return inv, nil, errInvocationTooLong
	}
	if err != nil {
		return inv, nil, err
	}
	operation, known := s.operations[string(in.Operation)]
	if !known {
		return inv, nil, errUnknownOperation
	}
	tenant, known := s.tenants[string(in.Tenant)]
	if !known && len(s.tenants) > 0 {
		return inv, nil, errUnknownTenant
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
	if s.keyed(operation) {
		if len(in.IdempotencyKey) == 0 || len(in.IdempotencyKey) > s.bounds.IdempotencyKeySize {
			return inv, nil, errNoIdempotencyKey
		}
		inv.IdempotencyKey = idempotencyKey(in.IdempotencyKey, in.Body)
	}
	return inv, in.Body, nil
}

// keyed reports whether repeats of an operation are recognised by an idempotency key.
func (s *Server) keyed(operation int) bool {
	return s.settings.Admission.Operations[operation].RetrySafety == admission.IdempotencyKeyed
}

// idempotencyKey returns the key of an invocation's attempts, made of the key that they carry and of their body. A
// client may copy the key of another's invocation. With another body it is another invocation, which must neither get
// the other's result nor block it.
func idempotencyKey(key, body []byte) string {
	sum := sha256.Sum256(body)
	return string(key) + string(sum[:])
}

// reserve counts an invocation as in flight and returns true, if there is capacity for it.
func (s *Server) reserve() bool {
	if s.inFlight.Add(1) > int64(s.bounds.Invocations) {
		s.inFlight.Add(-1)
		s.violations.Warn("invocations", nil)
		return false
	}
	return true
}

// handle takes one invocation through its admission to its answer, and its run to its end.
func (s *Server) handle(c *conn, st *stream, inv dispatch.Invocation, operation string, body []byte) {
	defer s.inFlight.Add(-1)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "carry", "id", inv.ID, "text", r, "stack", string(debug.Stack()))
			c.answer(st, frame.Errored, 0, false, nil)
		}
	}()
	select {
	case <-st.canceled: // an invocation that is canceled at once must not count as load or as a first attempt
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
// launch. It completes such an invocation, which must not be launched.
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

// awaitRun waits until the run has ended. If the final response comes earlier or the caller leaves, the run goes on
// without a caller.
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

// completeRun reports the end of a run to the dispatcher, and answers the caller if it has not been answered.
func (s *Server) completeRun(c *conn, st *stream, request *dispatch.Request, outcome executor.Outcome) {
	if outcome.End == dispatch.Unrunnable {
		c.reject("unrunnable", nil)
	}
	switch owed := s.dispatcher.Complete(request, outcome.End, outcome.Result); {
	case owed && outcome.End == dispatch.RunSucceeded:
		c.answer(st, frame.Succeeded, 0, false, outcome.Result)
	case owed:
		c.answer(st, frame.Errored, 0, false, nil)
	default: // the final response was given before, perhaps since the run ended
		select {
		case response := <-request.FinalResponse():
			s.respond(c, st, response)
		default:
		}
	}
}

// respond answers the caller with the dispatcher's response.
func (s *Server) respond(c *conn, st *stream, response dispatch.Response) {
	switch response.Verdict {
	case dispatch.Throttled:
		c.answer(st, frame.Throttled, response.RetryAfter, response.DontRetry, nil)
	case dispatch.Errored:
		c.answer(st, frame.Errored, 0, false, nil)
	case dispatch.Replayed:
		c.answer(st, frame.Succeeded, 0, false, response.Result)
	default: // Abandoned: the caller has left; Admitted is no final response
	}
}
