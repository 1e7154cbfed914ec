package dispatch

import (
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// A repeat is answered with its original's result if there is one. Otherwise it fails if the original may have taken
// effect, and is throttled with a Retry-After if the original never ran.
func TestRepeatIsAnsweredWithOriginalsResult(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := openKeyed(t, "5000", nil)
	traceVerdict := func(label string, resp Response, req *Request) {
		tr.Say("%s: verdict %d, result %q, admitted %t, in flight %d",
			label, resp.Verdict, resp.Result, req != nil, requestsInFlight(d))
	}
	resp, first := d.Admit(keyedInvocation("a", "x"))
	traceVerdict("the first", resp, first)
	waiting := admitAsync(t, d, keyedInvocation("b", "x"))
	resp, other := d.Admit(keyedInvocation("c", "y"))
	traceVerdict("another key", resp, other)
	d.Complete(other, RunErrored, nil)
	inv := keyedInvocation("d", "x")
	inv.Tenant = 1
	resp, otherTenants := d.Admit(inv)
	traceVerdict("another tenant's with the same key", resp, otherTenants)
	d.Complete(otherTenants, RunSucceeded, []byte("the other tenant's"))
	d.Abandon(first)
	tr.Say("canceled by its caller, its run ends: answer due %t", d.Complete(first, RunSucceeded, []byte("r")))
	traceVerdict("the repeat that waited", fakes.Take(t, "the response of the repeat", waiting), nil)
	resp, none := d.Admit(keyedInvocation("e", "x"))
	traceVerdict("a repeat after the end", resp, none)
	resp, none = d.Admit(keyedInvocation("f", "y"))
	traceVerdict("a repeat of a request that failed", resp, none)
	resp, none = d.Admit(keyedInvocation("d", ""))
	traceVerdict("no key", resp, none)
	old := keyedInvocation("h", "z")
	old.ArrivedAt -= d.maxReadDelay() + monotime.Millisecond
	old.CallerTimeout += d.maxReadDelay() + monotime.Millisecond
	resp, none = d.Admit(old)
	traceVerdict("so old that its original may have been evicted", resp, none)

	_, first = d.Admit(keyedInvocation("i", "v"))
	waiting = admitAsync(t, d, keyedInvocation("j", "v"))
	d.Complete(first, NeverRan, nil)
	traceVerdict("a repeat of a request that never ran", fakes.Take(t, "the response of the repeat", waiting), nil)
	resp, first = d.Admit(keyedInvocation("k", "v"))
	traceVerdict("and the next", resp, first)
	d.Complete(first, RunSucceeded, []byte("v"))

	_, first = d.Admit(keyedInvocation("l", "u"))
	soon := keyedInvocation("m", "u")
	soon.ArrivedAt -= 3_800 * monotime.Millisecond // its deadline is in 200 ms
	waiting = admitAsync(t, d, soon)
	fakes.Until(t, "the repeat is answered at its deadline", func() bool {
		d.Tick([]float64{0.5, 1, 0, 0})
		return len(waiting) > 0
	})
	traceVerdict("a repeat whose deadline is before the end", <-waiting, nil)
	d.Complete(first, RunSucceeded, []byte("u"))
	c, _ := d.Counts()
	tr.Say("started %d, replayed %d, errored %d, cached %d", c.Started, c.Replayed, c.Errored, d.results.Len())
}

// If the caller of a queued request cancels it, a waiting repeat is throttled with a Retry-After, and the next repeat
// runs.
func TestRepeatOfAbandonedQueuedRequestMayRetry(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	tickUntilRead(t, d, fullCores)
	canceled := make(chan struct{})
	inv := keyedInvocation("a", "x")
	inv.Canceled = canceled
	first := admitAsync(t, d, inv)
	waiting := admitAsync(t, d, keyedInvocation("b", "x"))
	if len(first) > 0 || len(waiting) > 0 {
		t.Fatal("the original or its repeat does not wait")
	}
	close(canceled)
	if resp := fakes.Take(t, "the response of the original", first); resp.Verdict != Abandoned {
		t.Errorf("the original: %+v, want verdict Abandoned", resp)
	}
	resp := fakes.Take(t, "the response of the repeat", waiting)
	if resp.Verdict != Throttled || resp.RetryAfter <= 0 {
		t.Errorf("the repeat: %+v, want verdict Throttled with a Retry-After", resp)
	}
	tickUntilRead(t, d, idleGauges)
	if resp, req := d.Admit(keyedInvocation("c", "x")); req == nil {
		t.Errorf("the next repeat: %+v, want verdict Admitted", resp)
	}
}

// A request is a repeat if it arrived within the window of an earlier request with its key, even if it is read later.
// After the window it is an original.
func TestRepeatWindowCountsFromArrival(t *testing.T) {
	d := openKeyed(t, "20", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	const pastWindow = 120 * monotime.Millisecond // the window plus the slack
	completedAt := Now()
	fakes.Until(t, "the window is over", func() bool { return Now() > completedAt+pastWindow })
	d.Tick([]float64{0, 0, 0, 0})
	readLate := keyedInvocation("b", "x")
	readLate.ArrivedAt = completedAt
	if resp, _ := d.Admit(readLate); resp.Verdict != Replayed || string(resp.Result) != "r" {
		t.Errorf("arrived in the window and read after it: %+v, want result r", resp)
	}
	ahead := keyedInvocation("b2", "x") // as after the wall clock was set back
	ahead.ArrivedAt = Now() + 60*monotime.Second
	resp, second := d.Admit(ahead)
	if second == nil {
		t.Fatalf("after the window, arrival after now: %+v, want verdict Admitted", resp)
	}
	d.Complete(second, RunSucceeded, []byte("q"))
	completedAt = Now()
	ahead.ID = "b3"
	if resp, _ := d.Admit(ahead); resp.Verdict != Replayed || string(resp.Result) != "q" {
		t.Errorf("the repeat of an arrival after now: %+v, want result q", resp)
	}
	fakes.Until(t, "the second window is over", func() bool { return Now() > completedAt+pastWindow })
	resp, third := d.Admit(keyedInvocation("c", "x"))
	if third == nil {
		t.Fatalf("after the second window: %+v, want verdict Admitted", resp)
	}
	waiting := admitAsync(t, d, keyedInvocation("d", "x"))
	d.Complete(third, RunSucceeded, []byte("s"))
	resp = fakes.Take(t, "the response of the repeat", waiting)
	if resp.Verdict != Replayed || string(resp.Result) != "s" {
		t.Errorf("the repeat that waited: %+v, want result s", resp)
	}
}

// While the result cache is full, new requests with a key are throttled with a Retry-After, and repeats of cached
// requests are answered.
func TestFullResultCacheRejectsNewWork(t *testing.T) {
	d := openKeyed(t, "5000", func(bounds *limits.Bounds) {
		bounds.IdempotencyCacheSize = 3 << 10
		bounds.ResultSize = 1 << 10
	})
	_, first := d.Admit(keyedInvocation("a", "x"))
	resp, none := d.Admit(keyedInvocation("b", "y"))
	if resp.Verdict != Throttled || resp.RetryAfter <= 0 || none != nil {
		t.Errorf("the cache is full: %+v, want verdict Throttled with a Retry-After", resp)
	}
	if resp, req := d.Admit(newInvocation("c")); req == nil {
		t.Errorf("a request without a key: %+v, want verdict Admitted", resp)
	}
	d.Complete(first, RunSucceeded, []byte("r"))
	if resp, _ := d.Admit(keyedInvocation("d", "x")); resp.Verdict != Replayed {
		t.Errorf("a repeat: %+v, want verdict Replayed", resp)
	}
	c, _ := d.Counts()
	if c.CacheFull != 1 || d.results.Len() != 1 {
		t.Errorf("%+v, %d cached; want CacheFull 1, 1", c, d.results.Len())
	}
	d.Drain(4*monotime.Second, -100*monotime.Millisecond)
	if resp, _ := d.Admit(keyedInvocation("e", "x")); resp.Verdict != Errored {
		t.Errorf("a repeat after the grace period, which another backend would run: %+v, want verdict Errored", resp)
	}
}

// Cached results do not count against the executor's memory, regardless of the size that the settings give for them.
func TestCachedResultsTakeNoExecutorMemory(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	d.settings.Admission.IdempotencyKeyKB = d.settings.Admission.MemoryKB / 3
	d = New(d.settings, 1, d.bounds)
	d.Open(false, 0)
	for n := range 6 {
		resp, req := d.Admit(keyedInvocation(string(rune('a'+n)), string(rune('s'+n))))
		if req == nil {
			t.Fatalf("request %d: %+v, want verdict Admitted", n, resp)
		}
		d.Complete(req, RunSucceeded, nil)
	}
}

// A repeat that is answered before its original ends is removed from the original's waiters.
func TestAnsweredRepeatStopsWaiting(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	d.Admit(keyedInvocation("a", "x"))
	canceled := make(chan struct{})
	inv := keyedInvocation("b", "x")
	inv.Canceled = canceled
	response := admitAsync(t, d, inv)
	close(canceled)
	if resp := fakes.Take(t, "the response of the repeat", response); resp.Verdict != Abandoned {
		t.Fatalf("%+v, want verdict Abandoned", resp)
	}
	if waiters := d.results.Complete("a", true, nil); len(waiters) != 0 {
		t.Errorf("waiters of the original: %v, want none", waiters)
	}
}

// A Reuse action for a request that was answered while its run continues does not mark it as a ready repeat.
func TestAnsweredRequestIsNoRepeat(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, req := d.Admit(keyedInvocation("a", "x"))
	d.Abandon(req)
	if d.perform(admission.Reuse{ID: "a"}); len(d.readyRepeats) != 0 {
		t.Errorf("repeats to be answered: %v, want none", d.readyRepeats)
	}
}

// answerRepeats skips repeats that were answered or are not in flight, and sends the module no event for them.
func TestOnlyOpenRepeatsAreAnswered(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, req := d.Admit(keyedInvocation("a", "x"))
	d.Abandon(req)
	d.actions = []admission.Action{admission.Log{Text: "from the previous decision"}}
	d.readyRepeats = []string{"not in flight", "a"}
	d.answerRepeats()
	if len(d.readyRepeats) != 0 || len(d.actions) != 1 || len(req.responses) != 1 {
		t.Errorf("%v left, %d responses, actions %v", d.readyRepeats, len(req.responses), d.actions)
	}
}
