package dispatch

import (
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// TestRepeatIsAnsweredWithOriginalsResult walks through what can become of the repeats of one piece of work.
func TestRepeatIsAnsweredWithOriginalsResult(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := openKeyed(t, "5000", nil)
	sayVerdict := func(what string, resp Response, req *Request) {
		tr.Say("%s: verdict %d, result %q, ticket %t, in hand %d", what, resp.Verdict, resp.Result, req != nil, requestsInFlight(d))
	}
	resp, first := d.Admit(keyedInvocation("a", "x"))
	sayVerdict("the first", resp, first)
	waiting := repeat(t, d, keyedInvocation("b", "x"))
	resp, other := d.Admit(keyedInvocation("c", "y"))
	sayVerdict("another piece of work", resp, other)
	d.Complete(other, RunErrored, nil)
	inv := keyedInvocation("d", "x")
	inv.Tenant = 1
	resp, stranger := d.Admit(inv)
	sayVerdict("another tenant's of the same token", resp, stranger)
	d.Complete(stranger, RunSucceeded, []byte("the stranger's"))
	d.Abandon(first)
	tr.Say("its run ends, its caller has left: owed %t", d.Complete(first, RunSucceeded, []byte("r")))
	sayVerdict("the repeat that waited", fakes.Take(t, "its response", waiting), nil)
	resp, none := d.Admit(keyedInvocation("e", "x"))
	sayVerdict("a repeat after the end", resp, none)
	resp, none = d.Admit(keyedInvocation("f", "y"))
	sayVerdict("a repeat of one that was errored", resp, none)
	resp, none = d.Admit(keyedInvocation("d", ""))
	sayVerdict("no token", resp, none)
	old := keyedInvocation("h", "z")
	old.ArrivedAt -= d.maxReadDelay() + 1000
	old.CallerTimeout += d.maxReadDelay() + 1000
	resp, none = d.Admit(old)
	sayVerdict("so old that its first try may be forgotten", resp, none)

	_, first = d.Admit(keyedInvocation("i", "v"))
	waiting = repeat(t, d, keyedInvocation("j", "v"))
	d.Complete(first, NeverRan, nil)
	sayVerdict("a repeat of what never ran", fakes.Take(t, "its response", waiting), nil)
	resp, first = d.Admit(keyedInvocation("k", "v"))
	sayVerdict("and the next", resp, first)
	d.Complete(first, RunSucceeded, []byte("v"))

	_, first = d.Admit(keyedInvocation("l", "u"))
	soon := keyedInvocation("m", "u")
	soon.ArrivedAt -= 3_800_000 // due in 200 ms
	waiting = repeat(t, d, soon)
	fakes.Until(t, "it is due", func() bool { d.Tick([]float64{0.5, 1, 0, 0}); return len(waiting) > 0 })
	sayVerdict("a repeat that is due before the end", <-waiting, nil)
	d.Complete(first, RunSucceeded, []byte("u"))
	c, _ := d.Counts()
	tr.Say("run %d, repeated %d, errored %d, kept %d", c.Started, c.Replayed, c.Errored, d.results.Len())
}

// TestRepeatOfAbandonedQueuedRequestMayRetry: the first waits in line and its caller leaves. It never ran, so the next runs.
func TestRepeatOfAbandonedQueuedRequestMayRetry(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	reads := func(gauges ...float64) { // the module reads them now and then
		since := Now()
		fakes.Until(t, "it reads them", func() bool { d.Tick(gauges); return Now() > since+50_000 })
	}
	reads(0.5, 3, 0.1, 1) // no core is free
	left := make(chan struct{})
	inv := keyedInvocation("a", "x")
	inv.CallerLeft = left
	first := repeat(t, d, inv)
	waiting := repeat(t, d, keyedInvocation("b", "x"))
	if len(first) > 0 || len(waiting) > 0 {
		t.Fatal("they do not wait")
	}
	close(left)
	if resp := fakes.Take(t, "the first's response", first); resp.Verdict != Abandoned {
		t.Errorf("the first: %+v", resp)
	}
	if resp := fakes.Take(t, "the repeat's response", waiting); resp.Verdict != Throttled || resp.RetryAfter <= 0 {
		t.Errorf("the repeat: %+v", resp)
	}
	reads(0.1, 0, 0.1, 1)
	if resp, req := d.Admit(keyedInvocation("c", "x")); req == nil {
		t.Errorf("the next: %+v", resp)
	}
}

// TestRepeatWindowCountsFromArrival: after the window it is new work; a repeat that arrived within it and is read later is none.
func TestRepeatWindowCountsFromArrival(t *testing.T) {
	d := openKeyed(t, "20", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	at := Now()
	fakes.Until(t, "the window is over", func() bool { return Now() > at+120_000 })
	d.Tick([]float64{0, 0, 0, 0})
	read := keyedInvocation("b", "x")
	read.ArrivedAt = at
	if resp, _ := d.Admit(read); resp.Verdict != Replayed || string(resp.Result) != "r" {
		t.Errorf("read late: %+v", resp)
	}
	ahead := keyedInvocation("b2", "x") // the wall clock was set back: it seems to come later than now
	ahead.ArrivedAt = Now() + 60_000_000
	resp, again := d.Admit(ahead)
	if again == nil {
		t.Fatalf("after the window, ahead of the clock: %+v", resp)
	}
	d.Complete(again, RunSucceeded, []byte("q"))
	ended := Now()
	ahead.ID = "b3"
	if resp, _ := d.Admit(ahead); resp.Verdict != Replayed || string(resp.Result) != "q" {
		t.Errorf("its repeat: %+v", resp)
	}
	fakes.Until(t, "the window is over again", func() bool { return Now() > ended+120_000 })
	resp, again = d.Admit(keyedInvocation("c", "x"))
	if again == nil {
		t.Fatalf("after the window: %+v", resp)
	}
	waiting := repeat(t, d, keyedInvocation("d", "x"))
	d.Complete(again, RunSucceeded, []byte("s"))
	if resp := fakes.Take(t, "the repeat's response", waiting); resp.Verdict != Replayed || string(resp.Result) != "s" {
		t.Errorf("beside it: %+v", resp)
	}
}

// TestFullResultCacheRejectsNewWork: what cannot be remembered is not run, with when to come back; what is remembered is answered all the same.
func TestFullResultCacheRejectsNewWork(t *testing.T) {
	d := openKeyed(t, "5000", func(b *limits.Bounds) { b.IdempotencyCacheSize = 3 << 10; b.ResultSize = 1 << 10 })
	_, first := d.Admit(keyedInvocation("a", "x"))
	resp, none := d.Admit(keyedInvocation("b", "y"))
	if resp.Verdict != Throttled || resp.RetryAfter <= 0 || none != nil {
		t.Errorf("no room: %+v", resp)
	}
	if resp, req := d.Admit(newInvocation("c")); req == nil {
		t.Errorf("one that needs none: %+v", resp)
	}
	d.Complete(first, RunSucceeded, []byte("r"))
	if resp, _ := d.Admit(keyedInvocation("d", "x")); resp.Verdict != Replayed {
		t.Errorf("a repeat: %+v", resp)
	}
	c, _ := d.Counts()
	if c.CacheFull != 1 || d.results.Len() != 1 {
		t.Errorf("%+v, cached %d", c, d.results.Len())
	}
	d.Drain(4_000_000, -100_000)
	if resp, _ := d.Admit(keyedInvocation("e", "x")); resp.Verdict != Errored {
		t.Errorf("a repeat after the grace, which another would run: %+v", resp)
	}
}

// TestCachedResultsTakeNoExecutorMemory: what is remembered takes nothing of the executor's memory, though the settings name a size that
// would fill it.
func TestCachedResultsTakeNoExecutorMemory(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	d.settings.Admission.IdempotencyKeyKB = d.settings.Admission.MemoryKB / 3
	d = New(d.settings, 1, d.bounds)
	d.Open(false, 0)
	for n := range 6 {
		resp, req := d.Admit(keyedInvocation(string(rune('a'+n)), string(rune('s'+n))))
		if req == nil {
			t.Fatalf("number %d: %+v", n, resp)
		}
		d.Complete(req, RunSucceeded, nil)
	}
}

// TestAnsweredRepeatStopsWaiting: a repeat that is answered before its original ends waits for that no more.
func TestAnsweredRepeatStopsWaiting(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	d.Admit(keyedInvocation("a", "x"))
	left := make(chan struct{})
	inv := keyedInvocation("b", "x")
	inv.CallerLeft = left
	response := repeat(t, d, inv)
	close(left)
	if resp := fakes.Take(t, "the repeat's response", response); resp.Verdict != Abandoned {
		t.Fatalf("%+v", resp)
	}
	if waiting := d.results.Complete("a", true, nil); len(waiting) != 0 {
		t.Errorf("%v wait for the original", waiting)
	}
}

// TestAnsweredRequestIsNoRepeat: a Reuse of a request that has been answered, and is in flight only as its run goes on,
// does not make it a repeat to be answered.
func TestAnsweredRequestIsNoRepeat(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, req := d.Admit(keyedInvocation("a", "x"))
	d.Abandon(req)
	if d.perform(admission.Reuse{ID: "a"}); len(d.readyRepeats) != 0 {
		t.Errorf("%v are to be answered", d.readyRepeats)
	}
}

// TestOnlyOpenRepeatsAreAnswered: of the repeats whose original has ended, those that have been answered or are not in
// flight any more are passed over, and the module hears nothing of them.
func TestOnlyOpenRepeatsAreAnswered(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, req := d.Admit(keyedInvocation("a", "x"))
	d.Abandon(req)
	d.actions = []admission.Action{admission.Log{Text: "none decided since"}}
	d.readyRepeats = []string{"not in flight", "a"}
	d.answerRepeats()
	if len(d.readyRepeats) != 0 || len(d.actions) != 1 || len(req.responses) != 1 {
		t.Errorf("%v left, %d responses, actions %v", d.readyRepeats, len(req.responses), d.actions)
	}
}
