package degradation

import (
	"errors"
	"math"
	"testing"

	"milletbarrow/monotime"
)

// Indices of the operations of the deployment that billingPolicy is for.
const (
	reprint = iota
	lookup
	pay
)

// newBillingShedder returns the shedder of billingPolicy.
func newBillingShedder(t tester) *Shedder {
	t.Helper()
	return mustMakeShedder(t, billingPolicy, []string{"reprint", "lookup", "pay"}, []string{"acme"}, 7)
}

// TestShedRequestsFollowTheFraction checks that the number of requests shed is within one of the exact fraction at any
// time, and that which requests are shed is random.
func TestShedRequestsFollowTheFraction(t *testing.T) {
	const requests = 100_000
	shedder := newBillingShedder(t)
	shed, repeats := 0, 0
	previous := false
	for n := 1; n <= requests; n++ {
		decision := shedder.ShouldShed(2, 1, lookup, 0, 0.9, 0)
		if decision {
			shed++
		}
		if n > 1 && decision == previous {
			repeats++
		}
		previous = decision
		if deviation := math.Abs(float64(n)/2 - float64(shed)); deviation > 1 {
			t.Fatalf("%d of %d requests shed, want half of them", shed, n)
		}
	}
	if repeats < requests/5 { // strict alternation would shed all requests of a caller that sends every second one
		t.Errorf("%d of %d decisions equal the previous one, want at least a fifth", repeats, requests)
	}
}

// TestShedFractionByLevelAndRequest checks the fraction that each level sheds of each operation, and that requests that
// match no rule are not shed.
func TestShedFractionByLevelAndRequest(t *testing.T) {
	shedder := newBillingShedder(t)
	for _, test := range []struct {
		name      string
		level     int
		operation int
		depth     float64
		rank      float64
		want      float64
	}{
		{"full service", 0, reprint, 1, 0, 0},
		{"named operation", 1, reprint, 1, 0.9, 1},
		{"operation without a rule", 1, lookup, 1, 0, 0},
		{"rule of a milder level", 2, reprint, 1, 0.9, 1},
		{"priority below the bound", 3, pay, 1, 0.4, 1},
		{"priority above the bound", 3, pay, 1, 0.6, 0},
		{"rule of a milder level during the ramp", 3, lookup, 0.2, 0.9, 0.5},
		{"rule of the level during the ramp", 3, pay, 0.3, 0.1, 0.3},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := shedder.ShedFraction(test.level, test.depth, test.operation, 0, test.rank, 0)
			if math.Abs(got-test.want) > 1e-9 {
				t.Errorf("fraction %v, want %v", got, test.want)
			}
		})
	}
}

// TestShouldShedDoesNotAllocate checks that a decision, which every arrival requires, allocates no memory.
func TestShouldShedDoesNotAllocate(t *testing.T) {
	shedder := newBillingShedder(t)
	if n := testing.AllocsPerRun(1000, func() { shedder.ShouldShed(3, 0.5, lookup, 0, 0.7, 0) }); n != 0 {
		t.Errorf("%v allocations per decision, want 0", n)
	}
}

// TestTenantRuleShedsNoOtherTenant checks that a rule for one tenant sheds no request of another.
func TestTenantRuleShedsNoOtherTenant(t *testing.T) {
	const policy = `(degradation d
		(level no-excess (shed (tenants noisy) (share 0.8)) (enter (queue 2)) (exit (queue 1))))`
	shedder := mustMakeShedder(t, policy, []string{"lookup"}, []string{"quiet", "noisy"}, 3)
	shed := [2]int{} // by tenant
	for range 1000 {
		for tenant := range shed {
			if shedder.ShouldShed(1, 1, 0, tenant, 0.5, 0) {
				shed[tenant]++
			}
		}
	}
	if shed[0] != 0 || shed[1] < 799 || shed[1] > 801 {
		t.Errorf("of 1000 requests each, %d and %d were shed, want 0 and 800", shed[0], shed[1])
	}
}

// TestRuleMatchesWithinItsBounds checks each bound of a rule: tenant, priority and expected work.
func TestRuleMatchesWithinItsBounds(t *testing.T) {
	const quiet, noisy, unknown = 0, 1, 2 // tenants
	const costAbove = 50 * monotime.Millisecond
	const policy = `(degradation d (level a
		(shed (tenants noisy) (priority-below 0.5) (cost-above 50ms) (share 0.8))
		(enter (queue 2)) (exit (queue 1))))`
	shedder := mustMakeShedder(t, policy, []string{"lookup"}, []string{"quiet", "noisy"}, 1)
	for _, test := range []struct {
		name   string
		tenant int
		rank   float64
		cost   monotime.Micros
		depth  float64
		want   float64
	}{
		{"all fields match", noisy, 0.49, costAbove, 1, 0.8},
		{"half depth", noisy, 0.49, costAbove, 0.5, 0.4},
		{"another tenant", quiet, 0.49, costAbove, 1, 0},
		{"tenant index beyond the names", unknown, 0.49, costAbove, 1, 0},
		{"priority at the bound", noisy, 0.5, costAbove, 1, 0},
		{"expected work below the bound", noisy, 0.49, costAbove - 1, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := shedder.ShedFraction(1, test.depth, 0, test.tenant, test.rank, test.cost)
			if got != test.want {
				t.Errorf("fraction %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnknownNamesAreRefused checks that a rule for an operation or a tenant that the deployment does not have is
// refused with an error that has the level and the name.
func TestUnknownNamesAreRefused(t *testing.T) {
	policy := mustParse(t, `(degradation d (level a
		(shed (operations lookup) (tenants noisy)) (enter (queue 2)) (exit (queue 1))))`)
	for _, test := range []struct {
		operations []string
		tenants    []string
		want       UnknownNameError
	}{
		{nil, []string{"noisy"}, UnknownNameError{Level: "a", Kind: "operation", Name: "lookup"}},
		{[]string{"lookup"}, []string{"quiet"}, UnknownNameError{Level: "a", Kind: "tenant", Name: "noisy"}},
	} {
		t.Run(test.want.Kind, func(t *testing.T) {
			_, err := NewShedder(policy, test.operations, test.tenants, 1)
			if unknown := (*UnknownNameError)(nil); !errors.As(err, &unknown) || *unknown != test.want {
				t.Errorf("error %v, want %v", err, &test.want)
			}
		})
	}
}

func BenchmarkShouldShed(b *testing.B) {
	shedder := newBillingShedder(b)
	b.ReportAllocs()
	for b.Loop() {
		shedder.ShouldShed(3, 0.5, lookup, 0, 0.7, 0)
	}
}
