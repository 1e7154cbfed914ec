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

// Errors of an invocation whose frame can be decoded.
var (
	errInvocationTooLong = errors.New("too long for an invocation")
	errUnknownOperation  = errors.New("unknown operation")
	errUnknownTenant     = errors.New("unknown tenant")
	errNoDeadline        = errors.New("no word of how long its caller waits")
	errNoIdempotencyKey  = errors.New("no token, and a repeat must be known")
)

// handleInvocation admits the invocation of a frame to a goroutine of its own, or answers it at once. It runs on the poller.
func (c *conn) handleInvocation(h frame.Header, payload []byte) {
	s := c.server
	if h.Stream == 0 {
		c.reject("stream_0", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, "an invocation on stream 0") })
		return
	}
	inv, body, err := s.decodeInvocation(h, payload)
	if err != nil {
		c.reject("invocation", err)
		c.fail(h.Stream)
		return
	}
	st := &stream{number: h.Stream, canceled: make(chan struct{})}
	inv.CallerLeft = st.canceled
	reused, opened, gone := c.openStream(st)
	switch {
	case gone: // nobody can be answered any more
	case reused:
		c.reject("stream_again", nil)
		c.fail(h.Stream)
	case !opened || !s.reserve():
		// Beyond the bound of the connection or of the process: it did not run, and another backend may have capacity. Not for
		// a repeat of an invocation that ran here: the other would run it again.
		code := frame.Throttled
		if s.dispatcher.IsRepeat(inv) {
			code = frame.Errored
		}
		c.send(func(to []byte) []byte { return frame.AppendAnswer(to, h.Stream, code, 0, false, nil) })
		c.closeStream(st)
	default: // the body outlives the buffer that it was read into
		go s.handle(c, st, inv, s.settings.Operations[inv.Operation], append([]byte(nil), body...))
	}
}

// decodeInvocation reads an invocation and checks it against the settings. The body is a slice of payload.
func (s *Server) decodeInvocation(h frame.Header, payload []byte) (inv dispatch.Invocation, body []byte, err error) {
	in, err := frame.ReadInvocation(payload, s.bounds.BodySize)
	op, tenant := s.operations[string(in.Operation)], s.tenants[string(in.Tenant)]
	switch {
	case h.Payload > len(payload):
		err = errInvocationTooLong
	case err != nil:
	case op == 0:
		err = errUnknownOperation
	case tenant == 0 && len(s.tenants) > 0:
		err = errUnknownTenant
	case !in.HasCallerTimeout && !s.settings.DeadlineOptional:
		err = errNoDeadline
	case s.keyed(op-1) && (len(in.IdempotencyKey) == 0 || len(in.IdempotencyKey) > s.bounds.IdempotencyKeySize):
		err = errNoIdempotencyKey
	}
	if err != nil {
		return inv, nil, err
	}
	inv = dispatch.Invocation{
		ID: string(in.ID), Operation: op - 1, Tenant: max(tenant-1, 0), Rank: in.Priority, MemoryKB: in.MemoryKB, Retry: in.Retry,
		ExpectedWork: in.ExpectedWork, ArrivedAt: dispatch.FromWallClock(in.ArrivedAt), CallerTimeout: in.CallerTimeout,
	}
	if !in.HasCallerTimeout {
		inv.CallerTimeout = s.settings.Admission.Operations[op-1].ClientTimeout
	}
	if s.keyed(op - 1) {
		inv.IdempotencyKey = idempotencyKey(in.IdempotencyKey, in.Body)
	}
	return inv, in.Body, nil
}

// keyed reports whether retries of an operation are recognised by an idempotency key.
func (s *Server) keyed(operation int) bool {
	return s.settings.Admission.Operations[operation].RetrySafety == admission.IdempotencyKeyed
}

