package degradation

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

const second monotime.Micros = 1_000_000

const bills = `(ladder bills (every 60s) (ramp 20s) (pins 10m) (smooth (queue 1s))
	(level no-reprints (shed (operations reprint)) (enter (any (queue 1.5 2s) (late 0.1 2s))) (exit (all (queue 1.1 10s) (late 0.05 10s))) (stay 60s))
	(level half-lookups (shed (operations lookup) (share 0.5)) (enter (queue 2 2s)) (exit (queue 1.4 10s)) (stay 60s))
	(level payments-only (shed (operations lookup)) (shed (rank-below 0.5)) (enter (queue 3 2s)) (exit (queue 1.8 10s)) (stay 60s)))`

func policyOf(t interface{ Fatal(...any) }, text string) *Policy {
	policy, err := ParsePolicy("ladder.sx", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

func queued(q float64) (s Signals) {
	for i := range s {
		s[i] = Missing
	}
	s[Queue], s[Late] = q, 0
	return s
}

// TestPolicies: how a policy is explained, and which faults are refused with which errors.
func TestPolicies(t *testing.T) {
	tr := fakes.NewTrace(t)
	tr.Say("%s", policyOf(t, bills).Explain())
	for _, text := range []string{
		"(ladder x)", "(steps x)", "(ladder x (level a))",
		"(ladder x (level a (shed) (enter (queue 1 1s)) (exit (queue 1 1s))))",
		"(ladder x (level a (shed) (enter (queue 1)) (exit (queue 0.95))))",
		"(ladder x (level a (shed) (enter (queue 1)) (exit (late 0.1))))",
		"(ladder x (level full (shed (share 2)) (enter (any (queue 1) (load 3))) (exit (queue 0.5 1y))))",
		"(ladder x (level a (shed) (enter (queue 2)) (exit (queue 1))) (level b (shed) (enter (queue 1.5)) (exit (queue 1))))",
		"(ladder x (level a (shed) (enter (cold 1)) (exit (cold 0.5))))",
	} {
		_, err := ParsePolicy("l", []byte(text))
		tr.Say("%s\n%v", text, err)
	}
	_, err := NewShedder(policyOf(t, bills), []string{"reprint"}, nil, 1)
	tr.Say("%v", err)
}

// TestControllerCourses: what a controller does under each kind of load.
func TestControllerCourses(t *testing.T) {
	tr := fakes.NewTrace(t)
	scenario := func(what string, run func(step func(until monotime.Micros, s Signals), controller **Controller)) {
		tr.Say("%s", what)
		controller, now := NewController(policyOf(t, bills)), monotime.Micros(0)
		run(func(until monotime.Micros, s Signals) {
			for ; now < until; now += 100_000 {
				if c, changed := controller.Update(now, s); changed {
					tr.Say("  %5.1f s: %v", float64(now)/1e6, c)
				}
			}
			tr.Say("  %5.1f s: level %d, depth %.2f", float64(now)/1e6, controller.Level(), controller.Depth(now))
		}, &controller)
	}
	scenario("a slow rise to each level, and back bit by bit", func(step func(monotime.Micros, Signals), _ **Controller) {
		step(10*second, queued(1))
		step(100*second, queued(1.7))
		step(200*second, queued(2.2))
		step(400*second, queued(0.5))
	})
	scenario("a collapse takes several steps at once", func(step func(monotime.Micros, Signals), _ **Controller) {
		step(10*second, queued(1))
		step(20*second, queued(8))
		step(300*second, queued(8))
	})
	scenario("a probe that hurts is taken back at once, and the next one waits longer", func(step func(monotime.Micros, Signals), _ **Controller) {
		step(10*second, queued(1.7))
		step(70*second, queued(1))
		step(75*second, queued(1.45))
		step(130*second, queued(1))
		step(140*second, queued(1))
		step(144*second, queued(1.45))
		step(250*second, queued(1))
		step(300*second, queued(1))
	})
	scenario("relapse after relapse by collapse: each time it waits longer before it leaves", func(step func(monotime.Micros, Signals), _ **Controller) {
		for n := range monotime.Micros(4) {
			step((n*400+100)*second, queued(1.7))
			step((n*400+220)*second, queued(0.5))
			step((n*400+240)*second, queued(6))
			step((n*400+400)*second, queued(0.5))
		}
	})
	scenario("a signal that is missing neither enters nor leaves", func(step func(monotime.Micros, Signals), _ **Controller) {
		step(10*second, queued(1.7))
		missing := queued(0)
		missing[Queue] = Missing
		step(200*second, missing)
		step(400*second, queued(0.5))
	})
	scenario("a frozen signal: nothing comes for minutes, then load is high", func(step func(monotime.Micros, Signals), controller **Controller) {
		step(10*second, queued(0.5))
		afterGap := *controller
		if c, changed := afterGap.Update(300*second, queued(9)); changed {
			tr.Say("  at once: %v", c)
		}
		tr.Say("  level %d after one reading", afterGap.Level())
		if _, changed := afterGap.Update(20*second, queued(9)); changed {
			tr.Say("  moved by a clock that went back")
		}
	})
	scenario("held by a person, above, below, and until it ends by itself", func(step func(monotime.Micros, Signals), controller **Controller) {
		step(10*second, queued(1))
		tr.Say("  %v, %v", (*controller).Override(10*second, 9, 20*second, "a person", false), (*controller).Override(10*second, 1, 20*60*second, "a person", false))
		tr.Say("  %v", (*controller).Override(10*second, 2, 200*second, "a person", true))
		step(100*second, queued(1))
		step(150*second, queued(4))
		tr.Say("  %v", (*controller).Override(150*second, 0, 160*second, "another", false))
		step(159*second, queued(4))
		step(240*second, queued(4))
	})
	scenario("two signals that pull apart: either enters, both must be well to leave", func(step func(monotime.Micros, Signals), _ **Controller) {
		signals := queued(0.5)
		signals[Late] = 0.2
		step(10*second, signals)
		step(100*second, signals)
		signals = queued(1.4)
		step(200*second, signals)
		step(300*second, queued(1))
	})
	scenario("a host that comes back in the middle of a step knows nothing, and is there within the entry's span", func(step func(monotime.Micros, Signals), controller **Controller) {
		step(10*second, queued(2.5))
		*controller = NewController(policyOf(t, bills))
		cold := queued(2.5)
		cold[WarmingUp] = 1
		step(11*second, cold)
		step(14*second, cold)
	})
	scenario("another ladder while a level is in force", func(step func(monotime.Micros, Signals), controller **Controller) {
		step(10*second, queued(2.5))
		*controller = (*controller).WithPolicy(policyOf(t, strings.Replace(bills, "half-lookups", "most-lookups", 1)))
		step(11*second, queued(2.5))
		step(12*second, queued(2.5))
	})
}

// oscillatingLoad runs ten minutes of load that oscillates about a mean with a period in seconds, with noise, and with
// retries that follow each recovery for some seconds.
func oscillatingLoad(policy *Policy, meanLoad, period float64, seed uint64) (changes []Change) {
	controller, r := NewController(policy), rand.New(rand.NewPCG(seed, 0))
	retryLoad := 0.0
	for now := monotime.Micros(0); now < 600*second; now += 20_000 {
		seconds := float64(now) / 1e6
		retryLoad *= 0.999
		load := meanLoad * (1 + 0.25*math.Sin(2*math.Pi*seconds/period) + 0.2*r.NormFloat64() + retryLoad)
		load *= 1 - 0.1*float64(controller.Level()) // shed requests are no load
		if c, changed := controller.Update(now, queued(max(0, load))); changed {
			changes = append(changes, c)
			if c.To < c.From {
				retryLoad += 0.3 // readmitted callers bring their retries
			}
		}
	}
	return changes
}

// TestNoOscillation: ten minutes of load about each boundary, with many periods and seeds: no level changes more than
// once a minute, and each change has its cause.
func TestNoOscillation(t *testing.T) {
	policy := policyOf(t, bills)
	maxChanges, total, collapses := 0, 0, 0
	for _, meanLoad := range []float64{1.1, 1.5, 2, 3} {
		for _, period := range []float64{0.5, 3, 10, 30, 59, 120} {
			for seed := range uint64(8) {
				changes := oscillatingLoad(policy, meanLoad, period, seed)
				total += len(changes)
				maxChanges = max(maxChanges, len(changes))
				checkChangeInterval(t, policy, changes)
				for _, c := range changes {
					if c.Collapse {
						collapses++
					}
				}
			}
		}
	}
	t.Logf("%d changes in 192 times ten minutes, %d at the most in one, %d of them by collapse", total, maxChanges, collapses)
	if collapses > 0 {
		t.Error("load about a boundary is no collapse")
	}
	if total == 0 {
		t.Error("no level was ever entered: nothing is shown")
	}
}

// checkChangeInterval fails the test if a level changes twice within ChangeInterval, except in a collapse.
func checkChangeInterval(t interface{ Fatalf(string, ...any) }, policy *Policy, changes []Change) {
	last := map[int]monotime.Micros{}
	for _, c := range changes {
		if c.Cause == "" {
			t.Fatalf("a change without a cause: %v", c)
		}
		for n := min(c.From, c.To) + 1; n <= max(c.From, c.To); n++ {
			if meanLoad, had := last[n]; had && c.At-meanLoad < policy.ChangeInterval && !c.Collapse {
				t.Fatalf("level %d changes again after %d us: %v", n, c.At-meanLoad, changes)
			}
			last[n] = c.At
		}
		if c.To < c.From && c.To != c.From-1 {
			t.Fatalf("%d steps up at once: %v", c.From-c.To, c)
		}
	}
}

// TestControllerInvariants: whatever the signals do, missing ones and jumps of the clock among it, changes keep the change
// interval, a level is not left before its least time, and recovery goes by single steps.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := policyOf(t, bills)
		controller, now := NewController(policy), monotime.Micros(0)
		var changes []Change
		entered := map[int]monotime.Micros{}
		for range rapid.IntRange(1, 60).Draw(t, "stretches") {
			s := queued(rapid.Float64Range(0, 5).Draw(t, "queue"))
			s[Late] = rapid.Float64Range(0, 0.3).Draw(t, "late")
			if rapid.IntRange(0, 5).Draw(t, "missing") == 0 {
				s[rapid.IntRange(0, int(signalCount)-1).Draw(t, "which")] = Missing
			}
			gap := monotime.Micros(rapid.SampledFrom([]int{20_000, 100_000, 1_000_000, 3_000_000}).Draw(t, "gap"))
			for range rapid.IntRange(1, 300).Draw(t, "readings") {
				now += gap
				c, changed := controller.Update(now, s)
				if !changed {
					continue
				}
				if c.To < c.From && now-entered[c.From] < policy.Levels[c.From-1].MinDuration {
					t.Fatalf("left after %d us", now-entered[c.From])
				}
				for n := c.From + 1; n <= c.To; n++ {
					entered[n] = now
				}
				changes = append(changes, c)
			}
			if d := controller.Depth(now); d < 0 || d > 1 {
				t.Fatalf("depth %v", d)
			}
			now += monotime.Micros(rapid.SampledFrom([]int{0, 0, 0, 60_000_000, -500_000}).Draw(t, "jump"))
		}
		checkChangeInterval(t, policy, changes)
	})
}

