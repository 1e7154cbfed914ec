package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

func open(t *testing.T) *Dispatcher {
	var sheet config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &sheet); err != nil {
		t.Fatal(err)
	}
	g := New(&sheet, 1, limits.For(1, 192, 1024))
	g.Open(false, 0)
	return g
}

func inHand(g *Dispatcher) int {
	_, n := g.Counts()
	return n
}

var gone = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func usual(id string) Invocation {
	return Invocation{ID: id, Rank: 0.5, MemoryKB: 20, ExpectedWork: 20_000, ArrivedAt: Now(), CallerTimeout: 4_000_000}
}

func say(tr *fakes.Trace, what string, w Response, ticket *Request, g *Dispatcher) {
	tr.Say("%s: verdict %d away %t don't retry %t ticket %t, in hand %d", what, w.Verdict, w.RetryAfter > 0, w.DontRetry,
		ticket != nil, inHand(g))
}

// responseText prints every field of a response in the form of the recorded traces.
func responseText(r Response) string {
	return fmt.Sprintf("{Verdict:%d Away:%d DontRetry:%t Result:%v}", r.Verdict, r.RetryAfter, r.DontRetry, r.Result)
}

// TestVerdicts walks through what can become of one invocation.
func TestVerdicts(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	w, ticket := g.Admit(usual("a"))
	say(tr, "idle cores", w, ticket, g)
	same, none := g.Admit(usual("a"))
	say(tr, "an id that is in hand", same, none, g)
	tr.Say("its run succeeds: owed %t, in hand %d", g.Complete(ticket, RunSucceeded, nil), inHand(g))

	_, ticket = g.Admit(usual("b"))
	g.Abandon(ticket)
	tr.Say("the caller left: final word %s", responseText(<-ticket.FinalResponse()))
	tr.Say("its run succeeds: owed %t, in hand %d", g.Complete(ticket, RunSucceeded, nil), inHand(g))

	early := usual("c")
	early.ArrivedAt -= 3_900_000 // due in 100 ms, of which the run on the farm knows nothing
	_, ticket = g.Admit(early)
	for len(ticket.FinalResponse()) == 0 {
		g.Tick([]float64{0.5, 1, 0, 0})
	}
	late := Now() - (early.ArrivedAt + early.CallerTimeout)
	tr.Say("due while it runs: final word %s, too late %t", responseText(<-ticket.FinalResponse()), late > g.sheet.Admission.AnswerSlack)
	tr.Say("its run succeeds after all: owed %t, in hand %d", g.Complete(ticket, RunSucceeded, nil), inHand(g))

	fault := usual("d")
	fault.Operation = 99 // the module indexes its operations with it
	w, ticket = g.Admit(fault)
	say(tr, "a panic in the module", w, ticket, g)
	w, ticket = g.Admit(usual("e"))
	say(tr, "the next after it", w, ticket, g)
	g.Complete(ticket, RunErrored, nil)

	n := 0
	fakes.Until(t, "the queue is beyond the threshold", func() bool {
		g.Tick([]float64{1, 20, 0.1, 1})
		n++
		inv := usual(fmt.Sprint("f", n))
		inv.CallerLeft = gone // it does not wait in line
		if w, ticket = g.Admit(inv); ticket != nil {
			g.Complete(ticket, NeverRan, nil)
		}
		return w.Verdict == Throttled
	})
	say(tr, "crowded cores", w, ticket, g)
	g.Drain(5_000_000, 300_000)
	tr.Say("draining: good %t", g.Healthy())
}

