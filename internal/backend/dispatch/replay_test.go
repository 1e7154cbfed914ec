package dispatch

import (
	"encoding/json"
	"strings"
	"testing"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// openTokened has the second operation known by its tokens, for as long as window.
func openTokened(t *testing.T, window string, bounds func(*limits.Bounds)) *Dispatcher {
	var sheet config.Settings
	text := strings.NewReplacer(`"at_most_once"`, `"deduplicated","window_ms":`+window, `"run_factor"`, `"key_kb":20,"run_factor"`).Replace(fakes.Settings)
	if err := json.Unmarshal([]byte(text), &sheet); err != nil {
		t.Fatal(err)
	}
	b := limits.For(1, 192, 1024)
	if bounds != nil {
		bounds(&b)
	}
	g := New(&sheet, 1, b)
	g.Open(false, 0)
	return g
}

func tokened(id, token string) Invocation {
	inv := usual(id)
	inv.Operation, inv.IdempotencyKey = 1, token
	return inv
}

// repeat picks one that waits, and returns where its word will come once it does wait.
func repeat(t *testing.T, g *Dispatcher, inv Invocation) <-chan Response {
	word, n := make(chan Response, 1), inHand(g)
	go func() { w, _ := g.Admit(inv); word <- w }()
	fakes.Until(t, "it waits", func() bool { return inHand(g) == n+1 || len(word) > 0 })
	return word
}

// TestRepeats walks through what can become of the repeats of one piece of work.
func TestRepeats(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := openTokened(t, "5000", nil)
	told := func(what string, w Response, ticket *Request) {
		tr.Say("%s: verdict %d, result %q, ticket %t, in hand %d", what, w.Verdict, w.Result, ticket != nil, inHand(g))
	}
	w, first := g.Admit(tokened("a", "x"))
	told("the first", w, first)
	waits := repeat(t, g, tokened("b", "x"))
	w, other := g.Admit(tokened("c", "y"))
	told("another piece of work", w, other)
	g.Complete(other, RunErrored, nil)
	inv := tokened("d", "x")
	inv.Tenant = 1
	w, stranger := g.Admit(inv)
	told("another tenant's of the same token", w, stranger)
	g.Complete(stranger, RunSucceeded, []byte("the stranger's"))
	g.Abandon(first)
	tr.Say("its run ends, its caller has left: owed %t", g.Complete(first, RunSucceeded, []byte("r")))
	told("the repeat that waited", fakes.Take(t, "its word", waits), nil)
	w, none := g.Admit(tokened("e", "x"))
	told("a repeat after the end", w, none)
	w, none = g.Admit(tokened("f", "y"))
	told("a repeat of one that was errored", w, none)
	w, none = g.Admit(tokened("g", ""))
	told("no token", w, none)
	old := tokened("h", "z")
	old.ArrivedAt -= g.readLate() + 1000
	old.CallerTimeout += g.readLate() + 1000
	w, none = g.Admit(old)
	told("so old that its first try may be forgotten", w, none)

	_, first = g.Admit(tokened("i", "v"))
	waits = repeat(t, g, tokened("j", "v"))
	g.Complete(first, NeverRan, nil)
	told("a repeat of what never ran", fakes.Take(t, "its word", waits), nil)
	w, first = g.Admit(tokened("k", "v"))
	told("and the next", w, first)
	g.Complete(first, RunSucceeded, []byte("v"))

	_, first = g.Admit(tokened("l", "u"))
	soon := tokened("m", "u")
	soon.ArrivedAt -= 3_800_000 // due in 200 ms
	waits = repeat(t, g, soon)
	fakes.Until(t, "it is due", func() bool { g.Tick([]float64{0.5, 1, 0, 0}); return len(waits) > 0 })
	told("a repeat that is due before the end", <-waits, nil)
	g.Complete(first, RunSucceeded, []byte("u"))
	c, _ := g.Counts()
	tr.Say("run %d, repeated %d, errored %d, kept %d", c.Started, c.Replayed, c.Errored, g.kept.Len())
}

// TestRepeatOfWhatIsHeld: the first waits in line and its caller leaves. It never ran, so the next runs.
func TestRepeatOfWhatIsHeld(t *testing.T) {
	g := openTokened(t, "5000", nil)
	reads := func(gauges ...float64) { // the module reads them now and then
		since := Now()
		fakes.Until(t, "it reads them", func() bool { g.Tick(gauges); return Now() > since+50_000 })
	}
	reads(0.5, 3, 0.1, 1) // no core is free
	left := make(chan struct{})
	inv := tokened("a", "x")
	inv.CallerLeft = left
	first := repeat(t, g, inv)
	waits := repeat(t, g, tokened("b", "x"))
	if len(first) > 0 || len(waits) > 0 {
		t.Fatal("they do not wait")
	}
	close(left)
	if w := fakes.Take(t, "the first's word", first); w.Verdict != Abandoned {
		t.Errorf("the first: %+v", w)
	}
	if w := fakes.Take(t, "the repeat's word", waits); w.Verdict != Throttled || w.RetryAfter <= 0 {
		t.Errorf("the repeat: %+v", w)
	}
	reads(0.1, 0, 0.1, 1)
	if w, ticket := g.Admit(tokened("c", "x")); ticket == nil {
		t.Errorf("the next: %+v", w)
	}
}

// TestRepeatWindow: after the window it is new work; a repeat that arrived within it and is read later is none.
func TestRepeatWindow(t *testing.T) {
	g := openTokened(t, "20", nil)
	_, first := g.Admit(tokened("a", "x"))
	g.Complete(first, RunSucceeded, []byte("r"))
	at := Now()
	fakes.Until(t, "the window is over", func() bool { return Now() > at+120_000 })
	g.Tick([]float64{0, 0, 0, 0})
	read := tokened("b", "x")
	read.ArrivedAt = at
	if w, _ := g.Admit(read); w.Verdict != Replayed || string(w.Result) != "r" {
		t.Errorf("read late: %+v", w)
	}
	ahead := tokened("b2", "x") // the wall clock was set back: it seems to come later than now
	ahead.ArrivedAt = Now() + 60_000_000
	w, again := g.Admit(ahead)
	if again == nil {
		t.Fatalf("after the window, ahead of the clock: %+v", w)
	}
	g.Complete(again, RunSucceeded, []byte("q"))
	ahead.ID = "b3"
	if w, _ := g.Admit(ahead); w.Verdict != Replayed || string(w.Result) != "q" {
		t.Errorf("its repeat: %+v", w)
	}
	fakes.Until(t, "the window is over again", func() bool { return Now() > at+240_000 })
	w, again = g.Admit(tokened("c", "x"))
	if again == nil {
		t.Fatalf("after the window: %+v", w)
	}
	waits := repeat(t, g, tokened("d", "x"))
	g.Complete(again, RunSucceeded, []byte("s"))
	if w := fakes.Take(t, "the repeat's word", waits); w.Verdict != Replayed || string(w.Result) != "s" {
		t.Errorf("beside it: %+v", w)
	}
}

// TestRepeatsFull: what cannot be remembered is not run, with when to come back; what is remembered is answered all the same.
func TestRepeatsFull(t *testing.T) {
	g := openTokened(t, "5000", func(b *limits.Bounds) { b.Kept = 3 << 10; b.Result = 1 << 10 })
	_, first := g.Admit(tokened("a", "x"))
	w, none := g.Admit(tokened("b", "y"))
	if w.Verdict != Throttled || w.RetryAfter <= 0 || none != nil {
		t.Errorf("no room: %+v", w)
	}
	if w, ticket := g.Admit(usual("c")); ticket == nil {
		t.Errorf("one that needs none: %+v", w)
	}
	g.Complete(first, RunSucceeded, []byte("r"))
	if w, _ := g.Admit(tokened("d", "x")); w.Verdict != Replayed {
		t.Errorf("a repeat: %+v", w)
	}
	c, _ := g.Counts()
	if c.CacheFull != 1 || g.kept.Len() != 1 {
		t.Errorf("%+v, kept %d", c, g.kept.Len())
	}
	g.Drain(4_000_000, -100_000)
	if w, _ := g.Admit(tokened("e", "x")); w.Verdict != Errored {
		t.Errorf("a repeat after the grace, which another would run: %+v", w)
	}
}

// TestRepeatsTakeNoneOfTheFarm: what is remembered takes nothing of the farm's memory, though the settings name a size that
// would fill it.
func TestRepeatsTakeNoneOfTheFarm(t *testing.T) {
	g := openTokened(t, "5000", nil)
	g.sheet.Admission.IdempotencyKeyKB = g.sheet.Admission.MemoryKB / 3
	g = New(g.sheet, 1, g.bounds)
	g.Open(false, 0)
	for n := range 6 {
		w, ticket := g.Admit(tokened(string(rune('a'+n)), string(rune('s'+n))))
		if ticket == nil {
			t.Fatalf("number %d: %+v", n, w)
		}
		g.Complete(ticket, RunSucceeded, nil)
	}
}
