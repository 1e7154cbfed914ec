package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// decide gives the machine an event without carrying its actions out.
func decide(t *testing.T, host *simulatedHost, event Event) []Action {
	t.Helper()
	actions, _, err := host.m.Decide(host.now, event)
	if err != nil {
		t.Fatal(err)
	}
	return slices.Clone(actions)
}

// dropKind loses all actions of a kind on their way.
func dropKind(kind ActionKind) func(Action) bool {
	return func(a Action) bool { return a.Kind == kind }
}

func startCommand(t *testing.T, host *simulatedHost, names ...string) {
	t.Helper()
	if err := host.command("up", KindStart, 60*second, names...); err != nil {
		t.Fatal(err)
	}
}

// stored is an instance as it is written down.
func stored(t *testing.T, inst *Instance) string {
	t.Helper()
	raw, err := json.Marshal(inst)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestFailureOfAnotherActionIsIgnored: only the action that is pending can fail.
func TestFailureOfAnotherActionIsIgnored(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.dropAction = dropKind(ActionLaunch)
	startCommand(t, host, "a")
	before := stored(t, host.m.instances["a"])
	decide(t, host, ActionFailed{Name: "a", ActionID: "a.0", Cause: "of an older action", Final: true})
	if after := stored(t, host.m.instances["a"]); after != before {
		t.Errorf("the failure of an older action changed\n%s to\n%s", before, after)
	}

	host = newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	before = stored(t, host.m.instances["a"])
	decide(t, host, ActionFailed{Name: "a", ActionID: host.m.instances["a"].ActionID, Cause: "after it was taken", Final: true})
	if after := stored(t, host.m.instances["a"]); after != before {
		t.Errorf("the failure of an action that was taken changed\n%s to\n%s", before, after)
	}
}

// TestReleaseOfAnotherUnitIsIgnored: a confirmation for an older request leaves the present unit alone.
func TestReleaseOfAnotherUnitIsIgnored(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	held := Unit{Quota: "updates", RequestID: "r.a.2", CommandID: "r", Held: true}
	host.m.instances["a"].Unit = held
	decide(t, host, UnitReleased{Name: "a", RequestID: "r.a.1"})
	if got := host.m.instances["a"].Unit; got != held {
		t.Errorf("%+v became %+v", held, got)
	}
	decide(t, host, UnitReleased{Name: "a", RequestID: "r.a.2"})
	if got := host.m.instances["a"].Unit; got != (Unit{}) {
		t.Errorf("%+v is held after its release", got)
	}
}

// TestGrantOfAnotherRequestIsReturned: a unit that comes for a request given up meanwhile is not used.
func TestGrantOfAnotherRequestIsReturned(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	asked := Unit{Quota: "updates", RequestID: "r.a.2", CommandID: "r"}
	host.m.instances["a"].Unit = asked
	actions := decide(t, host, UnitAcquired{HeldUnit: HeldUnit{Name: "a", Quota: "updates", RequestID: "r.a.1"}, Granted: true})
	if got := host.m.instances["a"].Unit; got != asked {
		t.Errorf("%+v became %+v", asked, got)
	}
	if len(actions) != 1 || actions[0].Kind != ActionReleaseUnit || actions[0].ID != "r.a.1" {
		t.Errorf("the stray unit is not returned: %+v", actions)
	}
}

// TestUnitStaysHeldUntilBackInService: a unit without use is returned once its instance serves, not before.
func TestUnitStaysHeldUntilBackInService(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startCommand(t, host, "a")
	host.m.instances["a"].Unit = Unit{Quota: "updates", RequestID: "r.a.1", CommandID: "gone", Held: true}
	if actions := decide(t, host, Tick{}); len(actions) != 0 {
		t.Errorf("%+v while it starts", actions)
	}
	host.advance(2*second, nil)
	if host.m.instances["a"].Unit.NextRequestAt == 0 {
		t.Error("its unit was not returned after it became ready")
	}
}

// TestResultIsRecordedOnce: whatever is reported after the first result changes nothing.
func TestResultIsRecordedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := []Outcome{OutcomeSucceeded, OutcomeUnchanged, OutcomeKilled, OutcomeFailed, OutcomeSuperseded, OutcomeTimedOut, OutcomeCancelled}
		host := newHost(t, readTestSpec(t, twoInstances))
		c := &Command{ID: "c", Kind: KindStart, Names: []string{"a"}, Results: map[string]Result{}}
		first := rapid.SampledFrom(outcomes).Draw(t, "first")
		host.m.recordResult(host.now, c, "a", first, "first")
		want, failures := c.Results["a"], c.Failures
		host.m.recordResult(host.now+1, c, "a", rapid.SampledFrom(outcomes).Draw(t, "later"), "later")
		if c.Results["a"] != want || c.Failures != failures {
			t.Fatalf("%+v became %+v, %d failures %d", want, c.Results["a"], failures, c.Failures)
		}
	})
}

