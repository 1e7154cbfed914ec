package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestQuotaUnitIsRefundedUnlessRun: work that is throttled, that the executor never ran or does not know, or whose caller left
// before its start, gets its unit refunded; what ran does not.
func TestQuotaUnitIsRefundedUnlessRun(t *testing.T) {
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

// TestShedRequestAcquiresNoUnit: a request that a level sheds acquires no unit of its tenant's budget.
func TestShedRequestAcquiresNoUnit(t *testing.T) {
	d := withQuota(t, open(t))
	shedSecondOperation(t, d)
	inv := newInvocation("a")
	inv.Operation = 1
	d.Admit(inv)
	if s := d.QuotaStatus()[0]; s.Drawn != 0 || s.Denied != 0 {
		t.Errorf("%d acquired, %d denied", s.Drawn, s.Denied)
	}
	inv = newInvocation("b")
	inv.Tenant = 1 << 20 // beyond the deployment's tenants
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("an unknown tenant's standing is %v", standing)
	}
	inv.Tenant = -1
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("no tenant's standing is %v", standing)
	}
}

// TestBudgetOfUnknownTenantIsRefused: a budget of a tenant that the deployment lacks is refused.
func TestBudgetOfUnknownTenantIsRefused(t *testing.T) {
	d := withQuota(t, open(t))
	err := d.SetQuotas(QuotaConfig{Holder: d.quotas.holder, Tenants: map[string]string{"nobody": "b"}})
	const want = "draw: map[nobody:b] has a tenant that the deployment does not have; its tenants are [acme zenith]"
	if unknown := (*UnknownTenantError)(nil); !errors.As(err, &unknown) || err.Error() != want {
		t.Errorf("%v, wanted %s", err, want)
	}
}

// TestUseIsLoggedBeforeRelease: what was acquired until the release is recorded before it.
func TestUseIsLoggedBeforeRelease(t *testing.T) {
	d := withQuota(t, open(t))
	var records strings.Builder
	d.quotas.machineClock = func() monotime.Micros { return 7 }
	d.quotas.log = quotalog.New(&records, 5, 0)
	_, req := d.Admit(newInvocation("a"))
	d.Complete(req, RunSucceeded, nil)
	d.ReleaseQuotas()
	if want := "clock 5 0\ndrew 5 7 b 1\nhave 7 b 1 0 0 0\n"; records.String() != want {
		t.Errorf("got\n%swanted\n%s", records.String(), want)
	}
}
