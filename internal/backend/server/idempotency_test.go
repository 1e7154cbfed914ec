package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// A repeat that arrives during the run of the original and one that arrives after it are both answered with the result
// of that run. Meanwhile the original's caller resets its connection, and the connection to the executor breaks.
func TestRepeatsAreAnsweredByOneRun(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	first, second := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	first.Send(fakes.Attempt(1, 1, "x"))
	launch := s.nextLaunch(t)
	second.Send(fakes.Attempt(1, 2, "x", "retry=1"))
	fakes.Until(t, "the repeat waits", func() bool { return s.dispatcherInFlight() == 2 })
	resetOnClose(t, first)
	_ = first.Close()
	fakes.Until(t, "the original is abandoned", func() bool {
		counts, _ := s.dispatcher.Counts()
		return counts.Abandoned == 1
	})
	for len(s.fakeExecutor.Subscribes) > 0 {
		<-s.fakeExecutor.Subscribes
	}
	s.fakeExecutor.Cut()
	s.fakeExecutor.End(launch.ID, "complete", "the result of the run") // while the executor is disconnected
	if f := second.Expect(); f.Code != succeeded || f.Body != "the result of the run" {
		t.Errorf("the repeat during the run: %v, want the result of the run", f)
	}
	second.Send(fakes.Attempt(1, 3, "x", "retry=1")) // on the same stream number
	if f := second.Expect(); f.Code != succeeded || f.Body != "the result of the run" {
		t.Errorf("the repeat after the run: %v, want the result of the run", f)
	}
	if len(s.fakeExecutor.Launches) > 0 {
		t.Errorf("launched again: %v", <-s.fakeExecutor.Launches)
	}
	fakes.Until(t, "nothing is in flight", func() bool {
		return s.serverInFlight() == 0 && s.dispatcherInFlight() == 0
	})
}

// If the original is canceled between its admission and its launch, its waiting repeat is throttled with a Retry-After,
// because nothing has run, and the next attempt runs.
func TestRepeatOfCanceledOriginalMayRetry(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	admitted, resume := make(chan struct{}), make(chan struct{})
	holdLaunch := func() {
		admitted <- struct{}{}
		<-resume
	}
	s.beforeLaunch.Store(&holdLaunch)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Attempt(1, 1, "x"))
	fakes.Take(t, "the admission of the original", admitted)
	s.beforeLaunch.Store(nil)
	node.Send(fakes.Attempt(2, 2, "x", "retry=1"))
	fakes.Until(t, "the repeat waits", func() bool { return s.dispatcherInFlight() == 2 })
	node.Send(cancelFrame(1))
	node.Send(healthCheck(3))
	node.Expect() // the cancel has been read
	close(resume)
	if f := node.Expect(); f.Stream != 2 || f.Code != throttled || f.Fields != "after=50" {
		t.Errorf("the repeat: %v, want throttled after 50 ms", f)
	}
	node.Send(fakes.Attempt(4, 4, "x", "retry=1"))
	if launch := s.endNextRun(t, "complete", "r"); launch.ID != "0000000000000004" {
		t.Errorf("launched %v, want the next attempt", launch)
	}
	if f := node.Expect(); f.Stream != 4 || f.Code != succeeded {
		t.Errorf("the next attempt: %v, want succeeded", f)
	}
}

// TestReturningIDRunsOnce guards against a second run of a non-idempotent invocation whose caller closes or resets its
// connection and sends the same ID again on a new one, before or after the end of the run.
func TestReturningIDRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name                 string
		reset, afterEndOfRun bool
	}{
		{"closed, during the run", false, false},
		{"closed, after the run", false, true},
		{"reset, during the run", true, false},
		{"reset, after the run", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := openServer(t, nil)
			first, second := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
			attempt := func(edits ...string) string {
				fields := fakes.EncodeFields(fakes.DefaultFields(1, append(edits, "class=post")...)...)
				return fakes.EncodeFrame(byte(frame.KindInvocation), 1, fields+"body")
			}
			first.Send(attempt())
			launch := s.nextLaunch(t)
			if test.reset {
				resetOnClose(t, first)
			}
			_ = first.Close()
			fakes.Until(t, "the caller's leaving is noticed", func() bool {
				counts, _ := s.dispatcher.Counts()
				return counts.Abandoned == 1
			})
			endRun := func() {
				s.fakeExecutor.End(launch.ID, "complete", "r")
				fakes.Until(t, "the run has ended", func() bool { return s.dispatcherInFlight() == 0 })
				s.fakeExecutor.Forget(launch.ID) // an executor ignores a launch only while the same ID runs
			}
			if test.afterEndOfRun {
				endRun()
			}
			second.Send(attempt("retry=1"))
			if f := second.Expect(); f.Code != errored {
				t.Errorf("the same ID again: %v, want errored", f)
			}
			if n := len(s.fakeExecutor.Launches); n != 0 {
				t.Errorf("launched again: %v", <-s.fakeExecutor.Launches)
			}
			if !test.afterEndOfRun {
				endRun()
			}
		})
	}
}

