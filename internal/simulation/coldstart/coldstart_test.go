package coldstart

import (
	"reflect"
	"testing"
)

// TestColdStartReadiesAllBackendsAndSparesDependency checks that a seed gives one result, that the cold start makes all
// backends ready with at most one collapse of the dependency, and that no more backends start at once than the policy
// allows. With all starts at once the dependency collapses, and some backends never become ready.
func TestColdStartReadiesAllBackendsAndSparesDependency(t *testing.T) {
	const n = 330
	run := func(p Policy) *Result {
		result, err := Run(Default(n), p, 3)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	coldStart := run(Policy{MaxStarting: -40})
	if again := run(Policy{MaxStarting: -40}); !reflect.DeepEqual(coldStart, again) {
		t.Error("two runs with the same seed differ")
	}
	if coldStart.Ready != n || coldStart.DependencyCollapses > 1 || coldStart.PeakStarting > 40 || coldStart.Collapses > 0 ||
		coldStart.Listed != n {
		t.Errorf("cold start: %+v", coldStart)
	}
	if unlimited := run(Policy{FixedReports: true}); unlimited.DependencyCollapses == 0 || unlimited.Ready == n {
		t.Errorf("unlimited concurrent starts did not overload the dependency: %+v", unlimited)
	}
	if limited := run(Policy{MaxStarting: 3}); limited.PeakStarting != 3 || limited.DependencyCollapses > 0 {
		t.Errorf("three concurrent starts: %+v", limited)
	}
}
