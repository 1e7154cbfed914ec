package degradation

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// changesUnderOscillatingLoad returns the changes of level during ten minutes of load that oscillates about a mean with
// a period in seconds. The load has noise, and retries that follow each recovery and decay within seconds.
func changesUnderOscillatingLoad(policy *Policy, meanLoad, period float64, seed uint64) (changes []Change) {
	const interval = 20 * monotime.Millisecond
	controller := NewController(policy)
	random := rand.New(rand.NewPCG(seed, 0))
	retryLoad := 0.0
	for now := monotime.Micros(0); now < 600*second; now += interval {
		retryLoad *= 0.999
		load := meanLoad * (1 + 0.25*math.Sin(2*math.Pi*now.Seconds()/period) + 0.2*random.NormFloat64() + retryLoad)
		load *= 1 - 0.1*float64(controller.Level()) // shed requests cause no load
		if change, changed := controller.Update(now, queueSignals(max(0, load))); changed {
			changes = append(changes, change)
			if change.To < change.From {
				retryLoad += 0.3 // callers that are served again retry what was shed
			}
		}
	}
	return changes
}

// TestLoadAtABoundaryDoesNotOscillate checks that under load near the entry threshold of each level, with many periods
// and seeds, no level changes more than once a minute, and each change has a cause.
func TestLoadAtABoundaryDoesNotOscillate(t *testing.T) {
	policy := mustParse(t, billingPolicy)
	runs, maxChanges, total, collapses := 0, 0, 0, 0
	for _, meanLoad := range []float64{1.1, 1.5, 2, 3} {
		for _, period := range []float64{0.5, 3, 10, 30, 59, 120} {
			for seed := range uint64(8) {
				changes := changesUnderOscillatingLoad(policy, meanLoad, period, seed)
				checkChanges(t, policy, changes)
				runs++
				total += len(changes)
				maxChanges = max(maxChanges, len(changes))
				for _, change := range changes {
					if change.Collapse {
						collapses++
					}
				}
			}
		}
	}
	t.Logf("%d changes in %d runs of ten minutes, at most %d in one, %d by collapse",
		total, runs, maxChanges, collapses)
	if collapses > 0 {
		t.Error("load near a threshold was treated as a collapse")
	}
	if total == 0 {
		t.Error("no level was entered in any run, so nothing was tested")
	}
}

// checkChanges fails the test if a change has no cause, if a level changes twice within ChangeInterval other than in a
// collapse, or if a recovery leaves more than one level at once.
func checkChanges(t tester, policy *Policy, changes []Change) {
	t.Helper()
	changedAt := map[int]monotime.Micros{} // by level
	for _, change := range changes {
		if change.Cause == "" {
			t.Fatalf("change without a cause: %v", change)
		}
		for level := min(change.From, change.To) + 1; level <= max(change.From, change.To); level++ {
			last, changed := changedAt[level]
			if since := change.At - last; changed && since < policy.ChangeInterval && !change.Collapse {
				t.Fatalf("level %d changes again after %d us: %v", level, since, changes)
			}
			changedAt[level] = change.At
		}
		if change.To < change.From-1 {
			t.Fatalf("recovery leaves %d levels at once: %v", change.From-change.To, change)
		}
	}
}

// TestControllerInvariants checks for random signals, with missing ones and clock steps, that changes respect
// ChangeInterval, that no level is left before its MinDuration, and that a recovery leaves one level at a time.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := mustParse(t, billingPolicy)
		controller := NewController(policy)
		now := monotime.Micros(0)
		var changes []Change
		enteredAt := map[int]monotime.Micros{} // by level
		for range rapid.IntRange(1, 60).Draw(t, "phases") {
			signals := queueSignals(rapid.Float64Range(0, 5).Draw(t, "queue"))
			signals[Late] = rapid.Float64Range(0, 0.3).Draw(t, "late")
			if rapid.IntRange(0, 5).Draw(t, "missing") == 0 {
				signals[rapid.IntRange(0, int(signalCount)-1).Draw(t, "missing signal")] = Missing
			}
			gap := monotime.Micros(rapid.SampledFrom([]int{20_000, 100_000, 1_000_000, 3_000_000}).Draw(t, "gap"))
			for range rapid.IntRange(1, 300).Draw(t, "readings") {
				now += gap
				change, changed := controller.Update(now, signals)
				if !changed {
					continue
				}
				if inForce := now - enteredAt[change.From]; change.To < change.From &&
					inForce < policy.Levels[change.From-1].MinDuration {
					t.Fatalf("level %d left after %d us", change.From, inForce)
				}
				for level := change.From + 1; level <= change.To; level++ {
					enteredAt[level] = now
				}
				changes = append(changes, change)
			}
			if depth := controller.Depth(now); depth < 0 || depth > 1 {
				t.Fatalf("depth %v, want 0 to 1", depth)
			}
			now += monotime.Micros(rapid.SampledFrom([]int{0, 0, 0, 60_000_000, -500_000}).Draw(t, "clock step"))
		}
		checkChanges(t, policy, changes)
	})
}
