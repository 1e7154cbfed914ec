package coldstart

import (
	"reflect"
	"testing"
)

// TestCourses: one seed is one course; a rise brings all up and spares the service below that all at once never get past;
// no more start at once than may.
func TestCourses(t *testing.T) {
	const n = 330
	run := func(p Policy) *Course {
		c, err := Run(Default(n), p, 3)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	up := run(Policy{AtOnce: -40})
	if again := run(Policy{AtOnce: -40}); !reflect.DeepEqual(up, again) {
		t.Error("the same seed went two ways")
	}
	if up.Warm != n || up.BelowFell > 1 || up.Starting > 40 || up.Falls > 0 || up.Listed != n {
		t.Errorf("the rise: %+v", up)
	}
	if all := run(Policy{Steady: true}); all.BelowFell == 0 || all.Warm == n {
		t.Errorf("all at once spare the service below: %+v", all)
	}
	if one := run(Policy{AtOnce: 3}); one.Starting != 3 || one.BelowFell > 0 {
		t.Errorf("three at once: %+v", one)
	}
}
