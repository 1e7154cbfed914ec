package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/supervisor"
)

// TestFaultyInstances: what becomes of instances with each kind of fault, as real processes.
func TestFaultyInstances(t *testing.T) {
	tr := fakes.NewTrace(t)
	h := newTestHost(t, "well", "deaf", "dies", "never", "crashes", "talks")
	h.enter(nil)
	if _, err := h.order("up", fleet.KindStart); err != nil {
		t.Fatal(err)
	}
	h.outcomes(tr, "up")
	if _, err := h.order("down", fleet.KindDrain); err != nil {
		t.Fatal(err)
	}
	h.outcomes(tr, "down")
	for _, n := range []string{"talks", "talks.1"} {
		path := supervisor.PathsOf(h.dir, strings.TrimSuffix(n, ".1")).Log + strings.TrimPrefix(n, "talks")
		if info, err := os.Stat(path); err == nil && info.Size() > 3*limits.ForControl().LogFileSize {
			t.Errorf("%s has %d bytes", path, info.Size())
		}
	}
}

// TestCrashAtEveryWrite: the agent dies at every place between writing down and acting, before and after each write. The
// next one finishes what was begun: every instance has the incarnations that the commands ask for, and no more.
func TestCrashAtEveryWrite(t *testing.T) {
	for n := 1; n <= 14; n++ {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprintf("write%d/done=%t", n, after), func(t *testing.T) {
				t.Parallel()
				h := newTimedHost(t, longTiming, "a", "b")
				died := make(chan struct{})
				h.enter(func(s agentstore.Store) agentstore.Store {
					return &dying{Store: s, left: n, after: after, died: died}
				})
				ask := func(id string, kind fleet.CommandKind) { // like a tool that sends again until it is taken
					h.until(id+" is taken", func() bool {
						select {
						case <-died:
							h.leave()
							died = nil
							h.enter(nil)
						default:
						}
						_, err := h.order(id, kind)
						return err == nil
					})
					h.until(id+" has ended", func() bool {
						select {
						case <-died:
							h.leave()
							died = nil
							h.enter(nil)
						default:
						}
						c := h.agent.Command(id)
						return c != nil && c.State == fleet.CommandDone
					})
				}
				ask("up", fleet.KindStart)
				ask("wave", fleet.KindRollingUpdate)
				ask("down", fleet.KindDrain)
				if died != nil {
					t.Errorf("the agent never died: there is no write %d", n)
				}
				for _, id := range []string{"up", "wave", "down"} {
					for n, r := range h.agent.Command(id).Results {
						if r.Outcome != fleet.OutcomeSucceeded {
							t.Errorf("%s %s: %+v", id, n, r)
						}
					}
				}
				for _, n := range h.names {
					raw, _ := os.ReadFile(supervisor.PathsOf(h.dir, n).Log + ".keeper")
					if launches := strings.Count(string(raw), " launched "); launches != 2 {
						t.Errorf("%s was launched %d times, want 2:\n%s", n, launches, raw)
					}
				}
			})
		}
	}
}

// dying is a store at whose n-th write the agent dies, before it or after it.
type dying struct {
	agentstore.Store
	left  int
	after bool
	died  chan struct{}
}

func (d *dying) Save(c agentstore.Change) error {
	if d.left--; d.left != 0 {
		return d.Store.Save(c)
	}
	if d.after {
		_ = d.Store.Save(c) // the agent dies before it learns of an error
	}
	close(d.died)
	runtime.Goexit() // the loop ends here, with its actions not started
	return nil
}

// full is a store that can't write while fails is set.
type full struct {
	agentstore.Store
	fails atomic.Bool
}

func (f *full) Save(c agentstore.Change) error {
	if f.fails.Load() {
		return syscall.ENOSPC
	}
	return f.Store.Save(c)
}

// TestFullDisk: nothing new is taken, what leaves goes on leaving, the error is clear, and it heals.
func TestFullDisk(t *testing.T) {
	h := newTestHost(t, "a", "b")
	disk := &full{}
	h.enter(func(s agentstore.Store) agentstore.Store { disk.Store = s; return disk })
	h.mustOrder("up", fleet.KindStart)
	h.result("up")
	h.mustOrder("down", fleet.KindDrain, "a")
	disk.fails.Store(true)
	_, err := h.order("more", fleet.KindDrain, "b")
	var refused *agentapi.StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("%v", err)
	}
	if c := h.result("down"); c.Results["a"].Outcome != fleet.OutcomeSucceeded {
		t.Errorf("%+v", c.Results)
	}
	if s := h.agent.Status(); s.StoreError == "" || h.agent.Command("more") != nil {
		t.Errorf("ill %q, command %v", s.StoreError, h.agent.Command("more"))
	}
	disk.fails.Store(false)
	fakes.Until(t, "it is well again", func() bool { return h.agent.Status().StoreError == "" })
	if _, err := h.order("more", fleet.KindDrain, "b"); err != nil {
		t.Error(err)
	}
	h.result("more")
	h.leave()
	h.enter(nil) // what could not be written then has been written since
	if c := h.agent.Command("down"); c == nil || c.State != fleet.CommandDone {
		t.Errorf("%+v", c)
	}
}