// TestFinishedCommandsAreBounded: beyond the bound the oldest are forgotten, in memory and in what is stored.
func TestFinishedCommandsAreBounded(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.m.config.MaxFinishedCommands = 2
	startAll(host)
	for n := range 4 {
		if err := host.command(fmt.Sprint("again", n), KindStart, second, "a"); err != nil {
			t.Fatal(err)
		}
	}
	commands := host.m.Commands()
	ids := make([]string, 0, len(commands))
	for _, c := range commands {
		ids = append(ids, c.ID)
	}
	if want := []string{"again3", "again2"}; !slices.Equal(ids, want) || len(host.saved.Commands) != 2 {
		t.Errorf("%v are known, wanted %v; %d are stored", ids, want, len(host.saved.Commands))
	}
}

// TestRestoreAfterReboot: no process outlives the machine's restart, so that what is wanted is launched anew.
func TestRestoreAfterReboot(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.m = New(host.spec, host.name, testTerms(), window)
	host.m.Restore(host.now, host.saved, true)
	if inst, _ := host.m.Instance("a"); inst.Incarnation != "" || inst.Phase != PhaseAbsent {
		t.Errorf("restored as %s of incarnation %q", inst.Phase, inst.Incarnation)
	}
	launched := 0
	for _, a := range decide(t, host, Tick{}) {
		if a.Kind == ActionLaunch && !a.Adopt {
			launched++
		}
	}
	if launched != 2 {
		t.Errorf("%d of 2 are launched", launched)
	}
}

// TestRestoreRenewsPendingNotice: the shutdown window of a notice that may not have arrived runs from its resend.
func TestRestoreRenewsPendingNotice(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.dropAction = dropKind(ActionNotify)
	if err := host.command("down", KindDrain, 60*second, "a"); err != nil {
		t.Fatal(err)
	}
	host.now += 2 * second
	host.restart()
	inst, _ := host.m.Instance("a")
	if want := host.now + inst.shutdown.ExitTimeout + host.m.config.KillDelay; inst.NotifiedAt != host.now || inst.PhaseDeadline != want {
		t.Errorf("notified at %d with the deadline %d, wanted %d and %d", inst.NotifiedAt, inst.PhaseDeadline, host.now, want)
	}
}

// TestCountsFromBeforeRestartAreNotAdded: the first counts seen after the agent's restart are a baseline only.
func TestCountsFromBeforeRestartAreNotAdded(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.restart()
	observe := func(invocations, rejected int) {
		decide(t, host, InstanceObserved{Name: "a", Observation: Observation{
			Incarnation: host.fakes["a"].incarnation, Phase: PhaseReady, Invocations: invocations, Rejected: rejected,
		}})
	}
	observe(1000, 900)
	if share, known := host.m.rejections.share(host.now); known {
		t.Errorf("the share of rejections is known to be %v from counts of before", share)
	}
	observe(1100, 910)
	if share, known := host.m.rejections.share(host.now); !known || share != 0.1 {
		t.Errorf("the share of rejections is %v (known %t), wanted 0.1", share, known)
	}
}

