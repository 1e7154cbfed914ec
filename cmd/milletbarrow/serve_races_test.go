package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// Race tests of the built program: each test forces one unfavourable order of events.

// TestGreetingAfterGraceRunsNoInvocation: an invocation that arrives after the grace period is not run, even if the
// executor's greeting arrives only during the drain.
func TestGreetingAfterGraceRunsNoInvocation(t *testing.T) {
	b := prepareWithShutdownWindow(t, 300*time.Millisecond, 4*time.Second)
	b.executor.With(func(state, _ *string) { *state = "" })
	b.start()
	fakes.Take(t, "a link", b.executor.Subscribes)
	n := fakes.Dial(t, b.address)
	n.Send(fakes.EncodeFrame(20, 1, "\x00"))
	n.Expect()
	since := b.term()
	if f := n.Expect(); f.Type != 30 || time.Since(since) < 250*time.Millisecond {
		t.Fatalf("%v after %v: not the end of the grace", f, time.Since(since))
	}
	b.executor.With(func(state, _ *string) { *state = "hot 1" })
	fakes.Until(t, "the executor's greeting is handled", b.logged("event=executor_up"))
	n.Send(fakes.Invocation(3, 3))
	if f := n.Expect(); f.Type != 11 || f.Code != 2 || len(b.executor.Launches) > 0 {
		t.Errorf("%v, launched %d", f, len(b.executor.Launches))
	}
	n.Close()
	if err := fakes.Take(t, "the exit", b.ended); err != nil {
		t.Error(err)
	}
}

// TestTerminationWhileAddressInUseExitsAtOnce: on SIGTERM while its address is in use, the backend exits at once with
// success, and neither listens nor reports.
func TestTerminationWhileAddressInUseExitsAtOnce(t *testing.T) {
	b := prepare(t)
	taken, err := net.Listen("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	b.start()
	fakes.Until(t, "the backend finds the address in use", b.logged("event=listen_taken"))
	since := b.term()
	if err := fakes.Take(t, "the exit", b.ended); err != nil || time.Since(since) > 2*time.Second {
		t.Errorf("%v after %v", err, time.Since(since))
	}
	if b.logged("event=start")() || len(b.reports) > 0 {
		t.Error("the backend started or sent a report")
	}
}

// TestSuspensionWithinFrameKeepsConnection: the process is suspended for longer than the frame timeout after it has
// read half of a frame. The other half arrives after it resumes, and the frame is answered.
func TestSuspensionWithinFrameKeepsConnection(t *testing.T) {
	b := prepare(t).start().ready()
	n := fakes.Dial(t, b.address)
	complete := fakes.Invocation(1, 1, "wait=20000")
	n.Send(complete[:40])
	other := fakes.Dial(t, b.address)
	other.Send(fakes.EncodeFrame(20, 1, "\x00"))
	other.Expect() // the half frame, sent earlier, has been read
	b.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond) // longer than the frame timeout
	b.cmd.Process.Signal(syscall.SIGCONT)
	time.Sleep(600 * time.Millisecond) // two sweeps of the connections before the rest arrives
	n.Send(complete[40:])
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "r")
	if f := n.Expect(); f.Code != 1 {
		t.Error(f)
	}
}

// TestStopBeforeGraceEndAnswersAll: the stop deadline is before the end of the grace period. A caller sends
// continuously until it is told to send no more, and for 20 ms after that, as frames may cross. Each invocation gets an
// answer, and the connection ends without a reset. If the test process was delayed, so that the caller sent for longer,
// the test runs again.
func TestStopBeforeGraceEndAnswersAll(t *testing.T) {
	const attempts, maxStall = 5, 50 * time.Millisecond
	for range attempts {
		endStalls := watchStalls()
		err := shortStop(t)
		stalled := endStalls()
		if err == nil {
			return
		}
		if stalled <= maxStall {
			t.Fatal(err)
		}
		t.Logf("test process delayed by %v, running again: %v", stalled, err)
	}
	t.Errorf("test process delayed by more than %v in each of %d attempts", maxStall, attempts)
}

