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
	d := New(&sheet, 1, b)
	d.Open(false, 0)
	return d
}

func tokened(id, token string) Invocation {
	inv := usual(id)
	inv.Operation, inv.IdempotencyKey = 1, token
	return inv
}

// repeat picks one that waits, and returns where its word will come once it does wait.
func repeat(t *testing.T, d *Dispatcher, inv Invocation) <-chan Response {
	word, n := make(chan Response, 1), inHand(d)
	go func() { w, _ := d.Admit(inv); word <- w }()
	fakes.Until(t, "it waits", func() bool { return inHand(d) == n+1 || len(word) > 0 })
	return word
}

// TestRepeats walks through what can become of the repeats of one piece of work.
func TestRepeats(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := openTokened(t, "5000", nil)
	sayVerdict := func(what string, w Response, ticket *Request) {
		tr.Say("%s: verdict %d, result %q, ticket %t, in hand %d", what, w.Verdict, w.Result, ticket != nil, inHand(d))
	}
	w, first := d.Admit(tokened("a", "x"))
	sayVerdict("the first", w, first)
	waits := repeat(t, d, tokened("b", "x"))
	w, other := d.Admit(tokened("c", "y"))
	sayVerdict("another piece of work", w, other)
	d.Complete(other, RunErrored, nil)
	inv := tokened("d", "x")
	inv.Tenant = 1
	w, stranger := d.Admit(inv)
	sayVerdict("another tenant's of the same token", w, stranger)
	d.Complete(stranger, RunSucceeded, []byte("the stranger's"))
	d.Abandon(first)
	tr.Say("its run ends, its caller has left: owed %t", d.Complete(first, RunSucceeded, []byte("r")))
	sayVerdict("the repeat that waited", fakes.Take(t, "its word", waits), nil)
	w, none := d.Admit(tokened("e", "x"))
	sayVerdict("a repeat after the end", w, none)
	w, none = d.Admit(tokened("f", "y"))
	sayVerdict("a repeat of one that was errored", w, none)
	w, none = d.Admit(tokened("d", ""))
	sayVerdict("no token", w, none)
	old := tokened("h", "z")
	old.ArrivedAt -= d.maxReadDelay() + 1000
	old.CallerTimeout += d.maxReadDelay() + 1000
	w, none = d.Admit(old)
	sayVerdict("so old that its first try may be forgotten", w, none)

	_, first = d.Admit(tokened("i", "v"))
	waits = repeat(t, d, tokened("j", "v"))
	d.Complete(first, NeverRan, nil)
	sayVerdict("a repeat of what never ran", fakes.Take(t, "its word", waits), nil)
	w, first = d.Admit(tokened("k", "v"))
	sayVerdict("and the next", w, first)
	d.Complete(first, RunSucceeded, []byte("v"))

	_, first = d.Admit(tokened("l", "u"))
	soon := tokened("m", "u")
	soon.ArrivedAt -= 3_800_000 // due in 200 ms
	waits = repeat(t, d, soon)
	fakes.Until(t, "it is due", func() bool { d.Tick([]float64{0.5, 1, 0, 0}); return len(waits) > 0 })
	sayVerdict("a repeat that is due before the end", <-waits, nil)
	d.Complete(first, RunSucceeded, []byte("u"))
	c, _ := d.Counts()
	tr.Say("run %d, repeated %d, errored %d, kept %d", c.Started, c.Replayed, c.Errored, d.results.Len())
}

// TestRepeatOfQueuedRequest: the first waits in line and its caller leaves. It never ran, so the next runs.
func TestRepeatOfQueuedRequest(t *testing.T) {
	d := openTokened(t, "5000", nil)
	reads := func(gauges ...float64) { // the module reads them now and then
		since := Now()
		fakes.Until(t, "it reads them", func() bool { d.Tick(gauges); return Now() > since+50_000 })
	}
	reads(0.5, 3, 0.1, 1) // no core is free
	left := make(chan struct{})
	inv := tokened("a", "x")
	inv.CallerLeft = left
	first := repeat(t, d, inv)
	waits := repeat(t, d, tokened("b", "x"))
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
	if w, ticket := d.Admit(tokened("c", "x")); ticket == nil {
		t.Errorf("the next: %+v", w)
	}
}

