package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestAdoptUnrecorded: an instance is adopted only by a record that was read and has no end; it is desired up unless
// it was notified, and the ids of its actions do not come again.
func TestAdoptUnrecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		record SupervisorRecord
		want   Instance
		ok     bool
	}{
		{"no record", SupervisorRecord{}, Instance{}, false},
		{"an unreadable record", SupervisorRecord{State: RecordUnreadable, Incarnation: "a.7"}, Instance{}, false},
		{"an end", SupervisorRecord{State: RecordRead, Incarnation: "a.7", Ended: true}, Instance{}, false},
		{"it runs", SupervisorRecord{State: RecordRead, Incarnation: "a.7"},
			Instance{Name: "a", DesiredUp: true, Incarnation: "a.7", ActionCount: 7 + adoptedCountMargin, Phase: PhaseUnknown}, true},
		{"it was notified", SupervisorRecord{State: RecordRead, Incarnation: "a.7", NoticeID: "a.8", NotifiedAt: 5},
			Instance{Name: "a", Incarnation: "a.7", ActionCount: 7 + adoptedCountMargin, NoticeID: "a.8", NotifiedAt: 5, PhaseDeadline: 5, Phase: PhaseUnknown}, true},
		{"an id without a count", SupervisorRecord{State: RecordRead, Incarnation: "x"},
			Instance{Name: "a", DesiredUp: true, Incarnation: "x", ActionCount: adoptedCountUnknown, Phase: PhaseUnknown}, true},
	} {
		got, ok := AdoptUnrecorded("a", c.record)
		if diff := cmp.Diff(c.want, got, cmpopts.IgnoreUnexported(Instance{})); diff != "" || ok != c.ok {
			t.Errorf("%s: %t %s", c.name, ok, diff)
		}
	}
}

// TestUnrecordedObservation: that nobody recorded an incarnation says nothing while its launch is under way, and counts
// once the launch was taken.
func TestUnrecordedObservation(t *testing.T) {
	h := newHost(t, readTestSpec(t, twoInstances))
	actions := decide(t, h, CommandReceived{&Command{ID: "up", Kind: KindStart, Names: []string{"a"}, Deadline: h.now + 60*second}})
	if len(actions) != 1 || actions[0].Kind != ActionLaunch {
		t.Fatalf("%+v", actions)
	}
	incarnation := actions[0].Incarnation
	exited := InstanceObserved{Name: "a", Observation: Observation{Incarnation: incarnation, Phase: PhaseExited, Exit: Exit{Unobserved: true}}, Unrecorded: true}
	decide(t, h, exited)
	if inst, _ := h.m.Instance("a"); inst.Incarnation != incarnation || inst.Phase != PhaseStarting {
		t.Fatalf("an incarnation that is being launched has ended: %+v", inst)
	}
	decide(t, h, InstanceObserved{Name: "a", Observation: Observation{Incarnation: incarnation, Phase: PhaseReady}})
	decide(t, h, exited)
	if inst, _ := h.m.Instance("a"); inst.Incarnation != "" || inst.Phase != PhaseFailed {
		t.Errorf("%+v", inst)
	}
}

// TestRecordedEndDuringLaunch: an end that a supervisor recorded counts although the launch is not known to be taken.
func TestRecordedEndDuringLaunch(t *testing.T) {
	h := newHost(t, readTestSpec(t, twoInstances))
	actions := decide(t, h, CommandReceived{&Command{ID: "up", Kind: KindStart, Names: []string{"a"}, Deadline: h.now + 60*second}})
	decide(t, h, InstanceObserved{Name: "a", Observation: Observation{Incarnation: actions[0].Incarnation, Phase: PhaseExited}})
	if inst, _ := h.m.Instance("a"); inst.Incarnation != "" {
		t.Errorf("%+v", inst)
	}
}

// TestRunningUnnamed: what runs and is no instance of this host in another file is named, in the order of this one.
func TestRunningUnnamed(t *testing.T) {
	h := newHost(t, readTestSpec(t, twoInstances))
	startAll(h)
	for _, c := range []struct {
		instances string
		want      []string
	}{
		{`(group g (host h1) (config "%n") (instances b a))`, nil},
		{`(group g (host h1) (config "%n") (instances a x))`, []string{"b"}},
		{`(group g (host h1) (config "%n") (instances c)) (group o (host h2) (config "%n") (instances b a))`, []string{"a", "b"}},
	} {
		other := readTestSpec(t, `(fleet f (host h1 (agent "unix:/1")) (host h2 (agent "unix:/2")) `+c.instances+`)`)
		if diff := cmp.Diff(c.want, h.m.RunningUnnamed(other, "h1")); diff != "" {
			t.Errorf("%s: %s", c.instances, diff)
		}
	}
}

// TestActionStartsNew: launches and acquisitions begin something; what ends or adopts an instance, or returns a unit,
// does not.
func TestActionStartsNew(t *testing.T) {
	for _, a := range []struct {
		action Action
		want   bool
	}{
		{Action{Kind: ActionLaunch}, true}, {Action{Kind: ActionLaunch, Adopt: true}, false}, {Action{Kind: ActionNotify}, false},
		{Action{Kind: ActionKill}, false}, {Action{Kind: ActionAcquireUnit}, true}, {Action{Kind: ActionReleaseUnit}, false},
	} {
		if a.action.StartsNew() != a.want {
			t.Errorf("%+v", a.action)
		}
	}
}
