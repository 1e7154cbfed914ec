package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestOnlyRecordedRunningInstancesAreAdopted checks that an instance is adopted only from a readable record without an
// exit, that it is desired up unless it was notified, and that the IDs of earlier actions are not used again.
func TestOnlyRecordedRunningInstancesAreAdopted(t *testing.T) {
	for _, test := range []struct {
		name    string
		record  SupervisorRecord
		want    Instance
		adopted bool
	}{
		{name: "no record", record: SupervisorRecord{}},
		{name: "unreadable record", record: SupervisorRecord{State: RecordUnreadable, Incarnation: "a.7"}},
		{name: "recorded end", record: SupervisorRecord{State: RecordRead, Incarnation: "a.7", Ended: true}},
		{
			name:   "running",
			record: SupervisorRecord{State: RecordRead, Incarnation: "a.7"},
			want: Instance{
				Name: "a", DesiredUp: true, Incarnation: "a.7",
				ActionCount: 7 + adoptedCountMargin, Phase: PhaseUnknown,
			},
			adopted: true,
		},
		{
			name:   "notified",
			record: SupervisorRecord{State: RecordRead, Incarnation: "a.7", NoticeID: "a.8", NotifiedAt: 5},
			want: Instance{
				Name: "a", Incarnation: "a.7", ActionCount: 7 + adoptedCountMargin,
				NoticeID: "a.8", NotifiedAt: 5, PhaseDeadline: 5, Phase: PhaseUnknown,
			},
			adopted: true,
		},
		{ // guards against its kill by the agent before its exit timeout
			name: "notified, with its window",
			record: SupervisorRecord{
				State: RecordRead, Incarnation: "a.7", NoticeID: "a.8", NotifiedAt: 5,
				Window: ShutdownWindow{Grace: second, ExitTimeout: 2 * second},
			},
			want: Instance{
				Name: "a", Incarnation: "a.7", ActionCount: 7 + adoptedCountMargin,
				NoticeID: "a.8", NotifiedAt: 5, PhaseDeadline: 5 + 2*second, Phase: PhaseUnknown,
				Window: ShutdownWindow{Grace: second, ExitTimeout: 2 * second},
			},
			adopted: true,
		},
		{
			name:   "incarnation without a count",
			record: SupervisorRecord{State: RecordRead, Incarnation: "x"},
			want: Instance{
				Name: "a", DesiredUp: true, Incarnation: "x", ActionCount: adoptedCountUnknown, Phase: PhaseUnknown,
			},
			adopted: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, adopted := AdoptUnrecorded("a", test.record)
			if diff := cmp.Diff(test.want, got, cmpopts.IgnoreUnexported(Instance{})); diff != "" {
				t.Error(diff)
			}
			if adopted != test.adopted {
				t.Errorf("adopted: %t, want %t", adopted, test.adopted)
			}
		})
	}
}

// launchA starts instance a and returns its incarnation, whose launch is pending.
func launchA(t *testing.T, host *simulatedHost) string {
	t.Helper()
	actions := decide(t, host, CommandReceived{&Command{
		ID: "up", Kind: KindStart, Names: []string{"a"}, Deadline: host.now + 60*second,
	}})
	if len(actions) != 1 || actions[0].Kind != ActionLaunch {
		t.Fatalf("%+v, want one launch", actions)
	}
	return actions[0].Incarnation
}

// TestUnrecordedExitIsIgnoredWhileLaunchIsPending checks that the exit of an incarnation that no supervisor recorded is
// ignored while its launch is pending, and ends the incarnation after that.
func TestUnrecordedExitIsIgnoredWhileLaunchIsPending(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	incarnation := launchA(t, host)
	exited := InstanceObserved{
		Name:        "a",
		Observation: Observation{Incarnation: incarnation, Phase: PhaseExited, Exit: Exit{Unobserved: true}},
		Unrecorded:  true,
	}
	decide(t, host, exited)
	if inst, _ := host.m.Instance("a"); inst.Incarnation != incarnation || inst.Phase != PhaseStarting {
		t.Fatalf("an unrecorded exit ended an incarnation whose launch is pending: %+v", inst)
	}
	decide(t, host, InstanceObserved{
		Name: "a", Observation: Observation{Incarnation: incarnation, Phase: PhaseReady},
	})
	decide(t, host, exited)
	if inst, _ := host.m.Instance("a"); inst.Incarnation != "" || inst.Phase != PhaseFailed {
		t.Errorf("an unrecorded exit did not end an incarnation that was launched: %+v", inst)
	}
}

// TestRecordedExitCountsDuringLaunch checks that an exit that a supervisor recorded ends the incarnation while its
// launch is pending.
func TestRecordedExitCountsDuringLaunch(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	incarnation := launchA(t, host)
	decide(t, host, InstanceObserved{
		Name: "a", Observation: Observation{Incarnation: incarnation, Phase: PhaseExited},
	})
	if inst, _ := host.m.Instance("a"); inst.Incarnation != "" {
		t.Errorf("the incarnation has not ended: %+v", inst)
	}
}

// TestRunningInstancesThatAnotherSpecOmitsAreListed checks that running instances that another spec does not list for
// the host are reported in the order of the current spec.
func TestRunningInstancesThatAnotherSpecOmitsAreListed(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	const hosts = `(host h1 (agent "unix:/1")) (host h2 (agent "unix:/2"))`
	for _, test := range []struct {
		name   string
		groups string
		want   []string
	}{
		{"both named", `(group g (host h1) (config "%n") (instances b a))`, nil},
		{"one omitted", `(group g (host h1) (config "%n") (instances a x))`, []string{"b"}},
		{
			"both on another host",
			`(group g (host h1) (config "%n") (instances c)) (group o (host h2) (config "%n") (instances b a))`,
			[]string{"a", "b"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := readTestSpec(t, `(fleet f `+hosts+` `+test.groups+`)`)
			if diff := cmp.Diff(test.want, host.m.RunningUnnamed(other, "h1")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestOnlyLaunchesAndAcquisitionsStartNew checks which actions wait until the state can be stored: launches without
// adoption and acquisitions of units.
func TestOnlyLaunchesAndAcquisitionsStartNew(t *testing.T) {
	for _, test := range []struct {
		name   string
		action Action
		want   bool
	}{
		{"launch", Action{Kind: ActionLaunch}, true},
		{"adoption", Action{Kind: ActionLaunch, Adopt: true}, false},
		{"notice", Action{Kind: ActionNotify}, false},
		{"kill", Action{Kind: ActionKill}, false},
		{"acquisition of a unit", Action{Kind: ActionAcquireUnit}, true},
		{"release of a unit", Action{Kind: ActionReleaseUnit}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.action.StartsNew(); got != test.want {
				t.Errorf("StartsNew() = %t, want %t", got, test.want)
			}
		})
	}
}
