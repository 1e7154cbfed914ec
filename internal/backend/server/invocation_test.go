package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Health checks are answered, and an invocation is answered with the outcome of its run and the executor's result.
func TestAnswerReflectsRunOutcome(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	withField := fakes.EncodeFrame(byte(frame.KindHealthCheck), 2, fakes.EncodeFields("a=b"))
	node.Send(healthCheck(1), withField)
	tr.Say("health checks: %v, %v", node.Expect(), node.Expect())
	for stream, end := range []string{"complete", "error", "cancelled", "unknown"} {
		node.Send(fakes.Invocation(uint32(stream+1), stream+1))
		tr.Say("%s: %+v", end, s.endNextRun(t, end, ""))
		tr.Say("  %v", node.Expect())
	}
	largest := strings.Repeat("b", s.bounds.BodySize)
	payload := fakes.EncodeFields(fakes.DefaultFields(9)...) + largest
	node.Send(fakes.EncodeFrame(byte(frame.KindInvocation), 9, payload))
	launch := s.endNextRun(t, "complete", strings.Repeat("r", s.bounds.ResultSize))
	tr.Say("largest body unchanged %t, largest result %d", launch.Body == largest, len(node.Expect().Body))
	node.Send(fakes.Invocation(10, 10, "wait=0"), fakes.Invocation(11, 11, "at=1"))
	tr.Say("past their deadlines: %d %d", node.Expect().Code, node.Expect().Code)
	s.awaitIdle(t, 1)
}

// A caller that has canceled or disconnected gets no answer, and its invocation does not run if it was still queued.
func TestCanceledInvocationIsNotAnswered(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1))
	launch := s.nextLaunch(t)
	node.Send(cancelFrame(1), healthCheck(2))
	tr.Say("canceled while it runs: %v", node.Expect())
	s.fakeExecutor.End(launch.ID, "complete", "unused result")
	s.awaitIdle(t, 1)
	node.Send(cancelFrame(1), healthCheck(3))
	tr.Say("canceled once answered: %v", node.Expect())

	s.fakeExecutor.With(func(_, gauges *string) { *gauges = "0.5 9 0.1 1" }) // no idle core
	before := s.fakeExecutor.Samples()
	fakes.Until(t, "two ticks have used the gauges", func() bool { return s.fakeExecutor.Samples() >= before+3 })
	node.Send(fakes.Invocation(4, 4))
	fakes.Until(t, "the invocation is queued", func() bool { return s.dispatcherInFlight() == 1 })
	node.Send(cancelFrame(4))
	s.awaitIdle(t, 1)
	node.Send(fakes.Invocation(5, 5), fakes.Invocation(6, 6)[:40])
	fakes.Until(t, "the invocation is queued", func() bool { return s.dispatcherInFlight() == 1 })
	_ = node.Close()
	s.awaitIdle(t, 0)
	tr.Say("launches of queued invocations: %d", len(s.fakeExecutor.Launches))
}

// Invocations beyond the limit of a connection, or of the process, are throttled.
func TestInvocationsBeyondBoundsAreThrottled(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		b.Invocations = 40
		settings.Admission.Cores = 64
	})
	first, second := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	for n := range 33 {
		first.Send(fakes.Invocation(uint32(n+1), n+1))
	}
	tr.Say("the 33rd of a connection: %v", first.Expect())
	for n := range 9 {
		second.Send(fakes.Invocation(uint32(n+1), 100+n))
	}
	tr.Say("the 41st of the process: %v", second.Expect())
	_ = first.Close()
	_ = second.Close()
	s.awaitIdle(t, 0)
}