// TestSupervisorDies: with its instance serving, another takes over and nobody leaves; in the middle of a drain, the
// next one knows of the notice; with the agent away, the instance still leaves.
func TestSupervisorDies(t *testing.T) {
	h := newTestHost(t, "a", "deaf")
	h.enter(nil)
	h.mustOrder("up", fleet.KindStart)
	h.result("up")
	state := func(n string) supervisor.State {
		s, err := supervisor.ReadState(supervisor.PathsOf(h.dir, n).State)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	before := state("a")
	before.Supervisor.Signal(syscall.SIGKILL)
	fakes.Until(t, "another supervisor is there", func() bool { s := state("a"); return s.Supervisor != before.Supervisor && s.Supervisor.Alive() })
	fakes.Until(t, "it is seen ready", func() bool { return h.agent.Status().Instances[0].Phase == fleet.PhaseReady })
	if s := state("a"); s.Instance != before.Instance || s.NoticeID != "" {
		t.Fatalf("%+v became %+v", before, s)
	}
	h.mustOrder("down", fleet.KindDrain)
	fakes.Until(t, "the notice is written down", func() bool { return state("deaf").NoticeID != "" && state("a").NoticeID != "" })
	state("deaf").Supervisor.Signal(syscall.SIGKILL)
	state("a").Supervisor.Signal(syscall.SIGKILL)
	c := h.result("down")
	if c.Results["a"].Outcome != fleet.OutcomeSucceeded || c.Results["deaf"].Outcome != fleet.OutcomeKilled {
		t.Errorf("%+v", c.Results)
	}
	if state("deaf").Instance.Alive() {
		t.Error("the deaf one still runs")
	}
}

// TestDrainWithoutAgent: an instance with a shutdown notice exits in its window though no agent runs.
func TestDrainWithoutAgent(t *testing.T) {
	h := newTestHost(t, "a", "deaf")
	h.enter(nil)
	h.mustOrder("up", fleet.KindStart)
	h.result("up")
	h.mustOrder("down", fleet.KindDrain)
	fakes.Until(t, "the notices are out", func() bool {
		a, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "a").State)
		d, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "deaf").State)
		return a.NoticeID != "" && d.NoticeID != ""
	})
	h.leave()
	for _, n := range h.names {
		fakes.Until(t, n+" has ended", func() bool {
			s, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, n).State)
			return s.Ended && s.End.DrainTime < 900_000
		})
	}
	h.enter(nil)
	if c := h.result("down"); c.Results["a"].Outcome != fleet.OutcomeSucceeded || c.Results["deaf"].Outcome != fleet.OutcomeKilled {
		t.Errorf("%+v", c.Results)
	}
}

