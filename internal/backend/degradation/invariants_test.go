package degradation

import (
	"errors"
	"math"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// steep has levels far enough apart that the next entry's collapse is not met by the level above it.
const steep = `(ladder steep (every 60s) (ramp 0s) (smooth (queue 0s) (late 0s))
	(level a (shed) (enter (queue 1)) (exit (queue 0.5)))
	(level b (shed) (enter (all (queue 4) (retries 0))) (exit (queue 2)))
	(level c (shed) (enter (late 0.5)) (exit (late 0.2))))`

// recentlyChanged is a controller at the first level whose higher levels were left a moment ago, and the time of that.
func recentlyChanged(t *testing.T) (*Controller, monotime.Micros) {
	t.Helper()
	c := NewController(policyOf(t, steep))
	for at, level := range []int{3, 1} {
		now := monotime.Micros(at+1) * second
		if err := c.Override(now, level, now+100*second, "test", false); err != nil {
			t.Fatal(err)
		}
		if change, changed := c.Update(now, queued(1)); !changed || change.To != level {
			t.Fatalf("%v", change)
		}
	}
	c.ClearOverride()
	return c, 2 * second
}

// TestCollapse: a change within ChangeInterval needs a collapse: a level beyond the next, or half again the next entry.
func TestCollapse(t *testing.T) {
	for _, row := range []struct {
		name        string
		queue, late float64
		to          int // 1: none
	}{
		{"the next entry", 4, 0, 1}, {"almost half again", 5.9, 0, 1}, {"half again", 6, 0, 2}, {"two levels", 1, 0.5, 3},
	} {
		c, now := recentlyChanged(t)
		s := queued(row.queue)
		s[Late], s[Retries] = row.late, 0
		change, changed := c.Update(now+second, s)
		if changed != (row.to > 1) || changed && (change.To != row.to || !change.Collapse) {
			t.Errorf("%s: changed %t, %v", row.name, changed, change)
		}
	}
}

// TestControllerClockBack: a reading that is no later than the last one changes nothing.
func TestControllerClockBack(t *testing.T) {
	c := NewController(policyOf(t, bills))
	c.Update(10*second, queued(1))
	for _, at := range []monotime.Micros{10 * second, 9 * second, 1} {
		if c.Update(at, queued(9)); c.Smoothed()[Queue] != 1 || c.lastUpdate != 10*second {
			t.Errorf("at %d: queue %v, last update at %d", at, c.Smoothed()[Queue], c.lastUpdate)
		}
	}
}

// TestGap: after a gap in the readings smoothing starts anew, and so do the times for which terms have held.
func TestGap(t *testing.T) {
	c := NewController(policyOf(t, bills))
	c.Update(second, queued(1.6))
	if change, changed := c.Update(10*second, queued(9)); changed || c.Smoothed()[Queue] != 9 {
		t.Errorf("after the gap: queue %v, %v", c.Smoothed()[Queue], change)
	}
	if _, changed := c.Update(12*second, queued(9)); !changed {
		t.Error("the entry's time after the gap is over")
	}
}

// TestMinDuration: a level is in force for its least time though its exit is met and changes are allowed more often.
func TestMinDuration(t *testing.T) {
	c := NewController(policyOf(t, `(ladder l (every 1s) (ramp 0s) (smooth (queue 0s))
		(level a (shed) (enter (queue 2)) (exit (queue 1)) (stay 60s)))`))
	c.Update(second, queued(2))
	for now := 2 * second; now < 61*second; now += second {
		if change, changed := c.Update(now, queued(0)); changed {
			t.Fatalf("at %d: %v", now, change)
		}
	}
	if _, changed := c.Update(61*second, queued(0)); !changed {
		t.Error("the level is not left after its least time")
	}
}

// TestRecoveryAborted: a level is not left any more once a signal of its exit is missing.
func TestRecoveryAborted(t *testing.T) {
	c := NewController(policyOf(t, `(ladder l (every 1s) (ramp 20s) (smooth (queue 0s))
		(level a (shed) (enter (queue 2)) (exit (queue 1)) (stay 1s)))`))
	c.Update(second, queued(2))
	now := 2 * second
	for ; now <= 12*second; now += second {
		c.Update(now, queued(0))
	}
	if depth := c.Depth(now); depth <= 0 || depth >= 1 {
		t.Fatalf("depth %v on the ramp", depth)
	}
	for ; now < 60*second; now += second {
		if change, changed := c.Update(now, queued(Missing)); changed || c.Depth(now) != 1 {
			t.Fatalf("at %d: depth %v, %v", now, c.Depth(now), change)
		}
	}
}

// TestOverrideBounds: an override names a level of the policy and ends in the future, within MaxOverride.
func TestOverrideBounds(t *testing.T) {
	c := NewController(policyOf(t, bills))
	now := 100 * second
	for _, row := range []struct {
		level int
		until monotime.Micros
		ok    bool
	}{
		{-1, now + second, false}, {0, now + second, true}, {3, now + second, true}, {4, now + second, false},
		{1, now - 1, false}, {1, now, false}, {1, now + 600*second, true}, {1, now + 600*second + 1, false},
	} {
		err := c.Override(now, row.level, row.until, "test", false)
		if overrideErr := (*OverrideError)(nil); (err == nil) != row.ok || !row.ok && !errors.As(err, &overrideErr) {
			t.Errorf("%+v: %v", row, err)
		}
	}
}

// TestRuleBounds: where each condition of a rule begins to match.
func TestRuleBounds(t *testing.T) {
	shedder, err := NewShedder(policyOf(t, `(ladder l (level a (shed (tenants loud) (rank-below 0.5) (cost-above 50ms) (share 0.8))
		(enter (queue 2)) (exit (queue 1))))`), []string{"look"}, []string{"calm", "loud"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		tenant int
		rank   float64
		cost   monotime.Micros
		depth  float64
		want   float64
	}{
		{1, 0.49, 50_000, 1, 0.8}, {1, 0.49, 50_000, 0.5, 0.4}, {0, 0.49, 50_000, 1, 0}, {2, 0.49, 50_000, 1, 0},
		{1, 0.5, 50_000, 1, 0}, {1, 0.49, 49_999, 1, 0},
	} {
		if got := shedder.ShedFraction(1, row.depth, 0, row.tenant, row.rank, row.cost); got != row.want {
			t.Errorf("%+v: %v", row, got)
		}
	}
}

// TestMeteredSignals: fractions of too few events are missing, as are gauges that are unknown or below 0.
func TestMeteredSignals(t *testing.T) {
	m := NewSignalMeter(2)
	m.SetWarmingUntil(2 * second)
	for range 3 {
		m.Count(second, Arrivals)
	}
	m.Count(second, Rejections)
	s := m.Signals(second, -1, 0.5, 0.25, true)
	if !math.IsNaN(s[Rejected]) || !math.IsNaN(s[Queue]) || s[Cores] != 0.5 || s[Memory] != 0.25 || s[WarmingUp] != 1 || s[Unknown] != 0 {
		t.Errorf("three arrivals: %v", s)
	}
	m.Count(second, Arrivals)
	m.SetDraining()
	if s = m.Signals(second, 3, 0.5, 0.25, true); s[Rejected] != 0.25 || s[Queue] != 1.5 || s[Draining] != 1 {
		t.Errorf("four arrivals: %v", s)
	}
	s = m.Signals(2*second, 3, 0.5, 0.25, false)
	if !math.IsNaN(s[Queue]) || !math.IsNaN(s[Cores]) || !math.IsNaN(s[Memory]) || s[Unknown] != 1 || s[WarmingUp] != 0 {
		t.Errorf("unknown gauges: %v", s)
	}
}

// TestTraceErrors: a line of a trace that cannot be read is named by file and number.
func TestTraceErrors(t *testing.T) {
	const known = "queue, cores, turned, hopeless, late, retries, memory, unknown, cold, draining"
	for _, row := range []struct{ text, want string }{
		{"; note\n5 queue=1\n5 queue=1\n", `t:3: time: found "5", wanted microseconds above those of the line before`},
		{"-1 queue=1\n", `t:1: time: found "-1", wanted microseconds above those of the line before`},
		{"x queue=1\n", `t:1: time: found "x", wanted microseconds above those of the line before`},
		{"\n1 load=1\n", `t:2: found "load=1", wanted SIGNAL=VALUE with a value from 0 to 1e+09; signals are ` + known},
		{"1 queue=-1\n", `t:1: found "queue=-1", wanted SIGNAL=VALUE with a value from 0 to 1e+09; signals are ` + known},
		{"1 queue=NaN\n", `t:1: found "queue=NaN", wanted SIGNAL=VALUE with a value from 0 to 1e+09; signals are ` + known},
		{"1 queue=2e9\n", `t:1: found "queue=2e9", wanted SIGNAL=VALUE with a value from 0 to 1e+09; signals are ` + known},
	} {
		_, err := ReadTrace("t", strings.NewReader(row.text))
		if traceErr := (*TraceError)(nil); !errors.As(err, &traceErr) || err.Error() != row.want {
			t.Errorf("%q: %v, wanted %s", row.text, err, row.want)
		}
	}
}

// TestUnknownNames: a rule of an operation or a tenant that the deployment lacks is refused, with the level and the name.
func TestUnknownNames(t *testing.T) {
	policy := policyOf(t, `(ladder l (level a (shed (operations look) (tenants loud)) (enter (queue 2)) (exit (queue 1))))`)
	for _, row := range []struct {
		operations, tenants []string
		want                UnknownNameError
	}{
		{nil, []string{"loud"}, UnknownNameError{Level: "a", Kind: "operation", Name: "look"}},
		{[]string{"look"}, []string{"calm"}, UnknownNameError{Level: "a", Kind: "tenant", Name: "loud"}},
	} {
		_, err := NewShedder(policy, row.operations, row.tenants, 1)
		if unknown := (*UnknownNameError)(nil); !errors.As(err, &unknown) || *unknown != row.want {
			t.Errorf("%v, wanted %v", err, &row.want)
		}
	}
}
