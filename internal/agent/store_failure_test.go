package agent

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
)

// fullDiskStore is a store whose writes fail with ENOSPC while full is set.
type fullDiskStore struct {
	agentstore.Store
	full atomic.Bool
}

func (s *fullDiskStore) Save(c agentstore.Change) error {
	if s.full.Load() {
		return syscall.ENOSPC
	}
	return s.Store.Save(c)
}

// TestFullDiskRejectsOnlyNewCommands checks that with a full disk new commands are rejected with the reason, a drain in
// progress completes, and the agent recovers once there is space again.
func TestFullDiskRejectsOnlyNewCommands(t *testing.T) {
	h := newTestHost(t, "a", "b")
	disk := &fullDiskStore{}
	h.startAgent(func(s agentstore.Store) agentstore.Store {
		disk.Store = s
		return disk
	})
	h.mustSubmit("start", fleet.KindStart)
	h.waitForCommand("start")
	h.mustSubmit("drain-a", fleet.KindDrain, "a")
	disk.full.Store(true)

	_, err := h.submit("drain-b", fleet.KindDrain, "b")
	rejection, ok := errors.AsType[*agentapi.StatusError](err)
	if !ok || rejection.Status != http.StatusServiceUnavailable || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("command on a full disk: %v, want status 503 with the reason", err)
	}
	wantOutcomes(t, h.waitForCommand("drain-a"), map[string]fleet.Outcome{"a": fleet.OutcomeSucceeded})
	if s := h.agent.Status(); s.StoreError == "" || h.agent.Command("drain-b") != nil {
		t.Errorf("store error %q, rejected command %v", s.StoreError, h.agent.Command("drain-b"))
	}

	disk.full.Store(false)
	fakes.Until(t, "the agent has recovered", func() bool { return h.agent.Status().StoreError == "" })
	if _, err := h.submit("drain-b", fleet.KindDrain, "b"); err != nil {
		t.Error(err)
	}
	h.waitForCommand("drain-b")
	h.stopAgent()
	h.startAgent(nil)
	if c := h.agent.Command("drain-a"); c == nil || c.State != fleet.CommandDone {
		t.Errorf("the command that ended while the disk was full: %+v", c)
	}
}

// TestNewStoreAdoptsRunningInstances checks that a corrupted store is reported as such, and that an agent that starts
// with a new store adopts the running instances.
func TestNewStoreAdoptsRunningInstances(t *testing.T) {
	h := newTestHost(t, "a", "b")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.waitForCommand("start")
	before := h.supervisorState("a")
	h.stopAgent()
	if err := os.Truncate(agentstore.Path(h.dir), 9000); err != nil {
		t.Fatal(err)
	}
	if _, err := agentstore.Open(h.dir, 10); !errors.Is(err, agentstore.ErrCorrupt) {
		t.Fatalf("%v, want ErrCorrupt", err)
	}
	if _, err := agentstore.SetAside(h.dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	h.startAgent(nil)
	fakes.Until(t, "both instances are observed as ready", func() bool {
		in := h.agent.Status().Instances
		return in[0].Phase == fleet.PhaseReady && in[1].Phase == fleet.PhaseReady && in[0].DesiredUp
	})
	h.mustSubmit("restart", fleet.KindRestart, "a")
	h.waitForCommand("restart")
	after, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "a").State)
	if after.Incarnation == before.Incarnation || after.Instance == before.Instance {
		t.Errorf("not restarted: %+v after %+v", after, before)
	}
}
