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

// A level sheds the operations of its rules on arrival, with a Retry-After, and no other operations. An operator can
// override the level. A policy that names an unknown operation is rejected.
func TestLevelShedsWhatItsRulesName(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	unknownOperation := policyOf(t, `(ladder l
		(level a (shed (operations nothing)) (enter (queue 5)) (exit (queue 4))))`)
	tr.Say("%v", d.SetDegradationPolicy(unknownOperation))
	_, ok := d.DegradationStatus()
	tr.Say("without a policy: %t, override: %v", ok, d.OverrideLevel("full", time.Second, "test", false))
	policy := policyOf(t, `(ladder l (smooth (queue 0s))
		(level no-look (shed (operations look)) (enter (queue 5)) (exit (queue 4)))
		(level half (shed (operations post) (share 0.5)) (enter (queue 50)) (exit (queue 40))))`)
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	admit := func(label string, operation int) {
		inv := newInvocation(label)
		inv.Operation = operation
		resp, req := d.Admit(inv)
		traceResponse(tr, label, resp, req, d)
		if req != nil {
			d.Complete(req, RunSucceeded, nil)
		}
	}
	d.Tick(idleGauges)
	admit("full service: look", 0)
	d.Tick([]float64{1, 30, 0.1, 1}) // 15 tasks per core
	status, _ := d.DegradationStatus()
	tr.Say("level %s, %d changes", status.Level, len(status.Changes))
	d.Tick(idleGauges) // the module admits again; the level does not change
	d.Tick(idleGauges)
	fakes.Until(t, "the queue is empty", func() bool {
		d.Tick(idleGauges)
		inv := newInvocation(fmt.Sprint("p", Now()))
		inv.Operation = 1
		inv.Canceled = canceledCaller
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
	d.Tick(idleGauges)
	admit("overridden to full service: look", 0)
	tr.Say("%v", d.OverrideLevel("half", time.Minute, "test", false))
	d.Tick(idleGauges)
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
	d.Drain(5*monotime.Second, 300*monotime.Millisecond)
	admit("draining: look", 0)
	status, _ = d.DegradationStatus()
	tr.Say("%s: half of a hundred are shed %t", status.Level, shed >= 49 && shed <= 51)
}

// A level that sheds an operation does not shed repeats of requests that ran.
func TestRepeatIsNotShed(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	shedSecondOperation(t, d)
	if resp, _ := d.Admit(keyedInvocation("b", "y")); resp.Verdict != Throttled {
		t.Fatalf("a request that is no repeat is not shed: %+v", resp)
	}
	resp, _ := d.Admit(keyedInvocation("c", "x"))
	if status, _ := d.DegradationStatus(); resp.Verdict != Replayed || status.Shed != 1 {
		t.Errorf("the repeat: %+v, %d shed", resp, status.Shed)
	}
}

// The queue signal includes queued requests in addition to the tasks on the executor's cores.
func TestQueueSignalCountsQueuedRequests(t *testing.T) {
	d := open(t)
	tickUntilRead(t, d, fullCores)
	shedSecondOperation(t, d)
	canceled := make(chan struct{})
	inv := newInvocation("a")
	inv.Canceled = canceled
	response := admitAsync(t, d, inv)
	d.mu.Lock()
	queued := d.queued()
	d.updateLevel(admission.Reading{OnCores: 3, CoreUse: 0.5, MemoryShare: 0.1})
	d.mu.Unlock()
	close(canceled)
	fakes.Take(t, "the response", response)
	want := float64(3+queued) / float64(d.settings.Admission.Cores)
	if status, _ := d.DegradationStatus(); queued != 1 || status.Signals[degradation.Queue] != want {
		t.Errorf("%d queued, the signal is %v; want 1, %v", queued, status.Signals[degradation.Queue], want)
	}
}

// Replacing the policy keeps the level in force, the counts and the recent changes.
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

// At most maxRecentChanges level changes are kept, and these are the latest.
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
