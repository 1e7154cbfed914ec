package degradation

import (
	"testing"

	"milletbarrow/monotime"
)

// widelySpacedPolicy has thresholds so far apart that signals can reach collapseFactor times the entry threshold of one
// level without meeting the entry condition of the next.
const widelySpacedPolicy = `(degradation widely-spaced
	(change-interval 60s) (recovery-ramp 0s) (smoothing (queue 0s) (late 0s))
	(level a (shed) (enter (queue 1)) (exit (queue 0.5)))
	(level b (shed) (enter (all (queue 4) (retries 0))) (exit (queue 2)))
	(level c (shed) (enter (late 0.5)) (exit (late 0.2))))`

// newRecentlyChangedController returns a controller of widelySpacedPolicy at its first level, which has just left the
// stronger ones, and the time at which it left them.
func newRecentlyChangedController(t *testing.T) (c *Controller, now monotime.Micros) {
	t.Helper()
	c = NewController(mustParse(t, widelySpacedPolicy))
	for _, level := range []int{3, 1} {
		now += second
		if err := c.Override(now, level, now+100*second, "operator", false); err != nil {
			t.Fatal(err)
		}
		if change, changed := c.Update(now, queueSignals(1)); !changed || change.To != level {
			t.Fatalf("override of level %d: changed %t, %v", level, changed, change)
		}
	}
	c.ClearOverride()
	return c, now
}

// TestCollapseSkipsChangeInterval checks that a level is entered within ChangeInterval only in a collapse: the signals
// call for a level beyond the next, or reach collapseFactor times an entry threshold of the next.
func TestCollapseSkipsChangeInterval(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue float64
		late  float64
		want  int // level; 1: unchanged
	}{
		{name: "entry threshold of the next level", queue: 4, want: 1},
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
				t.Errorf("changed %t, %v; want level %d", changed, change, test.want)
			}
		})
	}
}
