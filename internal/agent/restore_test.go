package agent

import (
	"errors"
	"slices"
	"testing"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// runningInstance returns the saved state of a running instance.
func runningInstance(name string) fleet.Instance {
	return fleet.Instance{Name: name, DesiredUp: true, Incarnation: name + ".1", Phase: fleet.PhaseReady}
}

// TestUnnamedInstancePreventsStart checks that an agent does not start while an instance is running that is missing
// from its fleet file.
func TestUnnamedInstancePreventsStart(t *testing.T) {
	store := &memoryStore{}
	store.state.BootID = process.Boot()
	store.state.Instances = []fleet.Instance{runningInstance("z")}
	_, err := newIdleAgent(t, store)
	if unnamed, ok := errors.AsType[*UnnamedInstanceError](err); !ok || unnamed.Instance != "z" {
		t.Errorf("%v, want an UnnamedInstanceError of z", err)
	}
	if len(store.saved) != 0 {
		t.Errorf("saved %+v", store.saved)
	}
}

// TestRebootEndsIncarnations checks that incarnations of an earlier boot count as ended, including those of instances
// that are missing from the fleet file. A saved state without a boot ID counts as one of the current boot.
func TestRebootEndsIncarnations(t *testing.T) {
	for _, test := range []struct {
		name  string
		boot  string // boot ID in the saved state
		ended bool
	}{
		{"another boot", "another", true},
		{"no boot", "", false},
		{"this boot", process.Boot(), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := &memoryStore{}
			store.state.BootID = test.boot
			store.state.Instances = []fleet.Instance{runningInstance("a")}
			a := mustNewIdleAgent(t, store)
			if in, _ := a.loop.machine.Instance("a"); (in.Incarnation == "") != test.ended {
				t.Errorf("instance %+v, want ended %t", in, test.ended)
			}
			if test.boot != process.Boot() && a.loop.unsaved.BootID != process.Boot() {
				t.Errorf("boot ID to save %q, want the current one", a.loop.unsaved.BootID)
			}
			store.state.Instances[0].Name = "z"
			if _, err := newIdleAgent(t, store); (err == nil) != test.ended {
				t.Errorf("with an instance that is missing from the fleet file: %v", err)
			}
		})
	}
}

// TestRestoreDecidesOnIntents checks that an agent decides on a command that the previous agent accepted without
// deciding on it, and completes its intent.
func TestRestoreDecidesOnIntents(t *testing.T) {
	store := &memoryStore{}
	store.state.Intents = []*fleet.Command{
		{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: farDeadline},
	}
	a := mustNewIdleAgent(t, store)
	if a.loop.machine.Command("c1") == nil || !slices.Equal(a.loop.unsaved.CompletedIntents, []string{"c1"}) {
		t.Errorf("command %v, completed %v", a.loop.machine.Command("c1"), a.loop.unsaved.CompletedIntents)
	}
}

// TestUnrecordedInstancesAreAdopted checks that of the instances that are missing from the store, those without a
// recorded exit are adopted, and that their action IDs are not reused.
func TestUnrecordedInstancesAreAdopted(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	dir := a.options.Dir
	writeState(t, dir, supervisor.State{Name: "a", Incarnation: "a.7"})
	writeState(t, dir, supervisor.State{Name: "b", Incarnation: "b.3", Ended: true})
	var saved agentstore.State
	a.adoptUnrecorded(&saved)
	if len(saved.Instances) != 1 {
		t.Fatalf("adopted %+v, want a alone", saved.Instances)
	}
	in := saved.Instances[0]
	if in.Name != "a" || in.Incarnation != "a.7" || !in.DesiredUp || in.Phase != fleet.PhaseUnknown {
		t.Errorf("adopted %+v", in)
	}
	if in.ActionCount <= 7+100 {
		t.Errorf("action count %d, want it far above the number of the incarnation", in.ActionCount)
	}
	a.adoptUnrecorded(&saved)
	if len(saved.Instances) != 1 {
		t.Errorf("adopted a second time: %+v", saved.Instances)
	}
}
