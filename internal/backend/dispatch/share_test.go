package dispatch

import (
	"fmt"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/fakes"
)

// drawing is a gate whose first tenant has four units, and no more: its clock stands.
func drawing(t *testing.T, g *Gate) *Gate {
	h := quota.New("n", "1", []string{"b"})
	now := quota.Micros(1)
	a := h.Ask(now)
	if err := h.Answer(now, quota.Answer{Name: "n", Life: "1", Number: a.Number, Parts: []quota.Part{{Budget: "b", Epoch: 1, Floor: 4, Lease: 1}}}); err != nil {
		t.Fatal(err)
	}
	now += 2_000_000
	if err := g.Share(Sharing{Holder: h, Tenants: map[string]string{g.sheet.Tenants[0]: "b"}, Clock: func() quota.Micros { return now }}); err != nil {
		t.Fatal(err)
	}
	return g
}

// TestUnitsBack: work that is throttled, that the farm never ran or does not know, or whose caller left before its launch, gives its unit back; what ran keeps it.
func TestUnitsBack(t *testing.T) {
	g := drawing(t, open(t))
	for n := range 8 { // more than there are units
		big := usual(fmt.Sprint("big", n))
		big.KB = 1 << 40 // nothing can hold it
		if w, _ := g.Pick(big); w.Verdict != Throttled {
			t.Fatalf("%s: verdict %d", big.ID, w.Verdict)
		}
	}
	if v := g.Shares()[0]; v.Drawn != 1 || v.Denied != 0 {
		t.Fatalf("one unit went round eight times: %d drawn, %d denied", v.Drawn, v.Denied)
	}

	g = drawing(t, open(t))
	for n, end := range []End{RunSucceeded, NeverRan, Unrunnable, RunErrored, NeverRan} {
		w, ticket := g.Pick(usual(fmt.Sprint("run", n)))
		if w.Verdict != Run {
			t.Fatalf("run %d: verdict %d", n, w.Verdict)
		}
		g.Report(ticket, end, nil)
	}
	if v := g.Shares()[0]; v.Drawn != 3 || v.Denied != 0 {
		t.Fatalf("two ran and the third unit came back: %d drawn, %d denied", v.Drawn, v.Denied)
	}

	g = drawing(t, openTokened(t, "5000", nil))
	_, first := g.Pick(tokened("a", "x"))
	waits := repeat(t, g, tokened("b", "x"))
	if v := g.Shares()[0]; v.Drawn != 1 {
		t.Errorf("a repeat that waits: %d drawn", v.Drawn)
	}
	g.Report(first, RunSucceeded, nil)
	fakes.Take(t, "its word", waits)
}
