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

// fullDiskStore is a store that can't write while full is set.
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

// TestFullDisk holds that with a full disk no command is accepted and a drain goes on, that the error says why, and
// that the agent recovers once there is space.
func TestFullDisk(t *testing.T) {
	h := newTestHost(t, "a", "b")
	disk := &fullDiskStore{}
	h.startAgent(func(s agentstore.Store) agentstore.Store {
		disk.Store = s
		return disk
	})
	h.mustSubmit("up", fleet.KindStart)
	h.waitForCommand("up")
	h.mustSubmit("down", fleet.KindDrain, "a")
	disk.full.Store(true)

	_, err := h.submit("more", fleet.KindDrain, "b")
	rejection, ok := errors.AsType[*agentapi.StatusError](err)
	if !ok || rejection.Status != http.StatusServiceUnavailable || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("a command on a full disk: %v", err)
	}
	wantOutcomes(t, h.waitForCommand("down"), map[string]fleet.Outcome{"a": fleet.OutcomeSucceeded})
	if s := h.agent.Status(); s.StoreError == "" || h.agent.Command("more") != nil {
		t.Errorf("store error %q, rejected command %v", s.StoreError, h.agent.Command("more"))
	}

	disk.full.Store(false)
	fakes.Until(t, "the agent has recovered", func() bool { return h.agent.Status().StoreError == "" })
	if _, err := h.submit("more", fleet.KindDrain, "b"); err != nil {
		t.Error(err)
	}
	h.waitForCommand("more")
	h.stopAgent()
	h.startAgent(nil)
	if c := h.agent.Command("down"); c == nil || c.State != fleet.CommandDone {
		t.Errorf("the command that ended on a full disk: %+v", c)
	}
}

// TestCorruptedStore holds that a corrupted store is reported as such, and that an agent with a new one adopts the
// running instances.
func TestCorruptedStore(t *testing.T) {
	h := newTestHost(t, "a", "b")
	h.startAgent(nil)
	h.mustSubmit("up", fleet.KindStart)
	h.waitForCommand("up")
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
	fakes.Until(t, "both instances are seen ready", func() bool {
		in := h.agent.Status().Instances
		return in[0].Phase == fleet.PhaseReady && in[1].Phase == fleet.PhaseReady && in[0].DesiredUp
	})
	h.mustSubmit("again", fleet.KindRestart, "a")
	h.waitForCommand("again")
	after, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "a").State)
	if after.Incarnation == before.Incarnation || after.Instance == before.Instance {
		t.Errorf("not restarted: %+v after %+v", after, before)
	}
}