// TestConcurrentClients: two clients with the same command, a stream that is left and joined again, one that reads nothing, an
// order that can't be, all over the agent's socket.
func TestConcurrentClients(t *testing.T) {
	tr := fakes.NewTrace(t)
	h := newTestHost(t, "a", "b")
	h.enter(nil)
	b := limits.ForControl()
	l, err := agentapi.Listen("unix:" + h.dir + "/a.sock")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = agentapi.Serve(ctx, l, h.agent, b) }()
	caller := agentapi.NewClientFactory(b, 1)
	client := caller.Client("unix:" + h.dir + "/a.sock")
	defer client.Close()
	o := agentapi.CommandRequest{ID: "same", Kind: fleet.KindStart, Instances: h.names, RequestedBy: "one", TimeoutMicros: 30_000_000}
	var both sync.WaitGroup
	for _, by := range []string{"one", "two"} {
		both.Go(func() {
			o := o
			if o.RequestedBy = by; by == "two" {
				o.RequestedUnixMicros = time.Now().Add(-time.Hour).UnixMicro() // its wall clock was set back
			}
			if _, err := client.Submit(ctx, o); err != nil {
				t.Errorf("%s: %v", by, err)
			}
		})
	}
	both.Wait()
	// Left after each line and joined again, it brings every line once.
	var serials []uint64
	after := uint64(0)
	var last *fleet.Command
	for last == nil {
		err := client.Follow(ctx, "same", after, func(l agentapi.StreamEvent) bool {
			if l.Entry != nil {
				serials, after = append(serials, l.Serial), l.Serial
				return false
			}
			last = l.Command
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !slices.IsSorted(serials) || len(slices.Compact(slices.Clone(serials))) != len(serials) {
		t.Errorf("lines came out of order or twice: %v", serials)
	}
	tr.Say("%s: %d commands, results %s %s", last.State, len(h.agent.Commands()), last.Results["a"].Outcome, last.Results["b"].Outcome)
	for _, bad := range []agentapi.CommandRequest{
		{ID: "same", Kind: fleet.KindDrain, Instances: h.names, TimeoutMicros: 1_000_000},
		{ID: "x", Kind: "dance", Instances: h.names, TimeoutMicros: 1_000_000}, {ID: "x", Kind: fleet.KindDrain, Instances: []string{"z"}, TimeoutMicros: 1_000_000},
		{ID: "x", Kind: fleet.KindDrain, Instances: h.names}, {ID: "../x", Kind: fleet.KindDrain, Instances: h.names, TimeoutMicros: 1_000_000},
		{ID: "x", Kind: fleet.KindRollingUpdate, Instances: h.names, TimeoutMicros: 1_000_000},
	} {
		_, err := client.Submit(ctx, bad)
		tr.Say("%v", err)
	}
	_, err = client.Command(ctx, "nothing")
	tr.Say("%v", err)
	_, err = client.Steer(ctx, "same", "pause", "test")
	tr.Say("%v", err)
	away := caller.Client("unix:" + h.dir + "/nobody.sock")
	_, err = away.Status(ctx)
	var unreachable *agentapi.UnreachableError
	tr.Say("nobody there: %t", errors.As(err, &unreachable))
	raw := jsonhttp.Client("unix:"+h.dir+"/a.sock", b)
	for path, body := range map[string]any{"/v2/commands": nil, "/v1/commands": map[string]any{"id": "x", "weight": 3}} {
		err := jsonhttp.Call(ctx, raw, http.MethodPost, path, body, nil, 0)
		var no *jsonhttp.StatusError
		if !errors.As(err, &no) || no.Code != map[string]int{"/v2/commands": 404, "/v1/commands": 400}[path] {
			t.Errorf("%s: %v", path, err)
		}
	}
	if _, err := agentapi.Listen("unix:" + h.dir + "/a.sock"); err == nil {
		t.Error("a second agent listens")
	}
}

// TestDamagedStore: a damaged record is refused by name; set aside, what runs is adopted as it is.
func TestDamagedStore(t *testing.T) {
	h := newTestHost(t, "a", "b")
	h.enter(nil)
	h.mustOrder("up", fleet.KindStart)
	h.result("up")
	was, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "a").State)
	h.leave()
	if err := os.Truncate(agentstore.Path(h.dir), 9000); err != nil {
		t.Fatal(err)
	}
	if _, err := agentstore.Open(h.dir, 10); !errors.Is(err, agentstore.ErrCorrupt) {
		t.Fatalf("%v", err)
	}
	if _, err := agentstore.SetAside(h.dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	h.enter(nil)
	fakes.Until(t, "both are seen", func() bool {
		s := h.agent.Status()
		return s.Instances[0].Phase == fleet.PhaseReady && s.Instances[1].Phase == fleet.PhaseReady && s.Instances[0].DesiredUp
	})
	h.mustOrder("again", fleet.KindRestart, "a")
	h.result("again")
	if s, _ := supervisor.ReadState(supervisor.PathsOf(h.dir, "a").State); s.Incarnation == was.Incarnation || s.Instance == was.Instance {
		t.Errorf("%+v after %+v", s, was)
	}
}

// TestReload: a changed file adds instances and is not used where it no longer names what runs.
func TestReload(t *testing.T) {
	h := newTestHost(t, "a", "b", "c")
	h.spec = h.read("a", "b")
	h.enter(nil)
	h.mustOrder("up", fleet.KindStart, "a", "b")
	h.result("up")
	if err := h.agent.Reload(h.read("a", "c")); err == nil || !strings.Contains(err.Error(), "b runs") {
		t.Fatalf("%v", err)
	}
	if err := h.agent.Reload(h.read("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	h.mustOrder("more", fleet.KindStart, "a", "b", "c")
	c := h.result("more")
	if c.Results["c"].Outcome != fleet.OutcomeSucceeded || c.Results["a"].Outcome == fleet.OutcomeFailed {
		raw, _ := json.Marshal(c)
		t.Errorf("%s", raw)
	}
}