// TestShedFraction: the fraction is followed closely at any time, chance decides which, and what no rule names is not shed.
func TestShedFraction(t *testing.T) {
	policy := policyOf(t, bills)
	shedder, err := NewShedder(policy, []string{"reprint", "lookup", "pay"}, []string{"acme"}, 7)
	if err != nil {
		t.Fatal(err)
	}
	shed, runs, last := 0, 0, false
	for n := 1; n <= 100_000; n++ {
		now := shedder.ShouldShed(2, 1, 1, 0, 0.9, 0)
		if now {
			shed++
		}
		if n > 1 && now == last {
			runs++
		}
		last = now
		if behind := math.Abs(float64(n)/2 - float64(shed)); behind > 1 {
			t.Fatalf("%d of %d", shed, n)
		}
	}
	if runs < 20_000 { // it does not simply alternate: a caller that sends every second request would be shed each time
		t.Errorf("the same twice running %d times of 100000", runs)
	}
	for _, c := range []struct {
		level, op int
		depth     float64
		rank      float64
		want      float64
	}{{0, 0, 1, 0, 0}, {1, 0, 1, 0.9, 1}, {1, 1, 1, 0, 0}, {2, 0, 1, 0.9, 1}, {3, 2, 1, 0.4, 1}, {3, 2, 1, 0.6, 0}, {3, 1, 0.2, 0.9, 0.5}, {3, 2, 0.3, 0.1, 0.3}} {
		if got := shedder.ShedFraction(c.level, c.depth, c.op, 0, c.rank, 0); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if n := testing.AllocsPerRun(1000, func() { shedder.ShouldShed(3, 0.5, 1, 0, 0.7, 0) }); n != 0 {
		t.Errorf("%v allocations a decision", n)
	}
}

// TestTenantBurst: a rule that names a tenant leaves the others as they were.
func TestTenantBurst(t *testing.T) {
	policy := policyOf(t, `(ladder b (level no-excess (shed (tenants loud) (share 0.8)) (enter (queue 2)) (exit (queue 1))))`)
	shedder, err := NewShedder(policy, []string{"look"}, []string{"calm", "loud"}, 3)
	if err != nil {
		t.Fatal(err)
	}
	shed := [2]int{}
	for range 1000 {
		for tenant := range shed {
			if shedder.ShouldShed(1, 1, 0, tenant, 0.5, 0) {
				shed[tenant]++
			}
		}
	}
	if shed[0] != 0 || shed[1] < 799 || shed[1] > 801 {
		t.Errorf("%v of a thousand each", shed)
	}
}

// FuzzReadTrace: a trace that was read is written and read back unchanged.
func FuzzReadTrace(f *testing.F) {
	f.Add("1 queue=2 late=0.5\n; note\n5 cores=1\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := ReadTrace("t", strings.NewReader(text))
		if err != nil {
			return
		}
		var b strings.Builder
		for _, r := range all {
			if err := WriteReading(&b, r); err != nil {
				t.Fatal(err)
			}
		}
		again, err := ReadTrace("t", strings.NewReader(b.String()))
		if err != nil || len(again) != len(all) {
			t.Fatalf("%v: %q", err, b.String())
		}
		var c strings.Builder
		for _, r := range again {
			if err := WriteReading(&c, r); err != nil {
				t.Fatal(err)
			}
		}
		if b.String() != c.String() {
			t.Fatalf("%q became %q", b.String(), c.String())
		}
	})
}

func BenchmarkUpdate(b *testing.B) {
	controller := NewController(policyOf(b, bills))
	b.ReportAllocs()
	for now := monotime.Micros(1); b.Loop(); now += 20_000 {
		controller.Update(now, queued(1.3))
	}
}

func BenchmarkShouldShed(b *testing.B) {
	shedder, _ := NewShedder(policyOf(b, bills), []string{"reprint", "lookup", "pay"}, nil, 7)
	b.ReportAllocs()
	for b.Loop() {
		shedder.ShouldShed(3, 0.5, 1, 0, 0.7, 0)
	}
}
