package agent

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"testing"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// TestUnwritableStoreDelaysOnlyNewWork checks that while the store can't be written, nothing is launched and no unit is
// acquired, but adoptions proceed, and that the unsaved changes are written once the store recovers.
func TestUnwritableStoreDelaysOnlyNewWork(t *testing.T) {
	store := &memoryStore{err: syscall.ENOSPC}
	a := mustNewIdleAgent(t, store)
	ctx := t.Context()
	watched := func() string {
		incarnation, _ := a.loop.watcherByInstance["a"].current()
		return incarnation
	}
	a.loop.watcherByInstance["a"] = &watcher{name: "a"}

	a.loop.actions = []fleet.Action{{Kind: fleet.ActionLaunch, Name: "a", ID: "a.1", Incarnation: "a.1"}}
	a.flush(ctx)
	if watched() == "a.1" {
		t.Error("an instance was launched although the store can't be written")
	}
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionAcquireUnit, Name: "a", ID: "u1"}}
	a.flush(ctx)
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionLaunch, Name: "a", ID: "a.3", Incarnation: "a.2", Adopt: true}}
	a.flush(ctx)
	if watched() != "a.2" {
		t.Error("the adoption was delayed by the store")
	}
	a.tasks.Wait()
	if n := len(a.calls); n != 1 { // the failed adoption: its program does not exist
		t.Errorf("%d actions were performed, want only the adoption", n)
	}
	if a.loop.storeErr == nil || len(a.loop.unsaved.History) == 0 {
		t.Fatalf("store error %v, unsaved %+v", a.loop.storeErr, a.loop.unsaved)
	}

	store.err = nil
	a.flush(ctx)
	if len(store.saved) != 1 || store.saved[0].History[0].Event != "agent started" {
		t.Errorf("saved %+v", store.saved)
	}
	if !a.loop.unsaved.Empty() || a.loop.storeErr != nil {
		t.Errorf("store error %v, unsaved %+v", a.loop.storeErr, a.loop.unsaved)
	}
}

// TestFlushSavesBeforeActionsAndAnswers checks that a flush saves before it starts actions and answers callers.
func TestFlushSavesBeforeActionsAndAnswers(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	waiter := make(chan struct{})
	answered := func() bool {
		select {
		case <-waiter:
			return true
		default:
			return false
		}
	}
	a.loop.waiters = []chan struct{}{waiter}
	a.options.Store = storeFunc(func(agentstore.Change) error {
		if answered() {
			t.Error("a caller was answered before the write")
		}
		if len(a.loop.actions) == 0 {
			t.Error("the actions were started before the write")
		}
		return nil
	})
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionAcquireUnit, Name: "a", ID: "u1"}}
	a.flush(t.Context())
	a.tasks.Wait()
	if !answered() {
		t.Error("the caller was not answered")
	}
}

// TestCommandIsRejectedAfterFailedWrite checks that commands are rejected without an attempt to write their intents
// while the last write has failed.
func TestCommandIsRejectedAfterFailedWrite(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	a.loop.storeErr = syscall.ENOSPC
	request := agentapi.CommandRequest{
		ID: "c1", Kind: fleet.KindStart, Instances: []string{"a"}, TimeoutMicros: 1,
	}
	_, err := a.accept(0, request)
	rejection, ok := errors.AsType[*agentapi.StatusError](err)
	if !ok || rejection.Status != http.StatusServiceUnavailable {
		t.Errorf("%v, want status 503", err)
	}
	if c := a.loop.machine.Command("c1"); c != nil {
		t.Errorf("accepted %+v", c)
	}
}

// TestMergeChangeKeepsLatestStateAndDropsDeletedCommands checks that the later state of an instance or command replaces
// the earlier one, and that a deleted command is not written.
func TestMergeChangeKeepsLatestStateAndDropsDeletedCommands(t *testing.T) {
	var to agentstore.Change
	change := func(phase fleet.Phase) agentstore.Change {
		return agentstore.Change{Snapshot: fleet.Snapshot{
			Instances: []fleet.Instance{{Name: "a", Phase: phase}, {Name: "b"}},
			Commands:  []*fleet.Command{{ID: "c1", Cause: string(phase)}, {ID: "c2"}},
		}}
	}
	mergeChange(&to, change(fleet.PhaseStarting))
	mergeChange(&to, change(fleet.PhaseReady))
	if len(to.Instances) != 2 || to.Instances[0].Phase != fleet.PhaseReady {
		t.Errorf("instances %+v", to.Instances)
	}
	if len(to.Commands) != 2 || to.Commands[0].Cause != string(fleet.PhaseReady) {
		t.Errorf("commands %+v", to.Commands)
	}
	mergeChange(&to, agentstore.Change{DeletedCommands: []string{"c1"}})
	if len(to.Commands) != 1 || to.Commands[0].ID != "c2" || !slices.Equal(to.DeletedCommands, []string{"c1"}) {
		t.Errorf("after a deletion: %+v", to)
	}
}
