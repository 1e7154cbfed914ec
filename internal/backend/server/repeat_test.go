package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// withIdempotencyKeys makes the operation post idempotent by its keys.
func withIdempotencyKeys(_ *limits.Bounds, settings *config.Settings) {
	settings.Admission.IdempotencyKeyKB = 20
	op := &settings.Admission.Operations[1]
	op.RetrySafety, op.RepeatWindow = admission.IdempotencyKeyed, 5_000_000
}

// TestRepeatsOfOneRun: one run brings the answer to a repeat that comes while it runs, though its own caller has reset the
// connection, and to one that comes after it. The connection to the executor breaks between the two.
func TestRepeatsOfOneRun(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	first, second := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	first.Send(fakes.Attempt(1, 1, "x"))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	second.Send(fakes.Attempt(1, 2, "x", "retry=1"))
	fakes.Until(t, "the repeat waits", func() bool { return s.inDispatch() == 2 })
	first.Conn.(*net.TCPConn).SetLinger(0)
	first.Close()
	fakes.Until(t, "its caller has left", func() bool { c, _ := s.dispatcher.Counts(); return c.Abandoned == 1 })
	for len(s.fakeExecutor.Subscribes) > 0 {
		<-s.fakeExecutor.Subscribes
	}
	s.fakeExecutor.Cut()
	s.fakeExecutor.End(l.ID, "complete", "the one result") // while there is no connection
	if f := second.Expect(); f.Code != 1 || f.Body != "the one result" {
		t.Errorf("the repeat beside it: %v", f)
	}
	second.Send(fakes.Attempt(1, 3, "x", "retry=1")) // the stream number too comes again
	if f := second.Expect(); f.Code != 1 || f.Body != "the one result" {
		t.Errorf("the repeat after it: %v", f)
	}
	if len(s.fakeExecutor.Launches) > 0 {
		t.Errorf("launched again: %v", <-s.fakeExecutor.Launches)
	}
	fakes.Until(t, "nothing is in flight", func() bool { _, inFlight := s.Counts(); return inFlight == 0 && s.inDispatch() == 0 })
}

// TestRepeatBeforeItsFirstIsLaunched: the first attempt is canceled between its admission and its launch, with a repeat waiting
// for it. Nothing ran, so the repeat gets a Retry-After, and the retry runs.
func TestRepeatBeforeItsFirstIsLaunched(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	stopped, resume := make(chan struct{}), make(chan struct{})
	hook := func() { stopped <- struct{}{}; <-resume }
	s.beforeLaunch.Store(&hook)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Attempt(1, 1, "x"))
	fakes.Take(t, "the first is admitted", stopped)
	s.beforeLaunch.Store(nil)
	n.Send(fakes.Attempt(2, 2, "x", "retry=1"))
	fakes.Until(t, "the repeat waits", func() bool { return s.inDispatch() == 2 })
	n.Send(fakes.EncodeFrame(12, 1, ""))
	n.Send(fakes.EncodeFrame(20, 3, "\x00"))
	n.Expect() // type 12 has been read
	close(resume)
	if f := n.Expect(); f.Stream != 2 || f.Code != 2 || f.Fields != "after=50" {
		t.Errorf("the repeat: %v", f)
	}
	n.Send(fakes.Attempt(4, 4, "x", "retry=1"))
	if l := s.endNextRun(t, "complete", "r"); l.ID != "0000000000000004" {
		t.Errorf("launched %v", l)
	}
	if f := n.Expect(); f.Stream != 4 || f.Code != 1 {
		t.Errorf("the next: %v", f)
	}
}

// TestKeysOnFrames: an invocation without an idempotency key, or with one that is too long, is errored and not run. Where no more
// may be open, a repeat is errored, as another backend would run it again, and a first attempt is throttled.
func TestKeysOnFrames(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		withIdempotencyKeys(b, settings)
		b.Streams = 1
	})
	n := fakes.Dial(t, s.address)
	sendAttempt := func(name string, stream uint32, key string, edits ...string) {
		n.Send(fakes.Attempt(stream, int(stream), key, edits...))
		tr.Say("%s: %v", name, n.Expect())
	}
	sendAttempt("no token", 1, "")
	sendAttempt("a long one", 3, strings.Repeat("0123456789", 7))
	n.Send(fakes.Attempt(5, 5, "x"))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	sendAttempt("a repeat where no more may be open", 6, "x", "retry=1")
	sendAttempt("new work there", 7, "y")
	s.fakeExecutor.End(l.ID, "error", "")
	tr.Say("its run is errored: %v", n.Expect())
	sendAttempt("its repeat", 8, "x", "retry=1")
	tr.Say("launched besides: %d", len(s.fakeExecutor.Launches))
}