// shortStop runs one attempt of TestStopBeforeGraceEndAnswersAll.
func shortStop(t *testing.T) error {
	t.Helper()
	b := prepare(t, `"stop_ms":1500`, `"stop_ms":280`, `"deadline_ms":5000`, `"deadline_ms":300`, `"aim_ms":2000`, `"aim_ms":150`).start().ready()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		for l := range b.executor.Launches {
			b.executor.End(l.ID, "complete", "r")
		}
	}()
	goAway, sent := make(chan struct{}), make(chan int, 1)
	go func() {
		number, last := 0, time.Time{}
		for {
			select {
			case <-goAway:
				goAway, last = nil, time.Now().Add(20*time.Millisecond)
			default:
			}
			if !last.IsZero() && time.Now().After(last) {
				sent <- number
				return
			}
			number++
			_, _ = io.WriteString(c, fakes.Invocation(uint32(number), number, "wait=300")) // the reader counts the answers
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	b.term()
	answers, goAwayReceived, head := 0, goAway, make([]byte, 9)
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err = io.ReadFull(c, head); err != nil {
			break
		}
		rest := make([]byte, binary.BigEndian.Uint32(head)-5)
		if _, err = io.ReadFull(c, rest); err != nil {
			break
		}
		switch head[4] {
		case 11:
			answers++
		case 30:
			close(goAwayReceived)
		}
	}
	n := fakes.Take(t, "the last one sent", sent)
	if err := fakes.Take(t, "the exit", b.ended); err != nil {
		t.Error(err)
	}
	if !errors.Is(err, io.EOF) || answers != n {
		return fmt.Errorf("%d answers of %d, then %w", answers, n, err)
	}
	return nil
}

// TestDeregistrationRepeatsUntilAccepted: the backend repeats its deregistration until the registry accepts it, and
// does not register again.
func TestDeregistrationRepeatsUntilAccepted(t *testing.T) {
	b := prepare(t)
	status := make(chan int, 1)
	status <- http.StatusNoContent
	registry, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		now := <-status
		status <- now
		w.WriteHeader(now)
	})
	// Long enough for three deregistrations, with pauses of up to a second.
	b.config = configFile(t, b.address, b.executor.Address, registry, `"stop_ms":1500`, `"stop_ms":8000`)
	b.start().ready()
	fakes.Take(t, "a report", reports)
	n := fakes.Dial(t, b.address) // an open connection keeps the backend running beyond the grace period
	n.Send(fakes.EncodeFrame(20, 1, "\x00"))
	n.Expect()
	<-status
	status <- http.StatusServiceUnavailable
	b.term()
	off := func() {
		for report := ""; !strings.Contains(report, "off"); {
			report = fakes.Take(t, "off", reports)
		}
	}
	off()
	off()
	<-status
	status <- http.StatusNoContent
	off()
	n.Close()
	_ = fakes.Take(t, "the exit", b.ended) // the exit code is not checked here
	for len(reports) > 0 {
		if report := <-reports; strings.Contains(report, "on") {
			t.Error(fmt.Sprint("registered again: ", report))
		}
	}
}

// TestRepeatDuringDrainGetsResultOfFirstRun: an invocation of a deduplicated operation runs while its caller resets the
// connection, SIGTERM arrives and the executor link breaks. It runs once: a repeat within the grace period gets the
// result, a repeat after it is errored, not throttled, and the process exits with success.
func TestRepeatDuringDrainGetsResultOfFirstRun(t *testing.T) {
	b := prepareWithShutdownWindow(t, 1500*time.Millisecond, 4*time.Second,
		`"at_most_once"`, `"deduplicated","window_ms":5000`, `"run_factor"`, `"key_kb":20,"run_factor"`).start().ready()
	first, second := fakes.Dial(t, b.address), fakes.Dial(t, b.address)
	second.Send(fakes.EncodeFrame(20, 1, "\x00"))
	second.Expect()
	first.Send(fakes.Attempt(1, 1, "x"))
	l := fakes.Take(t, "a launch", b.executor.Launches)
	first.Conn.(*net.TCPConn).SetLinger(0)
	first.Close()
	b.term()
	second.Send(fakes.Attempt(2, 2, "x", "retry=1"))
	if f := second.Expect(); f.Type != 30 {
		t.Fatalf("%v: not the end of the grace", f)
	}
	second.Send(fakes.Attempt(3, 3, "x", "retry=1"))
	if f := second.Expect(); f.Stream != 3 || f.Code != 3 {
		t.Errorf("after the grace: %v", f)
	}
	b.executor.Cut()
	b.executor.End(l.ID, "complete", "the one result")
	if f := second.Expect(); f.Stream != 2 || f.Code != 1 || f.Body != "the one result" {
		t.Errorf("within the grace: %v", f)
	}
	if len(b.executor.Launches) > 0 {
		t.Errorf("launched again: %v", <-b.executor.Launches)
	}
	second.Close()
	if err := fakes.Take(t, "the exit", b.ended); err != nil {
		t.Error(err)
	}
}

