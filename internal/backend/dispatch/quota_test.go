package dispatch

import (
	"fmt"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// withQuota gives the first tenant of a dispatcher four units, and no more: its clock stands.
func withQuota(t *testing.T, d *Dispatcher) *Dispatcher {
	h := quota.New("n", "1", []string{"b"})
	now := monotime.Micros(1)
	a := h.NewRequest(now)
	if err := h.Apply(now, quota.LeaseResponse{Name: "n", Incarnation: "1", Number: a.Number, Grants: []quota.Grant{{Budget: "b", Epoch: 1, Floor: 4, Lease: 1}}}); err != nil {
		t.Fatal(err)
	}
	now += 2_000_000
	if err := d.SetQuotas(QuotaConfig{Holder: h, Tenants: map[string]string{d.settings.Tenants[0]: "b"}, Clock: func() monotime.Micros { return now }}); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestQuotaUnitsRefunded: work that is throttled, that the executor never ran or does not know, or whose caller left
// before its start, gets its unit refunded; what ran does not.
func TestQuotaUnitsRefunded(t *testing.T) {
	d := withQuota(t, open(t))
	for n := range 8 { // more than there are units
		big := newInvocation(fmt.Sprint("big", n))
		big.MemoryKB = 1 << 40 // nothing can hold it
		if resp, _ := d.Admit(big); resp.Verdict != Throttled {
			t.Fatalf("%s: verdict %d", big.ID, resp.Verdict)
		}
	}
	if v := d.QuotaStatus()[0]; v.Drawn != 1 || v.Denied != 0 {
		t.Fatalf("one unit went round eight times: %d acquired, %d denied", v.Drawn, v.Denied)
	}

	d = withQuota(t, open(t))
	for n, end := range []Outcome{RunSucceeded, NeverRan, Unrunnable, RunErrored, NeverRan} {
		resp, req := d.Admit(newInvocation(fmt.Sprint("run", n)))
		if resp.Verdict != Admitted {
			t.Fatalf("run %d: verdict %d", n, resp.Verdict)
		}
		d.Complete(req, end, nil)
	}
	if v := d.QuotaStatus()[0]; v.Drawn != 3 || v.Denied != 0 {
		t.Fatalf("two ran and the third unit came back: %d acquired, %d denied", v.Drawn, v.Denied)
	}

	d = withQuota(t, openKeyed(t, "5000", nil))
	_, first := d.Admit(keyedInvocation("a", "x"))
	waiting := repeat(t, d, keyedInvocation("b", "x"))
	if v := d.QuotaStatus()[0]; v.Drawn != 1 {
		t.Errorf("a repeat that waits: %d acquired", v.Drawn)
	}
	d.Complete(first, RunSucceeded, nil)
	fakes.Take(t, "its response", waiting)
}
