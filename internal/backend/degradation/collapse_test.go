package degradation

import (
	"testing"

	"milletbarrow/monotime"
)

// steepPolicy has levels so far apart that a collapse of one level is not met by the entry of the level above it.
const widelySpacedPolicy = `(ladder steep (every 60s) (ramp 0s) (smooth (queue 0s) (late 0s))
	(level a (shed) (enter (queue 1)) (exit (queue 0.5)))
	(level b (shed) (enter (all (queue 4) (retries 0))) (exit (queue 2)))
	(level c (shed) (enter (late 0.5)) (exit (late 0.2))))`

// recentlyChanged returns a controller of steepPolicy at the first level whose stronger levels were just left, and the
// time of that.
func newRecentlyChangedController(t *testing.T) (c *Controller, now monotime.Micros) {
	t.Helper()
	c = NewController(mustParse(t, widelySpacedPolicy))
	for _, level := range []int{3, 1} {
		now += second
		if err := c.Override(now, level, now+100*second, "test", false); err != nil {
			t.Fatal(err)
		}
		if change, changed := c.Update(now, queueSignals(1)); !changed || change.To != level {
			t.Fatalf("%v", change)
		}
	}
	c.ClearOverride()
	return c, now
}

// TestCollapseSkipsChangeInterval checks that a change within ChangeInterval needs a collapse: a level beyond the next,
// or collapseFactor times the next entry.
func TestCollapseSkipsChangeInterval(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue float64
		late  float64
		want  int // level; 1: no change
	}{
		{name: "next entry", queue: 4, want: 1},
		{name: "just below a collapse", queue: 5.9, want: 1},
		{name: "collapse", queue: 6, want: 2},
		{name: "level beyond the next", queue: 1, late: 0.5, want: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, now := newRecentlyChangedController(t)
			signals := queueSignals(test.queue)
			signals[Late] = test.late
			signals[Retries] = 0
			change, changed := c.Update(now+second, signals)
			if changed != (test.want > 1) || changed && (change.To != test.want || !change.Collapse) {
				t.Errorf("changed %t, %v", changed, change)
			}
		})
	}
}
