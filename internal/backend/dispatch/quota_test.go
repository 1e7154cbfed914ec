package dispatch

import (
	"fmt"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/fakes"
)

// drawing is a dispatcher whose first tenant has four units, and no more: its clock stands.
func drawing(t *testing.T, d *Dispatcher) *Dispatcher {
	h := quota.New("n", "1", []string{"b"})
	now := quota.Micros(1)
	a := h.NewRequest(now)
	if err := h.Apply(now, quota.LeaseResponse{Name: "n", Incarnation: "1", Number: a.Number, Grants: []quota.Grant{{Budget: "b", Epoch: 1, Floor: 4, Lease: 1}}}); err != nil {
		t.Fatal(err)
	}
	now += 2_000_000
	if err := d.SetQuotas(QuotaConfig{Holder: h, Tenants: map[string]string{d.sheet.Tenants[0]: "b"}, Clock: func() quota.Micros { return now }}); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestQuotaUnitsRefunded: work that is throttled, that the executor never ran or does not know, or whose caller left
// before its start, gets its unit refunded; what ran does not.
func TestQuotaUnitsRefunded(t *testing.T) {
	d := drawing(t, open(t))
	for n := range 8 { // more than there are units
		big := usual(fmt.Sprint("big", n))
		big.MemoryKB = 1 << 40 // nothing can hold it
		if w, _ := d.Admit(big); w.Verdict != Throttled {
			t.Fatalf("%s: verdict %d", big.ID, w.Verdict)
		}
	}
	if v := d.QuotaStatus()[0]; v.Drawn != 1 || v.Denied != 0 {
		t.Fatalf("one unit went round eight times: %d drawn, %d denied", v.Drawn, v.Denied)
	}

	d = drawing(t, open(t))
	for n, end := range []Outcome{RunSucceeded, NeverRan, Unrunnable, RunErrored, NeverRan} {
		w, ticket := d.Admit(usual(fmt.Sprint("run", n)))
		if w.Verdict != Admitted {
			t.Fatalf("run %d: verdict %d", n, w.Verdict)
		}
		d.Complete(ticket, end, nil)
	}
	if v := d.QuotaStatus()[0]; v.Drawn != 3 || v.Denied != 0 {
		t.Fatalf("two ran and the third unit came back: %d drawn, %d denied", v.Drawn, v.Denied)
	}

	d = drawing(t, openTokened(t, "5000", nil))
	_, first := d.Admit(tokened("a", "x"))
	waits := repeat(t, d, tokened("b", "x"))
	if v := d.QuotaStatus()[0]; v.Drawn != 1 {
		t.Errorf("a repeat that waits: %d drawn", v.Drawn)
	}
	d.Complete(first, RunSucceeded, nil)
	fakes.Take(t, "its word", waits)
}
