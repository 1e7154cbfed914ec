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

// The unit of a request is refunded if the request was throttled, or if the executor did not start it or does not know
// its operation, but not if it ran. A repeat acquires no unit.
func TestQuotaUnitIsRefundedUnlessRun(t *testing.T) {
	d := withQuota(t, open(t))
	for n := range 8 { // more than there are units
		big := newInvocation(fmt.Sprint("big", n))
		big.MemoryKB = 1 << 40 // more than the host has
		if resp, _ := d.Admit(big); resp.Verdict != Throttled {
			t.Fatalf("%s: verdict %d", big.ID, resp.Verdict)
		}
	}
	if status := d.QuotaStatus()[0]; status.Drawn != 1 || status.Denied != 0 {
		t.Fatalf("eight throttled requests: %d acquired, %d denied; want 1, 0", status.Drawn, status.Denied)
	}

	d = withQuota(t, open(t))
	for n, outcome := range []Outcome{RunSucceeded, NeverRan, Unrunnable, RunErrored, NeverRan} {
		resp, req := d.Admit(newInvocation(fmt.Sprint("run", n)))
		if resp.Verdict != Admitted {
			t.Fatalf("run %d: verdict %d", n, resp.Verdict)
		}
		d.Complete(req, outcome, nil)
	}
	if status := d.QuotaStatus()[0]; status.Drawn != 3 || status.Denied != 0 {
		t.Fatalf("two requests of five ran: %d acquired, %d denied; want 3, 0", status.Drawn, status.Denied)
	}

	d = withQuota(t, openKeyed(t, "5000", nil))
	_, first := d.Admit(keyedInvocation("a", "x"))
	waiting := admitAsync(t, d, keyedInvocation("b", "x"))
	if status := d.QuotaStatus()[0]; status.Drawn != 1 {
		t.Errorf("a request and its waiting repeat: %d acquired, want 1", status.Drawn)
	}
	d.Complete(first, RunSucceeded, nil)
	fakes.Take(t, "the response of the repeat", waiting)
}

// A request that a level sheds acquires no unit, and neither does a request of an unknown tenant.
func TestShedRequestAcquiresNoUnit(t *testing.T) {
	d := withQuota(t, open(t))
	shedSecondOperation(t, d)
	inv := newInvocation("a")
	inv.Operation = 1
	d.Admit(inv)
	if s := d.QuotaStatus()[0]; s.Drawn != 0 || s.Denied != 0 {
		t.Errorf("a shed request: %d acquired, %d denied; want 0, 0", s.Drawn, s.Denied)
	}
	inv = newInvocation("b")
	inv.Tenant = 1 << 20 // beyond the deployment's tenants
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("a tenant index out of range: standing %v", standing)
	}
	inv.Tenant = -1
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("a negative tenant index: standing %v", standing)
	}
}

// A budget for a tenant that the deployment does not have is rejected.
func TestBudgetOfUnknownTenantIsRefused(t *testing.T) {
	d := withQuota(t, open(t))
	err := d.SetQuotas(QuotaConfig{Holder: d.quotas.holder, BudgetByTenant: map[string]string{"nobody": "b"}})
	const want = "quota: map[nobody:b] names a tenant that the deployment does not have; its tenants are [acme zenith]"
	if unknown := (*UnknownTenantError)(nil); !errors.As(err, &unknown) || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

// ReleaseQuotas records the acquired units before it records the release.
func TestUseIsLoggedBeforeRelease(t *testing.T) {
	d := withQuota(t, open(t))
	var records strings.Builder
	d.quotas.machineClock = func() monotime.Micros { return 7 }
	d.quotas.log = quotalog.New(&records, 5, 0)
	_, req := d.Admit(newInvocation("a"))
	d.Complete(req, RunSucceeded, nil)
	d.ReleaseQuotas()
	if want := "clock 5 0\ndrew 5 7 b 1\nhave 7 b 1 0 0 0\n"; records.String() != want {
		t.Errorf("got\n%swant\n%s", records.String(), want)
	}
}
