package dispatch

import (
	"fmt"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestEachRequestGetsItsVerdict walks through what can become of one invocation.
func TestEachRequestGetsItsVerdict(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	resp, req := d.Admit(newInvocation("a"))
	say(tr, "idle cores", resp, req, d)
	same, none := d.Admit(newInvocation("a"))
	say(tr, "an id that is in hand", same, none, d)
	tr.Say("its run succeeds: owed %t, in hand %d", d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	_, req = d.Admit(newInvocation("b"))
	d.Abandon(req)
	tr.Say("the caller left: final word %s", responseText(<-req.FinalResponse()))
	tr.Say("its run succeeds: owed %t, in hand %d", d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	early := newInvocation("c")
	early.ArrivedAt -= 3_900_000 // due in 100 ms, of which the run knows nothing
	_, req = d.Admit(early)
	for len(req.FinalResponse()) == 0 {
		d.Tick([]float64{0.5, 1, 0, 0})
	}
	late := Now() - (early.ArrivedAt + early.CallerTimeout)
	tr.Say("due while it runs: final word %s, too late %t", responseText(<-req.FinalResponse()), late > d.settings.Admission.AnswerSlack)
	tr.Say("its run succeeds after all: owed %t, in hand %d", d.Complete(req, RunSucceeded, nil), requestsInFlight(d))

	fault := newInvocation("d")
	fault.Operation = 99 // the module indexes its operations with it
	resp, req = d.Admit(fault)
	say(tr, "a panic in the module", resp, req, d)
	resp, req = d.Admit(newInvocation("e"))
	say(tr, "the next after it", resp, req, d)
	d.Complete(req, RunErrored, nil)

	n := 0
	fakes.Until(t, "the queue is beyond the threshold", func() bool {
		d.Tick([]float64{1, 20, 0.1, 1})
		n++
		inv := newInvocation(fmt.Sprint("f", n))
		inv.CallerLeft = leftCaller // it does not wait in the queue
		if resp, req = d.Admit(inv); req != nil {
			d.Complete(req, NeverRan, nil)
		}
		return resp.Verdict == Throttled
	})
	say(tr, "crowded cores", resp, req, d)
	d.Drain(5_000_000, 300_000)
	tr.Say("draining: good %t", d.Healthy())
}

// TestExpiredAndAbandonedRequestsLeaveNothingInFlight: nothing stays in flight for callers that have left or never waited.
func TestExpiredAndAbandonedRequestsLeaveNothingInFlight(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	d.Tick([]float64{1, 2.4, 0.1, 1}) // no room for a start; the queue is not yet long
	inv := newInvocation("a")
	inv.CallerLeft = leftCaller
	resp, req := d.Admit(inv)
	say(tr, "left while held", resp, req, d)
	d = open(t)
	for _, wait := range []monotime.Micros{0, -5_000_000, 1 << 55} {
		inv := newInvocation(fmt.Sprint("wait", wait))
		inv.CallerTimeout = wait
		resp, req := d.Admit(inv)
		for req != nil && wait <= 0 && len(req.FinalResponse()) == 0 {
			d.Tick(nil)
		}
		say(tr, fmt.Sprint("wait of ", wait), resp, req, d)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
	}
	inv = newInvocation("future")
	inv.ArrivedAt += 60_000_000
	resp, req = d.Admit(inv)
	say(tr, "at is a minute ahead", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	tr.Say("in hand %d", requestsInFlight(d))
}

// TestRequestIsAnsweredOnce: a request gets one final response and starts once.
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

// TestAbandonedDuplicateLeavesRunningRequest: a request whose id is in flight already, and whose caller leaves, does not end the other. The answer and the
// leaving are there at once, so that either may be seen first: fifty times, to see both.
func TestAbandonedDuplicateLeavesRunningRequest(t *testing.T) {
	d := open(t)
	_, first := d.Admit(newInvocation("a"))
	for range 50 {
		again := newInvocation("a")
		again.CallerLeft = leftCaller
		if resp, req := d.Admit(again); resp.Verdict != Errored || req != nil || requestsInFlight(d) != 1 {
			t.Fatalf("verdict %d, in flight %d", resp.Verdict, requestsInFlight(d))
		}
	}
	if !d.Complete(first, RunSucceeded, nil) || requestsInFlight(d) != 0 {
		t.Errorf("the first is owed no answer, or is still in flight: %d", requestsInFlight(d))
	}
}

// TestAbandonedDuplicateLeavesQueuedRequest: a request in the queue still runs after others of its id came and their callers left.
func TestAbandonedDuplicateLeavesQueuedRequest(t *testing.T) {
	d := open(t)
	since := Now()
	fakes.Until(t, "the module reads the gauges", func() bool { d.Tick(fullCores); return Now() > since+50_000 })
	response := repeat(t, d, newInvocation("a"))
	for range 50 { // the answer and the caller's leaving are there at once: either may be seen first
		again := newInvocation("a")
		again.CallerLeft = leftCaller
		if resp, _ := d.Admit(again); resp.Verdict != Errored {
			t.Fatalf("%+v", resp)
		}
	}
	fakes.Until(t, "the first is answered", func() bool { d.Tick([]float64{0.1, 0, 0.1, 1}); return len(response) > 0 })
	if resp := <-response; resp.Verdict != Admitted {
		t.Errorf("the first: %+v", resp)
	}
}

// TestDuplicateOfCachedIDIsRejected: a request with the id of one whose result is cached is refused, and the result stays.
func TestDuplicateOfCachedIDIsRejected(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	if resp, req := d.Admit(keyedInvocation("a", "y")); resp.Verdict != Errored || req != nil {
		t.Errorf("the same id, another key: %+v", resp)
	}
	if resp, _ := d.Admit(keyedInvocation("b", "x")); resp.Verdict != Replayed || string(resp.Result) != "r" {
		t.Errorf("a repeat of the first: %+v", resp)
	}
}

// TestArrivalTimesAreClamped: a request never seems to have waited for less than no time, nor to be without a deadline.
func TestArrivalTimesAreClamped(t *testing.T) {
	const now = 10_000_000
	for _, row := range []struct{ arrivedAt, deadline, queueTime, timeLeft monotime.Micros }{
		{now - 5, now + 7, 5, 7},
		{now + 5, now + 7, 0, 7},
		{now - 5, now, 5, 1},
		{now - 5, now - 1, 5, 1},
	} {
		inv := newInvocation("a")
		inv.ArrivedAt = row.arrivedAt
		event := arrival(now, &inv, &Request{deadline: row.deadline}, admission.QuotaUnknown)
		if event.QueueTime != row.queueTime || event.TimeLeft != row.timeLeft {
			t.Errorf("%+v: queue time %d, time left %d", row, event.QueueTime, event.TimeLeft)
		}
	}
}

// TestArrivalAfterStallAwaitsTick: after a hold-up, arrivals are decided by the gauges of the next tick, or without if none comes.
func TestArrivalAfterStallAwaitsTick(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	waiting := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.tickDone != nil
	}
	heldUp := func(id string) chan Response {
		d.mu.Lock()
		d.lastTick -= 1_000_000
		d.mu.Unlock()
		responses := make(chan Response, 1)
		go func() { resp, _ := d.Admit(newInvocation(id)); responses <- resp }()
		fakes.Until(t, "the arrival waits", waiting)
		return responses
	}
	responses := heldUp("a")
	tr.Say("in hand before the tick %d", requestsInFlight(d))
	d.Tick([]float64{0.1, 0, 0, 0})
	tr.Say("after it: verdict %d, in hand %d", fakes.Take(t, "a response", responses).Verdict, requestsInFlight(d))
	tr.Say("no tick comes: verdict %d", fakes.Take(t, "a response", heldUp("b")).Verdict)
}