// TestCopiedIdempotencyKey: a bad client copies the idempotency key of another's invocation, before it and while it runs. It does
// not get the other's result, the executor refuses it, and the other runs and its repeat is answered as if there were no copy.
func TestCopiedIdempotencyKey(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	n, bad := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	copied := func(stream uint32, number int) {
		fields := fakes.EncodeFields(fakes.DefaultFields(number, "class=post", "once=x")...)
		bad.Send(fakes.EncodeFrame(10, stream, fields+"what it would like"))
	}
	refused := func() {
		l := fakes.Take(t, "the copy's launch", s.fakeExecutor.Launches)
		if l.Body != "what it would like" {
			t.Fatalf("launched %v", l)
		}
		s.fakeExecutor.Refuse(l.ID)
		if f := bad.Expect(); f.Code != 3 || f.Body != "" {
			t.Errorf("the copy: %v", f)
		}
	}
	copied(1, 1)
	l := fakes.Take(t, "the launch of the copy that came first", s.fakeExecutor.Launches)
	n.Send(fakes.Attempt(1, 2, "x"))
	own := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	s.fakeExecutor.Refuse(l.ID)
	bad.Expect()
	copied(2, 3)
	refused()
	s.fakeExecutor.End(own.ID, "complete", "r")
	if f := n.Expect(); f.Code != 1 || f.Body != "r" {
		t.Errorf("the work: %v", f)
	}
	copied(3, 4)
	refused()
	copied(4, 2) // the id too
	if f := bad.Expect(); f.Stream != 4 || f.Code != 3 || f.Body != "" {
		t.Errorf("a copy with the id of the work: %v", f)
	}
	n.Send(fakes.Attempt(2, 5, "x", "retry=1"))
	if f := n.Expect(); f.Code != 1 || f.Body != "r" {
		t.Errorf("its repeat: %v", f)
	}
}

// TestRepeatAtTheWindowsEdge: with a window of 100 ms, a repeat that arrived in the window's last moment is answered with the
// first's result and not run, though it is read after the window; one that arrived just after the entry has expired is a new
// invocation and runs. Both give their time of arrival, so the outcome does not depend on the speed of the test.
func TestRepeatAtTheWindowsEdge(t *testing.T) {
	const window = 100 * time.Millisecond
	var slack time.Duration
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		withIdempotencyKeys(b, settings)
		settings.Admission.Operations[1].RepeatWindow = monotime.FromDuration(window)
		slack = time.Duration(settings.Admission.AnswerSlack) * time.Microsecond
	})
	n := fakes.Dial(t, s.address)
	at := func(when time.Time) string { return fmt.Sprint("at=", when.UnixMilli()) }
	arrived := time.Now()
	n.Send(fakes.Attempt(1, 1, "x", at(arrived)))
	s.endNextRun(t, "complete", "first")
	n.Expect()
	inside, outside := arrived.Add(window), time.Now().Add(window+slack+2*time.Millisecond)
	fakes.Until(t, "the window is over", func() bool { return time.Now().After(outside) })
	n.Send(fakes.Attempt(2, 2, "x", "retry=1", at(inside)))
	if f := n.Expect(); f.Stream != 2 || f.Code != 1 || f.Body != "first" || len(s.fakeExecutor.Launches) != 0 {
		t.Errorf("just inside: %v, %d launched", f, len(s.fakeExecutor.Launches))
	}
	n.Send(fakes.Attempt(3, 3, "x", "retry=1", at(outside)))
	if l := s.endNextRun(t, "complete", "second"); l.ID != "0000000000000003" {
		t.Errorf("just outside: launched %v", l)
	}
	if f := n.Expect(); f.Stream != 3 || f.Code != 1 || f.Body != "second" {
		t.Errorf("just outside: %v", f)
	}
}