// An invocation without a deadline is errored, unless the settings make deadlines optional. Then the operation's client
// timeout is its deadline, by which it is answered even if its run has not ended.
func TestMissingDeadlineIsErroredUnlessOptional(t *testing.T) {
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1, "wait="))
	if f := node.Expect(); f.Code != errored || len(s.fakeExecutor.Launches) > 0 {
		t.Errorf("a deadline is required: %v, want errored", f)
	}
	s = openServer(t, func(_ *limits.Bounds, settings *config.Settings) {
		settings.DeadlineOptional = true
		settings.Admission.Operations[0].ClientTimeout = 300 * monotime.Millisecond
		settings.Admission.Operations[0].Objective = 200 * monotime.Millisecond
	})
	node = fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1, "wait="))
	s.endNextRun(t, "complete", "r")
	if f := node.Expect(); f.Code != succeeded {
		t.Errorf("a run that ends: %v, want succeeded", f)
	}
	start := time.Now()
	node.Send(fakes.Invocation(2, 2, "wait="))
	s.nextLaunch(t)
	f := node.Expect()
	elapsed := time.Since(start)
	if f.Code != errored || elapsed < 200*time.Millisecond || elapsed > 380*time.Millisecond {
		t.Errorf("a run that does not end: %v after %v, want errored after 200 to 380 ms", f, elapsed)
	}
}

// An invocation that is canceled before its admission is passed neither to the dispatcher nor to the executor.
func TestCanceledBeforeAdmissionIsNotAdmitted(t *testing.T) {
	s := openServer(t, nil)
	st := &stream{number: 1, canceled: make(chan struct{})}
	close(st.canceled)
	for n := range 300 {
		s.reserveInFlight()
		invocation := dispatch.Invocation{
			ID:            fmt.Sprint(n),
			ArrivedAt:     dispatch.Now(),
			CallerTimeout: 4 * monotime.Second,
			MemoryKB:      1,
			Canceled:      st.canceled,
		}
		s.serveInvocation(nil, st, invocation, "look", nil)
	}
	if counts, _ := s.dispatcher.Counts(); counts.Arrived != 0 || len(s.fakeExecutor.Launches) != 0 {
		t.Errorf("%+v, %d launches; want none", counts, len(s.fakeExecutor.Launches))
	}
	s.awaitIdle(t, 0)
}

// An invocation whose deadline passes between its admission and its launch is errored and does not run.
func TestDeadlineBeforeLaunchPreventsRun(t *testing.T) {
	s := openServer(t, nil)
	awaitDeadline := func() {
		fakes.Until(t, "the dispatcher has errored the invocation", func() bool {
			counts, _ := s.dispatcher.Counts()
			return counts.Errored == 1
		})
	}
	s.beforeLaunch.Store(&awaitDeadline)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1, "wait=150"))
	if f := node.Expect(); f.Code != errored {
		t.Errorf("%v, want errored", f)
	}
	fakes.Until(t, "the invocation is complete", func() bool { return s.serverInFlight() == 0 })
	if len(s.fakeExecutor.Launches) > 0 {
		t.Error("the invocation was launched")
	}
	s.awaitIdle(t, 1)
}

// If the connection to the executor breaks within a notice or a result, the caller gets the complete result from the
// next connection. An invocation whose result does not end in CR LF is errored. There is one answer in each case.
func TestExecutorReconnectWithinResultGivesOneAnswer(t *testing.T) {
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	for n, test := range []struct {
		name     string
		act      func(id string) // of the executor
		wantCode byte
		wantBody string
	}{
		{"cut within its notice", func(id string) {
			s.fakeExecutor.Send("outcome 1 " + id + " comp")
			s.fakeExecutor.Cut()
			s.fakeExecutor.End(id, "complete", "the total")
		}, succeeded, "the total"},
		{"cut within its result", func(id string) {
			s.fakeExecutor.Send("outcome 2 " + id + " complete 3 9\r\nthe t")
			s.fakeExecutor.Cut()
			s.fakeExecutor.End(id, "complete", "the total")
		}, succeeded, "the total"},
		{"without CR LF", func(id string) {
			s.fakeExecutor.Notice("outcome %d " + id + " complete 3 9\r\nthe totalXX")
		}, errored, ""},
	} {
		stream := uint32(n + 1)
		node.Send(fakes.Invocation(stream, n+1))
		test.act(s.nextLaunch(t).ID)
		if f := node.Expect(); f.Stream != stream || f.Code != test.wantCode || f.Body != test.wantBody {
			t.Errorf("%s: %v, want code %d, body %q", test.name, f, test.wantCode, test.wantBody)
		}
		fakes.Until(t, "the executor is connected", s.healthy)
	}
	node.Send(healthCheck(9))
	if f := node.Expect(); f.Stream != 9 {
		t.Errorf("before the health check: %v, want nothing", f)
	}
	s.awaitIdle(t, 1)
}
