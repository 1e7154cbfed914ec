package agent

import (
	"errors"
	"os"
	"testing"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
)

// launchAction returns the action that launches an incarnation of instance a.
func launchAction(incarnation string) fleet.Action {
	return fleet.Action{Kind: fleet.ActionLaunch, Name: "a", Incarnation: incarnation}
}

// TestLaunchWithoutConfigFails checks that the launch of an instance whose configuration is missing fails with an error
// that names the file.
func TestLaunchWithoutConfigFails(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	file := a.loop.spec.Instance("a").ConfigFile
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	err := a.launch(t.Context(), a.loop.spec, launchAction("a.1"))
	failed, ok := errors.AsType[*ActionError](err)
	if !ok || failed.Instance != "a" || failed.Action != fleet.ActionLaunch {
		t.Fatalf("%v, want an ActionError of the launch of a", err)
	}
	unusable, ok := errors.AsType[*ConfigFileError](err)
	if !ok || unusable.File != file || err.Error() != file+": "+unusable.Err.Error() {
		t.Errorf("%v, want a ConfigFileError of %s", err, file)
	}
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want ErrNotExist", err)
	}
}

// TestEndedIncarnationIsNotLaunched checks that launching an incarnation that has ended starts nothing, and that
// launching a new incarnation does.
func TestEndedIncarnationIsNotLaunched(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	writeState(t, a.options.Dir, supervisor.State{Name: "a", Incarnation: "a.1", Ended: true})
	if err := a.launch(t.Context(), a.loop.spec, launchAction("a.1")); err != nil {
		t.Errorf("the ended incarnation was launched again: %v", err)
	}
	err := a.launch(t.Context(), a.loop.spec, launchAction("a.2")) // fails because the program does not exist
	failed, ok := errors.AsType[*ActionError](err)
	if !ok || failed.Instance != "a" || failed.Action != fleet.ActionLaunch || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want an ActionError of the launch of a", err)
	}
}
