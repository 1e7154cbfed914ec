package agent

import (
	"errors"
	"os"
	"testing"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
)

// launchOf returns the action that launches an incarnation of instance a.
func launchAction(incarnation string) fleet.Action {
	return fleet.Action{Kind: fleet.ActionLaunch, Name: "a", Incarnation: incarnation}
}

// TestLaunchWithoutConfig holds that an instance without its configuration is not launched, and that the error names
// the file.
func TestLaunchWithoutConfig(t *testing.T) {
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

// TestLaunchOfEndedIncarnation holds that a launch whose incarnation has ended starts nothing, and that another one
// does.
func TestLaunchOfEndedIncarnation(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	writeState(t, a.options.Dir, supervisor.State{Name: "a", Incarnation: "a.1", Ended: true})
	if err := a.launch(t.Context(), a.loop.spec, launchAction("a.1")); err != nil {
		t.Errorf("the ended incarnation was launched again: %v", err)
	}
	err := a.launch(t.Context(), a.loop.spec, launchAction("a.2")) // fails: there is no such program
	failed, ok := errors.AsType[*ActionError](err)
	if !ok || failed.Instance != "a" || failed.Action != fleet.ActionLaunch || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want an ActionError of the launch of a", err)
	}
}