// TestRepeatWindow: after the window it is new work; a repeat that arrived within it and is read later is none.
func TestRepeatWindow(t *testing.T) {
	d := openTokened(t, "20", nil)
	_, first := d.Admit(tokened("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	at := Now()
	fakes.Until(t, "the window is over", func() bool { return Now() > at+120_000 })
	d.Tick([]float64{0, 0, 0, 0})
	read := tokened("b", "x")
	read.ArrivedAt = at
	if w, _ := d.Admit(read); w.Verdict != Replayed || string(w.Result) != "r" {
		t.Errorf("read late: %+v", w)
	}
	ahead := tokened("b2", "x") // the wall clock was set back: it seems to come later than now
	ahead.ArrivedAt = Now() + 60_000_000
	w, again := d.Admit(ahead)
	if again == nil {
		t.Fatalf("after the window, ahead of the clock: %+v", w)
	}
	d.Complete(again, RunSucceeded, []byte("q"))
	ended := Now()
	ahead.ID = "b3"
	if w, _ := d.Admit(ahead); w.Verdict != Replayed || string(w.Result) != "q" {
		t.Errorf("its repeat: %+v", w)
	}
	fakes.Until(t, "the window is over again", func() bool { return Now() > ended+120_000 })
	w, again = d.Admit(tokened("c", "x"))
	if again == nil {
		t.Fatalf("after the window: %+v", w)
	}
	waits := repeat(t, d, tokened("d", "x"))
	d.Complete(again, RunSucceeded, []byte("s"))
	if w := fakes.Take(t, "the repeat's word", waits); w.Verdict != Replayed || string(w.Result) != "s" {
		t.Errorf("beside it: %+v", w)
	}
}

// TestResultCacheFull: what cannot be remembered is not run, with when to come back; what is remembered is answered all the same.
func TestResultCacheFull(t *testing.T) {
	d := openTokened(t, "5000", func(b *limits.Bounds) { b.IdempotencyCacheSize = 3 << 10; b.ResultSize = 1 << 10 })
	_, first := d.Admit(tokened("a", "x"))
	w, none := d.Admit(tokened("b", "y"))
	if w.Verdict != Throttled || w.RetryAfter <= 0 || none != nil {
		t.Errorf("no room: %+v", w)
	}
	if w, ticket := d.Admit(usual("c")); ticket == nil {
		t.Errorf("one that needs none: %+v", w)
	}
	d.Complete(first, RunSucceeded, []byte("r"))
	if w, _ := d.Admit(tokened("d", "x")); w.Verdict != Replayed {
		t.Errorf("a repeat: %+v", w)
	}
	c, _ := d.Counts()
	if c.CacheFull != 1 || d.results.Len() != 1 {
		t.Errorf("%+v, cached %d", c, d.results.Len())
	}
	d.Drain(4_000_000, -100_000)
	if w, _ := d.Admit(tokened("e", "x")); w.Verdict != Errored {
		t.Errorf("a repeat after the grace, which another would run: %+v", w)
	}
}

// TestCachedResultsTakeNoExecutorMemory: what is remembered takes nothing of the executor's memory, though the settings name a size that
// would fill it.
func TestCachedResultsTakeNoExecutorMemory(t *testing.T) {
	d := openTokened(t, "5000", nil)
	d.sheet.Admission.IdempotencyKeyKB = d.sheet.Admission.MemoryKB / 3
	d = New(d.sheet, 1, d.bounds)
	d.Open(false, 0)
	for n := range 6 {
		w, ticket := d.Admit(tokened(string(rune('a'+n)), string(rune('s'+n))))
		if ticket == nil {
			t.Fatalf("number %d: %+v", n, w)
		}
		d.Complete(ticket, RunSucceeded, nil)
	}
}
