package dispatch

import (
	"fmt"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestLevelShedsWhatItsRulesName: a level sheds what its rules name, on arrival and with advice, and nothing else; an operator may
// override it, and a policy that names what the deployment does not have is refused.
func TestLevelShedsWhatItsRulesName(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	tr.Say("%v", d.SetDegradationPolicy(policyOf(t, `(ladder l (level a (shed (operations nothing)) (enter (queue 5)) (exit (queue 4))))`)))
	_, ok := d.DegradationStatus()
	tr.Say("without a ladder: %t, pin: %v", ok, d.OverrideLevel("full", time.Second, "test", false))
	if err := d.SetDegradationPolicy(policyOf(t, `(ladder l (smooth (queue 0s)) (level no-look (shed (operations look)) (enter (queue 5)) (exit (queue 4)))
		(level half (shed (operations post) (share 0.5)) (enter (queue 50)) (exit (queue 40))))`)); err != nil {
		t.Fatal(err)
	}
	admit := func(what string, operation int) {
		inv := newInvocation(what)
		inv.Operation = operation
		resp, req := d.Admit(inv)
		say(tr, what, resp, req, d)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
	}
	quiet := []float64{0.1, 0, 0.1, 1}
	d.Tick(quiet)
	admit("full service: look", 0)
	d.Tick([]float64{1, 30, 0.1, 1}) // 15 a core
	r, _ := d.DegradationStatus()
	tr.Say("level %s, %d changes", r.Level, len(r.Changes))
	d.Tick(quiet) // the module admits again; the level stays
	d.Tick(quiet)
	fakes.Until(t, "the queue has drained", func() bool {
		d.Tick(quiet)
		inv := newInvocation(fmt.Sprint("p", Now()))
		inv.Operation, inv.CallerLeft = 1, leftCaller
		resp, req := d.Admit(inv)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
		return resp.Verdict != Throttled
	})
	admit("look", 0)
	admit("post", 1)
	tr.Say("%v", d.OverrideLevel("nothing", time.Second, "test", false))
	tr.Say("%v", d.OverrideLevel("full", time.Minute, "test", false))
	d.Tick(quiet)
	admit("held at full service: look", 0)
	tr.Say("%v", d.OverrideLevel("half", time.Minute, "test", false))
	d.Tick(quiet)
	shed := 0
	for n := range 100 {
		inv := newInvocation(fmt.Sprint("h", n))
		inv.Operation = 1
		resp, req := d.Admit(inv)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
		if resp.Verdict == Throttled {
			shed++
		}
	}
	d.Drain(5_000_000, 300_000) // under a level: what is not shed runs on through the grace
	admit("draining: look", 0)
	r, _ = d.DegradationStatus()
	tr.Say("%s: %t of a hundred are shed", r.Level, shed >= 49 && shed <= 51)
}

// TestRepeatIsNotShed: a level that sheds an operation leaves the repeats of what has run to their results.
func TestRepeatIsNotShed(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	shedSecondOperation(t, d)
	if resp, _ := d.Admit(keyedInvocation("b", "y")); resp.Verdict != Throttled {
		t.Fatalf("new work is not shed: %+v", resp)
	}
	resp, _ := d.Admit(keyedInvocation("c", "x"))
	if status, _ := d.DegradationStatus(); resp.Verdict != Replayed || status.Shed != 1 {
		t.Errorf("the repeat: %+v, %d shed", resp, status.Shed)
	}
}

// TestQueueSignalCountsQueuedRequests: the queue signal counts the requests that wait here with those on the executor's cores.
func TestQueueSignalCountsQueuedRequests(t *testing.T) {
	d := open(t)
	since := Now()
	fakes.Until(t, "the module reads the gauges", func() bool { d.Tick(fullCores); return Now() > since+50_000 })
	shedSecondOperation(t, d)
	left := make(chan struct{})
	inv := newInvocation("a")
	inv.CallerLeft = left
	response := repeat(t, d, inv)
	d.mu.Lock()
	queued := d.queued()
	d.updateLevel(admission.Reading{OnCores: 3, CoreUse: 0.5, MemoryShare: 0.1})
	d.mu.Unlock()
	close(left)
	fakes.Take(t, "the response", response)
	want := float64(3+queued) / float64(d.settings.Admission.Cores)
	if status, _ := d.DegradationStatus(); queued != 1 || status.Signals[degradation.Queue] != want {
		t.Errorf("%d queued, the signal is %v, wanted %v", queued, status.Signals[degradation.Queue], want)
	}
}

// TestReplacedPolicyLeavesLevelAndCounts: another policy leaves the level in force, and what was counted, as they are.
func TestReplacedPolicyLeavesLevelAndCounts(t *testing.T) {
	d := open(t)
	shedSecondOperation(t, d)
	d.degradation.shedCount = 3
	policy := d.degradation.policy
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	if status, _ := d.DegradationStatus(); status.Level != "no-post" || status.Shed != 3 || len(status.Changes) != 1 {
		t.Errorf("%+v", status)
	}
}

// TestRecentChangesAreBounded: only a bounded number of the latest changes is stored.
func TestRecentChangesAreBounded(t *testing.T) {
	d := open(t)
	shedSecondOperation(t, d)
	for n := range 3 * maxRecentChanges {
		d.degradation.recordChange(degradation.Change{At: monotime.Micros(n)})
	}
	status, _ := d.DegradationStatus()
	latest := fmt.Sprintf("%d: %v", 3*maxRecentChanges-1, degradation.Change{})
	if n := len(status.Changes); n != maxRecentChanges || status.Changes[n-1] != latest {
		t.Errorf("%d changes, the latest %q", n, status.Changes[n-1])
	}
}