// TestGraceBroughtForward: a notice heard late, or a second one, ends the grace when it was to end by the first.
func TestGraceBroughtForward(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	g.Drain(5_000_000, 300_000)
	w, ticket := g.Admit(usual("within the grace"))
	say(tr, "within the grace", w, ticket, g)
	g.Complete(ticket, RunSucceeded, nil)
	g.Drain(4_000_000, 0)
	w, ticket = g.Admit(usual("after it"))
	say(tr, "brought forward", w, ticket, g)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > g.module })
	inv := usual("read late")
	inv.ArrivedAt = g.module - 20_000 // it arrived when that was not over
	w, ticket = g.Admit(inv)
	say(tr, "read late", w, ticket, g)
	late := open(t)
	late.Drain(4_000_000, -100_000)
	w, ticket = late.Admit(usual("a"))
	say(tr, "heard after its grace", w, ticket, late)
}

// TestSameIDTakenBack: one whose id is in hand already, and whose caller leaves, does not end the other. The answer and the
// leaving are there at once, so that either may be seen first: fifty times, to see both.
func TestSameIDTakenBack(t *testing.T) {
	g := open(t)
	_, first := g.Admit(usual("a"))
	for range 50 {
		again := usual("a")
		again.CallerLeft = gone
		if w, ticket := g.Admit(again); w.Verdict != Errored || ticket != nil || inHand(g) != 1 {
			t.Fatalf("verdict %d, in hand %d", w.Verdict, inHand(g))
		}
	}
	if !g.Complete(first, RunSucceeded, nil) || inHand(g) != 0 {
		t.Errorf("the first is owed no answer, or is still in hand: %d", inHand(g))
	}
}

// TestNoticeBeforeTheFarm: a farm that comes up during the drain does not open the gate to what comes after the grace.
func TestNoticeBeforeTheFarm(t *testing.T) {
	tr := fakes.NewTrace(t)
	var sheet config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &sheet); err != nil {
		t.Fatal(err)
	}
	g := New(&sheet, 1, limits.For(1, 192, 1024))
	g.Drain(600_000, 100_000)
	begun := Now()
	g.Open(false, 0)
	w, ticket := g.Admit(usual("a"))
	say(tr, "within the grace", w, ticket, g)
	g.Complete(ticket, RunSucceeded, nil)
	fakes.Until(t, "the grace is over", func() bool { return Now() > begun+100_000 })
	w, ticket = g.Admit(usual("b"))
	say(tr, "after it", w, ticket, g)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > begun+400_000 })
	w, ticket = g.Admit(usual("c"))
	say(tr, "after that", w, ticket, g)
}

// TestUsedUpAndLeft: nothing is kept for callers that have gone or never waited.
func TestUsedUpAndLeft(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	g.Tick([]float64{1, 2.4, 0.1, 1}) // no room for a start; the queue is not yet long
	inv := usual("a")
	inv.CallerLeft = gone
	w, ticket := g.Admit(inv)
	say(tr, "left while held", w, ticket, g)
	g = open(t)
	for _, wait := range []Micros{0, -5_000_000, 1 << 55} {
		inv := usual(fmt.Sprint("wait", wait))
		inv.CallerTimeout = wait
		w, ticket := g.Admit(inv)
		for ticket != nil && wait <= 0 && len(ticket.FinalResponse()) == 0 {
			g.Tick(nil)
		}
		say(tr, fmt.Sprint("wait of ", wait), w, ticket, g)
		if ticket != nil {
			g.Complete(ticket, RunSucceeded, nil)
		}
	}
	inv = usual("future")
	inv.ArrivedAt += 60_000_000
	w, ticket = g.Admit(inv)
	say(tr, "at is a minute ahead", w, ticket, g)
	g.Complete(ticket, RunSucceeded, nil)
	tr.Say("in hand %d", inHand(g))
}

// TestShut: before the farm is there nothing can run, and the backend is not good.
func TestShut(t *testing.T) {
	tr := fakes.NewTrace(t)
	shut := New(&config.Settings{}, 1, limits.For(1, 192, 1024))
	w, ticket := shut.Admit(usual("a"))
	say(tr, "not open", w, ticket, shut)
	tr.Say("good %t, next tick %t", shut.Healthy(), shut.Tick(nil) > 0)
	shut.Drain(1000, 1000)
	g := open(t)
	tr.Say("open: good %t", g.Healthy())
	_, ticket = g.Admit(usual("b"))
	g.Open(true, 0) // the next link's greeting
	tr.Say("greeted again: owed %t, good %t", g.Complete(ticket, RunSucceeded, nil), g.Healthy())
}

