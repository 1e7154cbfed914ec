package dispatch

import (
	"fmt"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Each request gets the verdict for its case and does not stay in flight: one that runs, a duplicate, a canceled or
// overdue one, one whose decision panics, and one that is throttled.
func TestEachRequestGetsItsVerdict(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	resp, req := d.Admit(newInvocation("a"))
	traceResponse(tr, "idle cores", resp, req, d)
	same, none := d.Admit(newInvocation("a"))
	traceResponse(tr, "a duplicate of an ID in flight", same, none, d)
	tr.Say("its run succeeds: answer due %t, in flight %d", d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	_, req = d.Admit(newInvocation("b"))
	d.Abandon(req)
	tr.Say("canceled by its caller: final response %s", responseText(<-req.FinalResponse()))
	tr.Say("its run succeeds: answer due %t, in flight %d", d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	early := newInvocation("c")
	early.ArrivedAt -= 3_900 * monotime.Millisecond // its deadline is in 100 ms; its run continues
	_, req = d.Admit(early)
	for len(req.FinalResponse()) == 0 {
		d.Tick([]float64{0.5, 1, 0, 0})
	}
	lateBy := Now() - (early.ArrivedAt + early.CallerTimeout)
	tr.Say("due while it runs: final response %s, too late %t",
		responseText(<-req.FinalResponse()), lateBy > d.settings.Admission.AnswerSlack)
	tr.Say("its run succeeds after all: answer due %t, in flight %d",
		d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	panics := newInvocation("d")
	panics.Operation = 99 // out of range of the module's operations
	resp, req = d.Admit(panics)
	traceResponse(tr, "a panic in the module", resp, req, d)
	resp, req = d.Admit(newInvocation("e"))
	traceResponse(tr, "the next after it", resp, req, d)
	d.Complete(req, RunErrored, nil)

	attempts := 0
	fakes.Until(t, "the queue is beyond the threshold", func() bool {
		d.Tick([]float64{1, 20, 0.1, 1})
		attempts++
		inv := newInvocation(fmt.Sprint("f", attempts))
		inv.Canceled = canceledCaller // so that Admit does not wait while it is queued
		if resp, req = d.Admit(inv); req != nil {
			d.Complete(req, NeverRan, nil)
		}
		return resp.Verdict == Throttled
	})
	traceResponse(tr, "the queue is beyond the threshold", resp, req, d)
	d.Drain(5*monotime.Second, 300*monotime.Millisecond)
	tr.Say("draining: healthy %t", d.Healthy())
}

// A request that its caller canceled, or whose deadline passed before it arrived, does not stay in flight.
func TestExpiredAndAbandonedRequestsLeaveNothingInFlight(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	d.Tick([]float64{1, 2.4, 0.1, 1}) // the cores are full, and the queue is short
	inv := newInvocation("a")
	inv.Canceled = canceledCaller
	resp, req := d.Admit(inv)
	traceResponse(tr, "canceled at once", resp, req, d)
	d = open(t)
	for _, timeout := range []monotime.Micros{0, -5 * monotime.Second, 1 << 55} {
		inv := newInvocation(fmt.Sprint("timeout", timeout))
		inv.CallerTimeout = timeout
		resp, req := d.Admit(inv)
		for req != nil && timeout <= 0 && len(req.FinalResponse()) == 0 {
			d.Tick(nil)
		}
		traceResponse(tr, fmt.Sprint("caller timeout ", timeout), resp, req, d)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
	}
	inv = newInvocation("future")
	inv.ArrivedAt += 60 * monotime.Second
	resp, req = d.Admit(inv)
	traceResponse(tr, "arrived a minute ahead", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	tr.Say("in flight %d", requestsInFlight(d))
}

// A request starts at most once and gets exactly one final response.
func TestRequestIsAnsweredOnce(t *testing.T) {
	d := open(t)
	_, req := d.Admit(newInvocation("a"))
	d.perform(admission.Start{ID: "a"})
	if d.counts.Started != 1 || len(req.responses) != 0 {
		t.Errorf("started %d times", d.counts.Started)
	}
	d.respond(req, Response{Verdict: Abandoned})
	d.respond(req, Response{Verdict: Errored})
	if len(req.responses) != 1 || d.counts.Errored != 0 || d.counts.Abandoned != 1 {
		t.Errorf("%d final responses, %+v", len(req.responses), d.counts)
	}
}

// Canceling a duplicate of a running request does not end the running request. Admit may see the rejection of the
// duplicate and its cancellation in either order; fifty attempts cover both orders.
func TestAbandonedDuplicateLeavesRunningRequest(t *testing.T) {
	d := open(t)
	_, first := d.Admit(newInvocation("a"))
	for range 50 {
		again := newInvocation("a")
		again.Canceled = canceledCaller
		if resp, req := d.Admit(again); resp.Verdict != Errored || req != nil || requestsInFlight(d) != 1 {
			t.Fatalf("verdict %d, in flight %d", resp.Verdict, requestsInFlight(d))
		}
	}
	if !d.Complete(first, RunSucceeded, nil) || requestsInFlight(d) != 0 {
		t.Errorf("the first request expects no answer, or is still in flight: %d", requestsInFlight(d))
	}
}

// A queued request still starts after duplicates of its ID have arrived and been canceled.
func TestAbandonedDuplicateLeavesQueuedRequest(t *testing.T) {
	d := open(t)
	tickUntilRead(t, d, fullCores)
	response := admitAsync(t, d, newInvocation("a"))
	for range 50 { // the rejection and the cancellation may be seen in either order
		again := newInvocation("a")
		again.Canceled = canceledCaller
		if resp, _ := d.Admit(again); resp.Verdict != Errored {
			t.Fatalf("%+v", resp)
		}
	}
	fakes.Until(t, "the first request is answered", func() bool {
		d.Tick(idleGauges)
		return len(response) > 0
	})
	if resp := <-response; resp.Verdict != Admitted {
		t.Errorf("the first request: %+v, want verdict Admitted", resp)
	}
}

// A request with the ID of a request in the result cache is rejected, and the cached result is kept.
func TestDuplicateOfCachedIDIsRejected(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	if resp, req := d.Admit(keyedInvocation("a", "y")); resp.Verdict != Errored || req != nil {
		t.Errorf("the same ID with another key: %+v, want verdict Errored", resp)
	}
	if resp, _ := d.Admit(keyedInvocation("b", "x")); resp.Verdict != Replayed || string(resp.Result) != "r" {
		t.Errorf("a repeat of the first: %+v, want its result", resp)
	}
}

// nonIdempotentInvocation returns an invocation of the second operation, which must not run twice.
func nonIdempotentInvocation(id string) Invocation {
	inv := newInvocation(id)
	inv.Operation = 1
	return inv
}

// TestNonIdempotentRequestRunsOnce guards against a second run of an ID that comes again after the caller of the first
// has left: the dispatcher knew the IDs in flight only. An ID that never ran may come again.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		again   Verdict
	}{
		{"succeeded", RunSucceeded, Errored},
		{"failed", RunErrored, Errored},
		{"canceled", RunCancelled, Errored},
		{"never ran", NeverRan, Admitted},
		{"unrunnable", Unrunnable, Admitted},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := open(t)
			_, first := d.Admit(nonIdempotentInvocation("a"))
			d.Abandon(first)
			d.Complete(first, test.outcome, nil)
			again := nonIdempotentInvocation("a")
			again.Retry = true
			if mayHaveRun := d.MayHaveRun(again); mayHaveRun != (test.again == Errored) {
				t.Errorf("may have run: %t", mayHaveRun)
			}
			if resp, _ := d.Admit(again); resp.Verdict != test.again {
				t.Errorf("the same ID again: verdict %d, want %d", resp.Verdict, test.again)
			}
		})
	}
}

// TestFullRecentIDsRejectNewWork checks that a non-idempotent request whose ID could not be kept is throttled before it
// runs, and that idempotent requests run.
func TestFullRecentIDsRejectNewWork(t *testing.T) {
	d := newDispatcher(t, fakes.Settings, func(b *limits.Bounds) { b.RecentIDs = 2 })
	d.Open(false, 0)
	_, first := d.Admit(nonIdempotentInvocation("a"))
	d.Complete(first, RunSucceeded, nil)
	if resp, _ := d.Admit(nonIdempotentInvocation("b")); resp.Verdict != Admitted {
		t.Fatalf("the second: verdict %d, want Admitted", resp.Verdict)
	}
	if resp, _ := d.Admit(nonIdempotentInvocation("c")); resp.Verdict != Throttled || resp.RetryAfter == 0 {
		t.Errorf("beyond the capacity: %+v, want verdict Throttled with a Retry-After", resp)
	}
	if resp, _ := d.Admit(newInvocation("d")); resp.Verdict != Admitted {
		t.Errorf("an idempotent one: verdict %d, want Admitted", resp.Verdict)
	}
	if d.counts.CacheFull != 1 {
		t.Errorf("counted %d as rejected for a full cache, want 1", d.counts.CacheFull)
	}
}

// The queue time of the module's arrival event is never negative, and its time left is always positive.
func TestArrivalTimesAreClamped(t *testing.T) {
	const now = 10 * monotime.Second
	for _, test := range []struct {
		name          string
		arrivedAt     monotime.Micros
		deadline      monotime.Micros
		wantQueueTime monotime.Micros
		wantTimeLeft  monotime.Micros
	}{
		{"arrived before, deadline ahead", now - 5, now + 7, 5, 7},
		{"arrival after now", now + 5, now + 7, 0, 7},
		{"deadline now", now - 5, now, 5, 1},
		{"deadline past", now - 5, now - 1, 5, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inv := newInvocation("a")
			inv.ArrivedAt = test.arrivedAt
			event := arrival(now, &inv, &Request{deadline: test.deadline}, admission.QuotaUnknown)
			if event.QueueTime != test.wantQueueTime || event.TimeLeft != test.wantTimeLeft {
				t.Errorf("queue time %d, time left %d; want %d, %d",
					event.QueueTime, event.TimeLeft, test.wantQueueTime, test.wantTimeLeft)
			}
		})
	}
}

// After a stall, an arrival waits for the next tick, but no longer than the timeout.
func TestArrivalAfterStallAwaitsTick(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	waiting := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.tickDone != nil
	}
	admitAfterStall := func(id string) chan Response {
		d.mu.Lock()
		d.lastTick -= monotime.Second
		d.mu.Unlock()
		response := make(chan Response, 1)
		go func() {
			resp, _ := d.Admit(newInvocation(id))
			response <- resp
		}()
		fakes.Until(t, "the arrival waits", waiting)
		return response
	}
	response := admitAfterStall("a")
	tr.Say("in flight before the tick %d", requestsInFlight(d))
	d.Tick([]float64{0.1, 0, 0, 0})
	tr.Say("after it: verdict %d, in flight %d", fakes.Take(t, "the response", response).Verdict, requestsInFlight(d))
	tr.Say("no tick comes: verdict %d", fakes.Take(t, "the response", admitAfterStall("b")).Verdict)
}
