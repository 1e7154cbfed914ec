package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

func open(t *testing.T) *Dispatcher {
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	d := New(&settings, 1, limits.For(1, 192, 1024))
	d.Open(false, 0)
	return d
}

func requestsInFlight(d *Dispatcher) int {
	_, n := d.Counts()
	return n
}

var leftCaller = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func newInvocation(id string) Invocation {
	return Invocation{ID: id, Rank: 0.5, MemoryKB: 20, ExpectedWork: 20_000, ArrivedAt: Now(), CallerTimeout: 4_000_000}
}

func say(tr *fakes.Trace, what string, resp Response, req *Request, d *Dispatcher) {
	tr.Say("%s: verdict %d away %t don't retry %t ticket %t, in hand %d", what, resp.Verdict, resp.RetryAfter > 0, resp.DontRetry,
		req != nil, requestsInFlight(d))
}

// responseText prints every field of a response in the form of the recorded traces.
func responseText(r Response) string {
	return fmt.Sprintf("{Verdict:%d Away:%d DontRetry:%t Result:%v}", r.Verdict, r.RetryAfter, r.DontRetry, r.Result)
}

// TestVerdicts walks through what can become of one invocation.
func TestVerdicts(t *testing.T) {
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

// TestGraceBroughtForward: a notice heard late, or a second one, ends the grace when it was to end by the first.
func TestGraceBroughtForward(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	d.Drain(5_000_000, 300_000)
	resp, req := d.Admit(newInvocation("within the grace"))
	say(tr, "within the grace", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	d.Drain(4_000_000, 0)
	resp, req = d.Admit(newInvocation("after it"))
	say(tr, "brought forward", resp, req, d)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > d.moduleGraceEnd })
	inv := newInvocation("read late")
	inv.ArrivedAt = d.moduleGraceEnd - 20_000 // it arrived before that had ended
	resp, req = d.Admit(inv)
	say(tr, "read late", resp, req, d)
	late := open(t)
	late.Drain(4_000_000, -100_000)
	resp, req = late.Admit(newInvocation("a"))
	say(tr, "heard after its grace", resp, req, late)
}

// TestDuplicateIDAbandoned: a request whose id is in flight already, and whose caller leaves, does not end the other. The answer and the
// leaving are there at once, so that either may be seen first: fifty times, to see both.
func TestDuplicateIDAbandoned(t *testing.T) {
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

// TestDrainBeforeExecutorReady: an executor that comes up during a graceful shutdown admits nothing after the grace.
func TestDrainBeforeExecutorReady(t *testing.T) {
	tr := fakes.NewTrace(t)
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	d := New(&settings, 1, limits.For(1, 192, 1024))
	d.Drain(600_000, 100_000)
	start := Now()
	d.Open(false, 0)
	resp, req := d.Admit(newInvocation("a"))
	say(tr, "within the grace", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	fakes.Until(t, "the grace is over", func() bool { return Now() > start+100_000 })
	resp, req = d.Admit(newInvocation("b"))
	say(tr, "after it", resp, req, d)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > start+400_000 })
	resp, req = d.Admit(newInvocation("c"))
	say(tr, "after that", resp, req, d)
}

// TestExpiredAndAbandoned: nothing stays in flight for callers that have left or never waited.
func TestExpiredAndAbandoned(t *testing.T) {
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

// TestBeforeOpen: before the executor is there nothing can run, and the backend is unhealthy.
func TestBeforeOpen(t *testing.T) {
	tr := fakes.NewTrace(t)
	shut := New(&config.Settings{}, 1, limits.For(1, 192, 1024))
	resp, req := shut.Admit(newInvocation("a"))
	say(tr, "not open", resp, req, shut)
	tr.Say("good %t, next tick %t", shut.Healthy(), shut.Tick(nil) > 0)
	shut.Drain(1000, 1000)
	d := open(t)
	tr.Say("open: good %t", d.Healthy())
	_, req = d.Admit(newInvocation("b"))
	d.Open(true, 0) // the greeting of the next connection
	tr.Say("greeted again: owed %t, good %t", d.Complete(req, RunSucceeded, nil), d.Healthy())
}

// TestTicksWithoutSamples: ticks never wait for the executor; what is due is answered though no sample comes.
func TestTicksWithoutSamples(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	done, over := make(chan struct{}), make(chan struct{})
	requested := 0
	go func() { d.RunTicks(done, func() bool { requested++; return true }, nil); close(over) }()
	inv := newInvocation("a")
	inv.CallerTimeout = 300_000
	_, req := d.Admit(inv)
	resp := fakes.Take(t, "the final response", req.FinalResponse())
	tr.Say("verdict %d, in time %t", resp.Verdict, Now() < inv.ArrivedAt+inv.CallerTimeout+d.settings.Admission.AnswerSlack)
	close(done)
	fakes.Take(t, "the end of the ticks", over)
	tr.Say("asked %t", requested > 0)
}

// TestArrivalAfterHoldUpAwaitsTick: after a hold-up, arrivals are decided by the gauges of the next tick, or without if none comes.
func TestArrivalAfterHoldUpAwaitsTick(t *testing.T) {
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

// TestClock: the dispatcher's time goes by the monotonic clock. A wall clock that is set would stop the ticks, or make all
// requests in flight due at once.
func TestClock(t *testing.T) {
	if clockStart == clockStart.Round(0) { //nolint:staticcheck // Equal would not see the monotonic reading
		t.Error("the beginning carries no reading of the machine's clock: setting the wall clock would move the dispatcher's time")
	}
	if wall := monotime.Micros(time.Now().UnixMicro()); Now() < wall-3_600_000_000 || Now() > wall+3_600_000_000 {
		t.Errorf("the time is %d, the wall's %d", Now(), wall)
	}
	// An hour after the wall clock was set back by one, what reached the machine 5 ms ago has still waited 5 ms.
	clockBase += 3_600_000_000 // the time is an hour ahead of the wall's from here on
	defer func() { clockBase -= 3_600_000_000 }()
	if waited := Now() - FromWallClock(monotime.Micros(time.Now().UnixMicro())-5000); waited < 4900 || waited > 500_000 {
		t.Errorf("it has waited %d us, wanted some 5,000", waited)
	}
}

// TestShadowStartsAsOpened: a shadow set later is as cold as the executor still is; a process that shuts down starts none.
func TestShadowStartsAsOpened(t *testing.T) {
	d := open(t)
	d.backend = nil // open it anew, cold for 3 s
	d.Open(true, 3_000_000)
	d.SetShadow(d.settings)
	if ago := Now() - d.openedAt; !d.moduleConfig(d.settings).JustStarted || ago < 3_000_000 || ago > 4_000_000 {
		t.Errorf("cold %t, opened %d us ago", d.startedCold, ago)
	}
	d.Admit(newInvocation("a"))
	c, _ := d.ShadowCounts()
	d.Drain(5_000_000, 300_000)
	d.SetShadow(d.settings)
	d.Admit(newInvocation("b"))
	if after, on := d.ShadowCounts(); c.Arrivals != 1 || after.Arrivals != 0 || !on {
		t.Errorf("%v, then %v, %t", c, after, on)
	}
}