// TestPendingLaunchIsNotDoubled: while a launch is pending, its incarnation without a supervisor asks for no other.
func TestPendingLaunchIsNotDoubled(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.dropAction = dropKind(ActionLaunch)
	startCommand(t, host, "a")
	inst := host.m.instances["a"]
	decide(t, host, InstanceObserved{Name: "a", Observation: Observation{Incarnation: inst.Incarnation, Phase: PhaseUnknown, Orphaned: true}})
	if inst.ActionCount != 1 {
		t.Errorf("%d actions, the last %s", inst.ActionCount, inst.ActionID)
	}
}

// TestResendWaitsForItsBackoff: a pending action goes out again after its pause, under the same ID.
func TestResendWaitsForItsBackoff(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.dropAction = dropKind(ActionLaunch)
	startCommand(t, host, "a")
	inst := host.m.instances["a"]
	host.now = inst.NextAttemptAt - 1
	if actions := decide(t, host, Tick{}); len(actions) != 0 {
		t.Errorf("before its time: %+v", actions)
	}
	host.now++
	if actions := decide(t, host, Tick{}); len(actions) != 1 || actions[0].ID != "a.1" || inst.NextAttemptAt <= host.now {
		t.Errorf("at its time: %+v, next at %d of %d", actions, inst.NextAttemptAt, host.now)
	}
}

// TestRelaunchWaitsForItsBackoff: an instance that ended by itself is not launched before its pause is over.
func TestRelaunchWaitsForItsBackoff(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	inst := host.m.instances["a"]
	ended := Observation{Incarnation: inst.Incarnation, Phase: PhaseExited, Exit: Exit{Code: 3}}
	if actions := decide(t, host, InstanceObserved{Name: "a", Observation: ended}); len(actions) != 0 {
		t.Errorf("at once: %+v", actions)
	}
	host.now = inst.NextAttemptAt - 1
	if actions := decide(t, host, Tick{}); len(actions) != 0 {
		t.Errorf("before its time: %+v", actions)
	}
	host.now++
	if actions := decide(t, host, Tick{}); len(actions) != 1 || actions[0].Kind != ActionLaunch {
		t.Errorf("at its time: %+v", actions)
	}
}

// TestUnseenInstanceIsNotReleased: a rolling update waits for an instance that can't be observed, though no
// minimum of its group stands in the way.
func TestUnseenInstanceIsNotReleased(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.spec.RollingUpdate.MinReadyShare = 0
	host.restart()
	host.check = func(actions []Action) {
		for _, a := range actions {
			t.Errorf("%s of %s, which is unseen", a.Kind, a.Name)
		}
	}
	if err := host.command("w", KindRollingUpdate, 60*second, "a", "b"); err != nil {
		t.Fatal(err)
	}
	host.check = nil
	host.advance(30*second, nil)
	if c := host.m.Command("w"); c.State != CommandDone || len(c.Unsatisfied()) != 0 {
		t.Errorf("%s: %+v", c.State, c.Results)
	}
}

// TestSparesSettleBeforeTheUpdateRolls: nothing leaves before all spares have been ready for their group's time.
func TestSparesSettleBeforeTheUpdateRolls(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.spec.RollingUpdate.Surge = 1
	left := 0
	host.check = func(actions []Action) {
		for _, a := range actions {
			spare := host.m.instances["x"]
			if a.Kind != ActionNotify || a.Name == "x" {
				continue
			}
			if left++; left == 1 && !spare.Settled(host.now) {
				t.Errorf("%s leaves while the spare is %s since %d at %d", a.Name, spare.Phase, spare.ReadySince, host.now)
			}
		}
	}
	if err := host.command("w", KindRollingUpdate, 60*second, "a", "b"); err != nil {
		t.Fatal(err)
	}
	host.advance(30*second, nil)
	if left != 2 {
		t.Errorf("%d of 2 left", left)
	}
}

