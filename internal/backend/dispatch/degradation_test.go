package dispatch

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/fakes"
)

func policyOf(t *testing.T, text string) *degradation.Policy {
	l, err := degradation.ParsePolicy("l", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestDegradationLevels: a level sheds what its rules name, on arrival and with advice, and nothing else; an operator may
// override it, and a policy that names what the deployment does not have is refused.
func TestDegradationLevels(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	tr.Say("%v", d.SetDegradationPolicy(policyOf(t, `(ladder l (level a (shed (operations nothing)) (enter (queue 5)) (exit (queue 4))))`)))
	_, ok := d.DegradationStatus()
	tr.Say("without a ladder: %t, pin: %v", ok, d.OverrideLevel("full", time.Second, "test", false))
	if err := d.SetDegradationPolicy(policyOf(t, `(ladder l (smooth (queue 0s)) (level no-look (shed (operations look)) (enter (queue 5)) (exit (queue 4)))
		(level half (shed (operations post) (share 0.5)) (enter (queue 50)) (exit (queue 40))))`)); err != nil {
		t.Fatal(err)
	}
	admit := func(what string, operation int) {
		inv := newInvocation(what)
		inv.Operation = operation
		resp, req := d.Admit(inv)
		say(tr, what, resp, req, d)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
	}
	quiet := []float64{0.1, 0, 0.1, 1}
	d.Tick(quiet)
	admit("full service: look", 0)
	d.Tick([]float64{1, 30, 0.1, 1}) // 15 a core
	r, _ := d.DegradationStatus()
	tr.Say("level %s, %d changes", r.Level, len(r.Changes))
	d.Tick(quiet) // the module admits again; the level stays
	d.Tick(quiet)
	fakes.Until(t, "the queue has drained", func() bool {
		d.Tick(quiet)
		inv := newInvocation(fmt.Sprint("p", Now()))
		inv.Operation, inv.CallerLeft = 1, leftCaller
		resp, req := d.Admit(inv)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
		return resp.Verdict != Throttled
	})
	admit("look", 0)
	admit("post", 1)
	tr.Say("%v", d.OverrideLevel("nothing", time.Second, "test", false))
	tr.Say("%v", d.OverrideLevel("full", time.Minute, "test", false))
	d.Tick(quiet)
	admit("held at full service: look", 0)
	tr.Say("%v", d.OverrideLevel("half", time.Minute, "test", false))
	d.Tick(quiet)
	shed := 0
	for n := range 100 {
		inv := newInvocation(fmt.Sprint("h", n))
		inv.Operation = 1
		resp, req := d.Admit(inv)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
		if resp.Verdict == Throttled {
			shed++
		}
	}
	d.Drain(5_000_000, 300_000) // under a level: what is not shed runs on through the grace
	admit("draining: look", 0)
	r, _ = d.DegradationStatus()
	tr.Say("%s: %t of a hundred are shed", r.Level, shed >= 49 && shed <= 51)
}