// TestBeatWithoutSamples: the timer never hangs on the farm; what is due is answered though no sample comes.
func TestBeatWithoutSamples(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	done, over := make(chan struct{}), make(chan struct{})
	asked := 0
	go func() { g.RunTicks(done, func() bool { asked++; return true }, nil); close(over) }()
	inv := usual("a")
	inv.CallerTimeout = 300_000
	_, ticket := g.Admit(inv)
	w := fakes.Take(t, "the final word", ticket.FinalResponse())
	tr.Say("verdict %d, in time %t", w.Verdict, Now() < inv.ArrivedAt+inv.CallerTimeout+g.sheet.Admission.AnswerSlack)
	close(done)
	fakes.Take(t, "the end of the beat", over)
	tr.Say("asked %t", asked > 0)
}

// TestCatchUp: after a hold-up, arrivals are decided by the gauges of the next tick, or without if none comes.
func TestCatchUp(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	waits := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.tick != nil
	}
	heldUp := func(id string) chan Response {
		g.mu.Lock()
		g.ticked -= 1_000_000
		g.mu.Unlock()
		words := make(chan Response, 1)
		go func() { w, _ := g.Admit(usual(id)); words <- w }()
		fakes.Until(t, "the arrival waits", waits)
		return words
	}
	words := heldUp("a")
	tr.Say("in hand before the tick %d", inHand(g))
	g.Tick([]float64{0.1, 0, 0, 0})
	tr.Say("after it: verdict %d, in hand %d", fakes.Take(t, "a word", words).Verdict, inHand(g))
	tr.Say("no tick comes: verdict %d", fakes.Take(t, "a word", heldUp("b")).Verdict)
}

// TestClock: the gate's time goes by the machine's own clock. One that is set would hold the ticks, or make all that is in
// hand due at once.
func TestClock(t *testing.T) {
	if began == began.Round(0) {
		t.Error("the beginning carries no reading of the machine's clock: setting the wall clock would move the gate's time")
	}
	if wall := Micros(time.Now().UnixMicro()); Now() < wall-3_600_000_000 || Now() > wall+3_600_000_000 {
		t.Errorf("the gate's time is %d, the wall's %d", Now(), wall)
	}
	// An hour after the wall clock was set back by one, what reached the machine 5 ms ago has still waited 5 ms.
	base += 3_600_000_000 // the gate's time is an hour ahead of the wall's from here on
	defer func() { base -= 3_600_000_000 }()
	if waited := Now() - FromWallClock(Micros(time.Now().UnixMicro())-5000); waited < 4900 || waited > 500_000 {
		t.Errorf("it has waited %d us, wanted some 5,000", waited)
	}
}

// TestWatchedAsOpened: settings watched later are as cold as the farm still is; a process on its way out watches nothing new.
func TestWatchedAsOpened(t *testing.T) {
	g := open(t)
	g.backend = nil // open it anew, cold for 3 s
	g.Open(true, 3_000_000)
	g.SetShadow(g.sheet)
	if ago := Now() - g.opened; !g.terms(g.sheet).JustStarted || ago < 3_000_000 || ago > 4_000_000 {
		t.Errorf("cold %t, opened %d us ago", g.cold, ago)
	}
	g.Admit(usual("a"))
	c, _ := g.ShadowCounts()
	g.Drain(5_000_000, 300_000)
	g.SetShadow(g.sheet)
	g.Admit(usual("b"))
	if after, on := g.ShadowCounts(); c.Arrivals != 1 || after.Arrivals != 0 || !on {
		t.Errorf("%v, then %v, %t", c, after, on)
	}
}