// An invocation whose idempotency key is missing or too long is errored and does not run. Beyond the limit on streams a
// repeat is errored, as another backend would run it again, and an original is throttled.
func TestIdempotencyKeyIsRequired(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		withIdempotencyKeys(b, settings)
		b.Streams = 1
	})
	node := fakes.Dial(t, s.address)
	sendAttempt := func(label string, stream uint32, key string, edits ...string) {
		node.Send(fakes.Attempt(stream, int(stream), key, edits...))
		tr.Say("%s: %v", label, node.Expect())
	}
	sendAttempt("no key", 1, "")
	sendAttempt("key too long", 3, strings.Repeat("0123456789", 7))
	node.Send(fakes.Attempt(5, 5, "x"))
	launch := s.nextLaunch(t)
	sendAttempt("a repeat beyond the limit", 6, "x", "retry=1")
	sendAttempt("another key beyond the limit", 7, "y")
	s.fakeExecutor.End(launch.ID, "error", "")
	tr.Say("its run fails: %v", node.Expect())
	sendAttempt("its repeat", 8, "x", "retry=1")
	tr.Say("further launches %d", len(s.fakeExecutor.Launches))
}

// A client that copies the idempotency key of another client's invocation, before it arrives or while it runs, does not
// get its result. The copied invocation and its repeat are answered as if there were no copy.
func TestCopiedIdempotencyKeyGetsNoResult(t *testing.T) {
	s := openServer(t, withIdempotencyKeys)
	owner, copier := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	const copyBody = "a different body"
	sendCopy := func(stream uint32, number int) {
		fields := fakes.EncodeFields(fakes.DefaultFields(number, "class=post", "once=x")...)
		copier.Send(fakes.EncodeFrame(byte(frame.KindInvocation), stream, fields+copyBody))
	}
	expectRefusedCopy := func() {
		t.Helper()
		launch := s.nextLaunch(t)
		if launch.Body != copyBody {
			t.Fatalf("launched %v, want the copy", launch)
		}
		s.fakeExecutor.Refuse(launch.ID)
		if f := copier.Expect(); f.Code != errored || f.Body != "" {
			t.Errorf("the copy: %v, want errored", f)
		}
	}
	sendCopy(1, 1)
	firstCopy := s.nextLaunch(t)
	owner.Send(fakes.Attempt(1, 2, "x"))
	own := s.nextLaunch(t)
	s.fakeExecutor.Refuse(firstCopy.ID)
	copier.Expect()
	sendCopy(2, 3)
	expectRefusedCopy()
	s.fakeExecutor.End(own.ID, "complete", "r")
	if f := owner.Expect(); f.Code != succeeded || f.Body != "r" {
		t.Errorf("the owner's invocation: %v, want result r", f)
	}
	sendCopy(3, 4)
	expectRefusedCopy()
	sendCopy(4, 2) // with the owner's ID
	if f := copier.Expect(); f.Stream != 4 || f.Code != errored || f.Body != "" {
		t.Errorf("a copy with the owner's ID: %v, want errored", f)
	}
	owner.Send(fakes.Attempt(2, 5, "x", "retry=1"))
	if f := owner.Expect(); f.Code != succeeded || f.Body != "r" {
		t.Errorf("the owner's repeat: %v, want result r", f)
	}
}

// A repeat that arrived at the end of its original's repeat window is answered with the original's result, even if it
// is read later. One that arrived just after the window is a new original and runs. Both frames contain their time of
// arrival, so the outcome does not depend on the speed of the test.
func TestRepeatWindowCountsFromArrival(t *testing.T) {
	const window = 100 * time.Millisecond
	var slack time.Duration
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		withIdempotencyKeys(b, settings)
		settings.Admission.Operations[1].RepeatWindow = monotime.FromDuration(window)
		slack = settings.Admission.AnswerSlack.Duration()
	})
	node := fakes.Dial(t, s.address)
	at := func(when time.Time) string { return fmt.Sprint("at=", when.UnixMilli()) }
	arrived := time.Now()
	node.Send(fakes.Attempt(1, 1, "x", at(arrived)))
	s.endNextRun(t, "complete", "first")
	node.Expect()
	inside := arrived.Add(window)
	outside := time.Now().Add(window + slack + 2*time.Millisecond)
	fakes.Until(t, "the window is over", func() bool { return time.Now().After(outside) })
	node.Send(fakes.Attempt(2, 2, "x", "retry=1", at(inside)))
	if f := node.Expect(); f.Stream != 2 || f.Code != succeeded || f.Body != "first" {
		t.Errorf("within the window: %v, want result first", f)
	}
	if n := len(s.fakeExecutor.Launches); n != 0 {
		t.Errorf("within the window: %d launches, want none", n)
	}
	node.Send(fakes.Attempt(3, 3, "x", "retry=1", at(outside)))
	if launch := s.endNextRun(t, "complete", "second"); launch.ID != "0000000000000003" {
		t.Errorf("after the window: launched %v, want the third attempt", launch)
	}
	if f := node.Expect(); f.Stream != 3 || f.Code != succeeded || f.Body != "second" {
		t.Errorf("after the window: %v, want result second", f)
	}
}