// TestRunningHostCountsAsUnavailable: what a host's update may still take out counts as out already.
func TestRunningHostCountsAsUnavailable(t *testing.T) {
	c := &RolloutCoordinator{Hosts: []string{"a", "b"}, Config: RollingUpdateConfig{MinReadyShare: 0.8, StallTimeout: 10}, MaxConcurrentHosts: 2}
	progress := func(state CommandState) HostProgress {
		return HostProgress{Reachable: true, State: state, Ready: 10, DesiredUp: 10, MaxUnavailable: 3}
	}
	step := c.Next(100, map[string]HostProgress{"a": progress(CommandOpen), "b": progress("")})
	if len(step.Begin) != 0 {
		t.Errorf("%v begins: 6 of 20 may be out, and 4 may be at most", step.Begin)
	}
}

// TestDetailIsPassedOn: what a supervisor of another release adds to an observation is passed on as it came.
func TestDetailIsPassedOn(t *testing.T) {
	for text, want := range map[string]string{
		`{"detail":{"a":[1,"x"]}}`: `"detail":{"a":[1,"x"]}`, `{"detail":"x"}`: `"detail":"x"`, `{"detail":0}`: `"detail":0`, `{"detail":null}`: "", `{}`: "",
	} {
		var o Observation
		if err := json.Unmarshal([]byte(text), &o); err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(o)
		if err != nil || !strings.Contains(string(raw), want) || want == "" && strings.Contains(string(raw), "detail") {
			t.Errorf("%s became %s (%v)", text, raw, err)
		}
	}
}

// TestStoredForm: the bytes that an agent stores of an instance and of a command are read and written as ever.
func TestStoredForm(t *testing.T) {
	for _, c := range []struct {
		text string
		into any
	}{
		{`{"name":"a","group":"g","spare":true,"up":true,"recycle":true,"task":"c","serial":3,"step":"a.3","doing":"tell","pending":true,` +
			`"run":"a.1","told":"a.3","told_at":5,"deadline":6,"gave_up":"w","spent":true,"free":true,"kills":2,` +
			`"last":{"code":1,"signal":"killed","killed":"deaf","unseen":true,"lived":7,"after":8},` +
			`"budget":{"Most":3,"Within":60,"Spent":[1,2]},"unit":{"budget":"q","turn":"c.a.1","for":"c","held":true,"next":9,"why":"full","alone":true,"began":10},` +
			`"turns":4,"tries":5,"next":11,"phase":"deaf","since":12,"cause":"x","steady":13,"picked":14,"turned":15,"level":"full"}`, &Instance{}},
		{`{"id":"c","kind":"wave","names":["a"],"by":"me","asked_unix_us":1,"due":2,"now":true,` +
			`"terms":{"width":1,"least_count":2,"least_share":0.5,"order":"file","surge":1,"failures":3,"ready_within":4,"stall":5,"turned_away":0.25,"turned_for":6},` +
			`"budget":"q","number":7,"state":"open","cause":"z","begun":8,"finished":9,"results":{"a":{"outcome":"done","cause":"k","at":10}},` +
			`"failed":1,"spares":["x"],"stage":"rolling","out":{"a":true},"stuck":11,"turned":12}`, &Command{}},
		{`{"run":"a.1","phase":"unknown","told":"a.3","cause":"c","orphan":true,"end":{"code":0},"picked":1,"turned":2,"level":"full","why":"w"}`, &Observation{}},
		{`{"at":1,"name":"a","command":"c","event":"taken","cause":"w"}`, &HistoryEvent{}},
	} {
		if err := json.Unmarshal([]byte(c.text), c.into); err != nil {
			t.Fatal(err)
		}
		if raw, err := json.Marshal(c.into); err != nil || string(raw) != c.text {
			t.Errorf("%T: wanted\n%s and found\n%s (%v)", c.into, c.text, raw, err)
		}
	}
}
