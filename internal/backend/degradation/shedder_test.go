package degradation

import (
	"errors"
	"math"
	"testing"

	"milletbarrow/monotime"
)

// Operations of a deployment for billsPolicy, in the order of their indices.
const (
	reprint = iota
	lookup
	pay
)

// newBillsShedder returns the shedder of billsPolicy.
func newBillingShedder(t tester) *Shedder {
	t.Helper()
	return mustMakeShedder(t, billingPolicy, []string{"reprint", "lookup", "pay"}, []string{"acme"}, 7)
}

// TestShedRequestsFollowTheFraction checks that the number of requests shed is within one of the fraction at any time,
// and that chance decides which.
func TestShedRequestsFollowTheFraction(t *testing.T) {
	const requests = 100_000
	shedder := newBillingShedder(t)
	shed, repeats := 0, 0
	last := false
	for n := 1; n <= requests; n++ {
		now := shedder.ShouldShed(2, 1, lookup, 0, 0.9, 0)
		if now {
			shed++
		}
		if n > 1 && now == last {
			repeats++
		}
		last = now
		if behind := math.Abs(float64(n)/2 - float64(shed)); behind > 1 {
			t.Fatalf("%d of %d requests are shed", shed, n)
		}
	}
	if repeats < requests/5 { // mere alternation would shed each request of a caller that sends every second one
		t.Errorf("the same decision twice in a row %d times in %d", repeats, requests)
	}
}

// TestShedFractionOfLevels checks which fraction of which operation each level sheds, and that requests that no rule
// names are not shed.
func TestShedFractionOfLevels(t *testing.T) {
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
		{"operation that is not named", 1, lookup, 1, 0, 0},
		{"rule of a milder level", 2, reprint, 1, 0.9, 1},
		{"rank below", 3, pay, 1, 0.4, 1},
		{"rank above", 3, pay, 1, 0.6, 0},
		{"milder level at full depth", 3, lookup, 0.2, 0.9, 0.5},
		{"depth on the recovery ramp", 3, pay, 0.3, 0.1, 0.3},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := shedder.ShedFraction(test.level, test.depth, test.operation, 0, test.rank, 0)
			if math.Abs(got-test.want) > 1e-9 {
				t.Errorf("fraction %v, want %v", got, test.want)
			}
		})
	}
}

func TestShouldShedDoesNotAllocate(t *testing.T) {
	shedder := newBillingShedder(t)
	if n := testing.AllocsPerRun(1000, func() { shedder.ShouldShed(3, 0.5, lookup, 0, 0.7, 0) }); n != 0 {
		t.Errorf("%v allocations a decision", n)
	}
}

// TestTenantRuleSparesOtherTenants checks that a rule that names a tenant sheds no request of another.
func TestTenantRuleSparesOtherTenants(t *testing.T) {
	const policy = `(ladder b
		(level no-excess (shed (tenants loud) (share 0.8)) (enter (queue 2)) (exit (queue 1))))`
	shedder := mustMakeShedder(t, policy, []string{"look"}, []string{"calm", "loud"}, 3)
	shed := [2]int{} // by tenant
	for range 1000 {
		for tenant := range shed {
			if shedder.ShouldShed(1, 1, 0, tenant, 0.5, 0) {
				shed[tenant]++
			}
		}
	}
	if shed[0] != 0 || shed[1] < 799 || shed[1] > 801 {
		t.Errorf("of 1000 requests each, %d and %d are shed", shed[0], shed[1])
	}
}

// TestRuleMatchBounds checks where each condition of a rule begins to match.
func TestRuleMatchBounds(t *testing.T) {
	const calm, loud, unnamed = 0, 1, 2 // tenants
	const costAbove = 50 * monotime.Millisecond
	const policy = `(ladder l (level a
		(shed (tenants loud) (rank-below 0.5) (cost-above 50ms) (share 0.8))
		(enter (queue 2)) (exit (queue 1))))`
	shedder := mustMakeShedder(t, policy, []string{"look"}, []string{"calm", "loud"}, 1)
	for _, test := range []struct {
		name   string
		tenant int
		rank   float64
		cost   monotime.Micros
		depth  float64
		want   float64
	}{
		{"all match", loud, 0.49, costAbove, 1, 0.8},
		{"half depth", loud, 0.49, costAbove, 0.5, 0.4},
		{"another tenant", calm, 0.49, costAbove, 1, 0},
		{"tenant beyond those named", unnamed, 0.49, costAbove, 1, 0},
		{"rank at the bound", loud, 0.5, costAbove, 1, 0},
		{"cost below the bound", loud, 0.49, costAbove - 1, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := shedder.ShedFraction(1, test.depth, 0, test.tenant, test.rank, test.cost)
			if got != test.want {
				t.Errorf("fraction %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnknownNamesAreRefused checks that a rule with an operation or a tenant that the deployment lacks is refused with
// the level and the name.
func TestUnknownNamesAreRefused(t *testing.T) {
	policy := mustParse(t, `(ladder l (level a
		(shed (operations look) (tenants loud)) (enter (queue 2)) (exit (queue 1))))`)
	for _, test := range []struct {
		operations []string
		tenants    []string
		want       UnknownNameError
	}{
		{nil, []string{"loud"}, UnknownNameError{Level: "a", Kind: "operation", Name: "look"}},
		{[]string{"look"}, []string{"calm"}, UnknownNameError{Level: "a", Kind: "tenant", Name: "loud"}},
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