// TestPartialFrameAtShutdownIsAnswered: SIGTERM arrives while frames are partially received. If the rest arrives within
// the grace period the invocation runs; if it arrives later it gets one final answer; if it never arrives the shutdown
// does not wait for it. A connection made during the drain is served, and told to send no more when the grace period
// ends.
func TestPartialFrameAtShutdownIsAnswered(t *testing.T) {
	// The frame timeout is two seconds, so the grace period ends within it.
	b := prepareWithShutdownWindow(t, time.Second, 3500*time.Millisecond).start().ready()
	half := func(number int) (n *fakes.EdgeNode, rest string) {
		n = fakes.Dial(t, b.address)
		complete := fakes.Invocation(1, number, "wait=10000")
		n.Send(complete[:40])
		return n, complete[40:]
	}
	in, restIn := half(1)
	after, restAfter := half(2)
	never, _ := half(3)
	check := fakes.Dial(t, b.address)
	check.Send(fakes.EncodeFrame(20, 1, "\x00"))
	check.Expect() // the half frames, sent earlier, have been read
	b.term()
	fakes.Until(t, "the drain begins", b.logged("event=drain"))
	in.Send(restIn)
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "r")
	if f := in.Expect(); f.Type != 11 || f.Code != 1 {
		t.Errorf("the rest within the grace: %v", f)
	}
	late := fakes.Dial(t, b.address)
	late.Send(fakes.Invocation(1, 4))
	l = fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "r")
	if f := late.Expect(); f.Type != 11 || f.Code != 1 {
		t.Errorf("made during the drain: %v", f)
	}
	for _, n := range []*fakes.EdgeNode{in, late, after, never, check} {
		if f := n.Expect(); f.Type != 30 {
			t.Errorf("%v: not the end of the grace", f)
		}
	}
	after.Send(restAfter)
	go func() {
		for l := range b.executor.Launches {
			b.executor.End(l.ID, "complete", "r")
		}
	}()
	if f := after.Expect(); f.Type != 11 || f.Stream != 1 {
		t.Errorf("the rest after the grace: %v", f)
	}
	for _, n := range []*fakes.EdgeNode{in, late, after, check} {
		n.Close()
	}
	if f, err := never.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("the rest never: %v %v", f, err)
	}
	if err := fakes.Take(t, "the exit", b.ended); err != nil {
		t.Error(err)
	}
}

// TestNoticeDuringStallCountsFromStall guards against a shutdown that counts from the end of a stall. The notice arrives
// while the process is suspended; a request that does not end has its answer before the stop all the same.
func TestNoticeDuringStallCountsFromStall(t *testing.T) {
	const stall = 1200 * time.Millisecond
	b := prepareWithShutdownWindow(t, time.Second, 3500*time.Millisecond).start().ready()
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1, "wait=10000"))
	fakes.Take(t, "a launch", b.executor.Launches)
	b.cmd.Process.Signal(syscall.SIGSTOP)
	endStalls := watchStalls()
	since := b.term()
	time.Sleep(stall) // the length of the suspension; there is no condition to wait for
	b.cmd.Process.Signal(syscall.SIGCONT)
	f := n.Expect()
	for f.Type != 11 {
		f = n.Expect()
	}
	took, stalled := time.Since(since), endStalls()
	t.Logf("answered %v after the notice, test process delayed by %v", took, stalled)
	if took > b.stop+stalled {
		t.Errorf("%v: answered %v after the notice, want at most %v", f, took, b.stop)
	}
	n.Close()
	if err := fakes.Take(t, "the exit", b.ended); err != nil {
		t.Error(err)
	}
}

// TestRestartBeforeExecutorThrottlesUntilGreeting: a backend that is killed and restarted before its executor is
// available reports bad health and throttles work until the executor's greeting, and accepts work after it.
func TestRestartBeforeExecutorThrottlesUntilGreeting(t *testing.T) {
	b := prepare(t).start().ready()
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1))
	fakes.Take(t, "a launch", b.executor.Launches)
	for len(b.executor.Subscribes) > 0 {
		<-b.executor.Subscribes
	}
	b.executor.With(func(state, _ *string) { *state = "" })
	b.cmd.Process.Kill()
	_ = fakes.Take(t, "the end", b.ended) // an error, as it was killed
	b.executor.Cut()
	b.start()
	fakes.Take(t, "a link", b.executor.Subscribes)
	fakes.Until(t, "the backend listens", func() bool {
		c, err := net.Dial("tcp", b.address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	n = fakes.Dial(t, b.address)
	n.Send(fakes.EncodeFrame(20, 1, "\x00"), fakes.Invocation(2, 2))
	if health, answer := n.Expect(), n.Expect(); health.Code == 1 || answer.Code != 2 {
		t.Errorf("before the greeting: health %v, answer %v", health, answer)
	}
	b.executor.With(func(state, _ *string) { *state = "chilly 5" })
	b.ready()
	n.Send(fakes.Invocation(3, 3))
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "r")
	if f := n.Expect(); l.ID != "0000000000000003" || f.Stream != 3 || f.Code != 1 {
		t.Errorf("after it: launched %v, answer %v", l, f)
	}
}