// idempotencyKey identifies the attempts of one invocation: by the key that they carry and their body. A bad client may copy the
// key of another's invocation. With another body it is another invocation, which must neither get the other's result nor block
// it; the executor refuses it.
func idempotencyKey(key, body []byte) string {
	sum := sha256.Sum256(body)
	return string(key) + string(sum[:])
}

// reserve counts an invocation as in flight, if there is capacity for it.
func (s *Server) reserve() bool {
	if s.inFlight.Add(1) > int64(s.bounds.Invocations) {
		s.inFlight.Add(-1)
		s.violations.Warn("invocations", nil)
		return false
	}
	return true
}

// handle takes one invocation from its admission to its answer, and its run to its end.
func (s *Server) handle(c *conn, st *stream, inv dispatch.Invocation, operation string, body []byte) {
	defer s.inFlight.Add(-1)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "carry", "id", inv.ID, "text", r, "stack", string(debug.Stack()))
			c.answer(st, frame.Errored, 0, false, nil)
		}
	}()
	select {
	case <-st.canceled: // canceled as soon as it came; hundreds of these must not count as load or as first attempts
		return
	default:
	}
	response, ticket := s.dispatcher.Admit(inv)
	if response.Verdict != dispatch.Admitted {
		s.respond(c, st, response)
		return
	}
	if hook := s.beforeLaunch.Load(); hook != nil {
		(*hook)()
	}
	if s.endedBeforeLaunch(c, st, ticket) {
		return
	}
	s.awaitRun(c, st, ticket, s.executor.Launch(inv.ID, operation, body))
}

// endedBeforeLaunch reports whether an admitted invocation was canceled, or answered at its deadline, before its launch; it
// is then complete, and is not launched.
func (s *Server) endedBeforeLaunch(c *conn, st *stream, ticket *dispatch.Request) bool {
	select {
	case <-st.canceled:
		s.dispatcher.Complete(ticket, dispatch.Unrunnable, nil)
		return true
	default:
	}
	select {
	case response := <-ticket.FinalResponse():
		s.respond(c, st, response)
		s.dispatcher.Complete(ticket, dispatch.NeverRan, nil)
		return true
	default:
		return false
	}
}

// awaitRun waits until the run has ended. The final response may come earlier, and the caller may leave: the run goes on then
// without a caller.
func (s *Server) awaitRun(c *conn, st *stream, ticket *dispatch.Request, run *executor.Run) {
	canceled := st.canceled
	for {
		select {
		case outcome := <-run.Done():
			s.completeRun(c, st, ticket, outcome)
			return
		case response := <-ticket.FinalResponse():
			s.respond(c, st, response)
		case <-canceled:
			canceled = nil
			s.dispatcher.Abandon(ticket)
		}
	}
}

// completeRun reports the end of a run to the dispatcher, and answers the caller if no answer was given before.
func (s *Server) completeRun(c *conn, st *stream, ticket *dispatch.Request, outcome executor.Outcome) {
	if outcome.End == dispatch.Unrunnable {
		c.reject("unrunnable", nil)
	}
	switch owed := s.dispatcher.Complete(ticket, outcome.End, outcome.Result); {
	case owed && outcome.End == dispatch.RunSucceeded:
		c.answer(st, frame.Succeeded, 0, false, outcome.Result)
	case owed:
		c.answer(st, frame.Errored, 0, false, nil)
	default: // the final response was given before, perhaps just now
		select {
		case response := <-ticket.FinalResponse():
			s.respond(c, st, response)
		default:
		}
	}
}

// respond passes the dispatcher's response on to the caller.
func (s *Server) respond(c *conn, st *stream, response dispatch.Response) {
	switch response.Verdict {
	case dispatch.Throttled:
		c.answer(st, frame.Throttled, response.RetryAfter, response.DontRetry, nil)
	case dispatch.Errored:
		c.answer(st, frame.Errored, 0, false, nil)
	case dispatch.Replayed:
		c.answer(st, frame.Succeeded, 0, false, response.Result)
	}
}
