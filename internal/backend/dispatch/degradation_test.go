package dispatch

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/fakes"
)

func ladder(t *testing.T, text string) *degradation.Policy {
	l, err := degradation.ParsePolicy("l", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestReduced: a level sheds what its rules name, on arrival and with advice, and nothing else; a person may hold it,
// and what a deployment does not have is refused.
func TestReduced(t *testing.T) {
	tr := fakes.NewTrace(t)
	g := open(t)
	tr.Say("%v", g.SetDegradationPolicy(ladder(t, `(ladder l (level a (shed (operations nothing)) (enter (queue 5)) (exit (queue 4))))`)))
	_, ok := g.DegradationStatus()
	tr.Say("without a ladder: %t, pin: %v", ok, g.OverrideLevel("full", time.Second, "test", false))
	if err := g.SetDegradationPolicy(ladder(t, `(ladder l (smooth (queue 0s)) (level no-look (shed (operations look)) (enter (queue 5)) (exit (queue 4)))
		(level half (shed (operations post) (share 0.5)) (enter (queue 50)) (exit (queue 40))))`)); err != nil {
		t.Fatal(err)
	}
	pick := func(what string, operation int) {
		inv := usual(what)
		inv.Operation = operation
		w, ticket := g.Admit(inv)
		say(tr, what, w, ticket, g)
		if ticket != nil {
			g.Complete(ticket, RunSucceeded, nil)
		}
	}
	quiet := []float64{0.1, 0, 0.1, 1}
	g.Tick(quiet)
	pick("full service: look", 0)
	g.Tick([]float64{1, 30, 0.1, 1}) // 15 a core
	r, _ := g.DegradationStatus()
	tr.Say("level %s, %d changes", r.Level, len(r.Changes))
	g.Tick(quiet) // the gate itself is open again; the level stays
	g.Tick(quiet)
	fakes.Until(t, "the gate's queue has drained", func() bool {
		g.Tick(quiet)
		inv := usual(fmt.Sprint("p", Now()))
		inv.Operation, inv.CallerLeft = 1, gone
		w, ticket := g.Admit(inv)
		if ticket != nil {
			g.Complete(ticket, RunSucceeded, nil)
		}
		return w.Verdict != Throttled
	})
	pick("look", 0)
	pick("post", 1)
	tr.Say("%v", g.OverrideLevel("nothing", time.Second, "test", false))
	tr.Say("%v", g.OverrideLevel("full", time.Minute, "test", false))
	g.Tick(quiet)
	pick("held at full service: look", 0)
	tr.Say("%v", g.OverrideLevel("half", time.Minute, "test", false))
	g.Tick(quiet)
	shed := 0
	for n := range 100 {
		inv := usual(fmt.Sprint("h", n))
		inv.Operation = 1
		w, ticket := g.Admit(inv)
		if ticket != nil {
			g.Complete(ticket, RunSucceeded, nil)
		}
		if w.Verdict == Throttled {
			shed++
		}
	}
	g.Drain(5_000_000, 300_000) // under a level: what is not shed runs on through the grace
	pick("draining: look", 0)
	r, _ = g.DegradationStatus()
	tr.Say("%s: %t of a hundred are shed", r.Level, shed >= 49 && shed <= 51)
}
