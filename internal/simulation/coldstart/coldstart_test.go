package coldstart

import (
	"reflect"
	"testing"
)

// TestRun: one seed gives one result; the cold start brings all backends up and spares the dependency, which all starts
// at once never get past; no more start at once than the policy allows.
func TestRun(t *testing.T) {
	const n = 330
	run := func(p Policy) *Result {
		c, err := Run(Default(n), p, 3)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	up := run(Policy{MaxStarting: -40})
	if again := run(Policy{MaxStarting: -40}); !reflect.DeepEqual(up, again) {
		t.Error("one seed gave two results")
	}
	if up.Ready != n || up.DependencyCollapses > 1 || up.PeakStarting > 40 || up.Collapses > 0 || up.Listed != n {
		t.Errorf("cold start: %+v", up)
	}
	if all := run(Policy{FixedReports: true}); all.DependencyCollapses == 0 || all.Ready == n {
		t.Errorf("all starts at once spare the dependency: %+v", all)
	}
	if one := run(Policy{MaxStarting: 3}); one.PeakStarting != 3 || one.DependencyCollapses > 0 {
		t.Errorf("three concurrent starts: %+v", one)
	}
}
