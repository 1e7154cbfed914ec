package agent

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// memoryStore is a store that fails while err is set.
type memoryStore struct {
	state agentstore.State
	err   error
	saved []agentstore.Change
}

func (s *memoryStore) Load() (agentstore.State, error) { return s.state, nil }
func (s *memoryStore) Close() error                    { return nil }

func (s *memoryStore) Save(c agentstore.Change) error {
	if s.err == nil {
		s.saved = append(s.saved, c)
	}
	return s.err
}

// newIdleAgent makes an agent of instances a and b whose loop does not run.
func newIdleAgent(t *testing.T, store *memoryStore) (*Agent, error) {
	t.Helper()
	h := newTestHost(t, "a", "b")
	return New(Options{
		Spec: h.spec, Host: "h1", Dir: h.dir, Executable: []string{filepath.Join(h.dir, "no-such-program")},
		Build: "test", Bounds: limits.ForControl(), Store: store,
	})
}

func mustNewIdleAgent(t *testing.T, store *memoryStore) *Agent {
	t.Helper()
	a, err := newIdleAgent(t, store)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeState writes what a supervisor of an instance would have written.
func writeState(t *testing.T, dir string, s supervisor.State) {
	t.Helper()
	path := supervisor.PathsOf(dir, s.Name).State
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"version":1,"name":%q,"run":%q,"boot":%q,"ended":%t}`, s.Name, s.Incarnation, process.Boot(), s.Ended)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestUnnamedInstanceStopsStart: an agent does not start while an instance runs that its fleet file does not name.
func TestUnnamedInstanceStopsStart(t *testing.T) {
	store := &memoryStore{}
	store.state.BootID = process.Boot()
	store.state.Instances = []fleet.Instance{{Name: "z", DesiredUp: true, Incarnation: "z.1", Phase: fleet.PhaseReady}}
	_, err := newIdleAgent(t, store)
	var unnamed *UnnamedInstanceError
	if !errors.As(err, &unnamed) || unnamed.Instance != "z" {
		t.Errorf("%v", err)
	}
	if len(store.saved) != 0 {
		t.Error("something was written")
	}
}

// TestReboot: incarnations of another boot are over, also those of instances that the fleet file does not name; a store
// that knows no boot is of this one.
func TestReboot(t *testing.T) {
	for boot, over := range map[string]bool{"another": true, "": false, process.Boot(): false} {
		store := &memoryStore{}
		store.state.BootID = boot
		store.state.Instances = []fleet.Instance{{Name: "a", DesiredUp: true, Incarnation: "a.1", Phase: fleet.PhaseReady}}
		a := mustNewIdleAgent(t, store)
		if in, _ := a.loop.machine.Instance("a"); (in.Incarnation == "") != over {
			t.Errorf("boot %q: %+v", boot, in)
		}
		if boot != process.Boot() && a.loop.unsaved.BootID != process.Boot() {
			t.Errorf("boot %q: this boot is not written down", boot)
		}
		store.state.Instances[0].Name = "z"
		if _, err := newIdleAgent(t, store); (err == nil) != over {
			t.Errorf("boot %q: %v", boot, err)
		}
	}
}

// TestIntentsAreDecided: a command that an agent accepted and died with is decided on by the next one, once.
func TestIntentsAreDecided(t *testing.T) {
	store := &memoryStore{}
	store.state.Intents = []*fleet.Command{{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: 1 << 60}}
	a := mustNewIdleAgent(t, store)
	if a.loop.machine.Command("c1") == nil || !slices.Equal(a.loop.unsaved.CompletedIntents, []string{"c1"}) {
		t.Errorf("command %v, completed %v", a.loop.machine.Command("c1"), a.loop.unsaved.CompletedIntents)
	}
}

// TestAdoption: of the instances that the store does not know, those whose supervisors recorded no end are adopted, and
// the ids of their actions do not come again.
func TestAdoption(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	dir := a.options.Dir
	writeState(t, dir, supervisor.State{Name: "a", Incarnation: "a.7"})
	writeState(t, dir, supervisor.State{Name: "b", Incarnation: "b.3", Ended: true})
	var saved agentstore.State
	a.adoptUnrecorded(&saved)
	if len(saved.Instances) != 1 {
		t.Fatalf("%+v", saved.Instances)
	}
	in := saved.Instances[0]
	if in.Name != "a" || in.Incarnation != "a.7" || !in.DesiredUp || in.Phase != fleet.PhaseUnknown || in.ActionCount <= 7+100 {
		t.Errorf("%+v", in)
	}
	a.adoptUnrecorded(&saved)
	if len(saved.Instances) != 1 {
		t.Errorf("adopted though it is known: %+v", saved.Instances)
	}
}

// TestUnwritableStore: with a store that can't be written nothing is launched and no unit acquired; adoptions and
// shutdown notices go on, and what was not written is written later.
func TestUnwritableStore(t *testing.T) {
	store := &memoryStore{err: syscall.ENOSPC}
	a := mustNewIdleAgent(t, store)
	ctx := t.Context()
	watched := func(incarnation string) bool {
		current, _ := a.loop.watcherByInstance["a"].current()
		return current == incarnation
	}
	a.loop.watcherByInstance["a"] = &watcher{name: "a"}
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionLaunch, Name: "a", ID: "a.1", Incarnation: "a.1"}}
	a.flush(ctx)
	if watched("a.1") {
		t.Error("launched although nothing can be saved")
	}
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionAcquireUnit, Name: "a", ID: "u1"}}
	a.flush(ctx)
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionLaunch, Name: "a", ID: "a.3", Incarnation: "a.2", Adopt: true}}
	a.flush(ctx)
	if !watched("a.2") {
		t.Error("an adoption waits for the store")
	}
	a.tasks.Wait()
	if n := len(a.calls); n != 1 { // the adoption failed: there is no such program
		t.Errorf("%d actions were carried out, want the adoption alone", n)
	}
	if a.loop.storeErr == nil || len(a.loop.unsaved.History) == 0 {
		t.Fatalf("store error %v, unsaved %+v", a.loop.storeErr, a.loop.unsaved)
	}
	store.err = nil
	a.flush(ctx)
	if len(store.saved) != 1 || store.saved[0].History[0].Event != "agent started" || !a.loop.unsaved.Empty() || a.loop.storeErr != nil {
		t.Errorf("saved %+v, unsaved %+v", store.saved, a.loop.unsaved)
	}
}

// TestSavedBeforeActed: what a flush starts and whom it answers comes after its write.
func TestSavedBeforeActed(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	waiter := make(chan struct{})
	a.loop.waiters = []chan struct{}{waiter}
	a.options.Store = storeFunc(func(agentstore.Change) error {
		select {
		case <-waiter:
			t.Error("a caller was answered before the write")
		default:
		}
		if len(a.loop.actions) == 0 {
			t.Error("the actions were taken before the write")
		}
		return nil
	})
	a.loop.actions = []fleet.Action{{Kind: fleet.ActionAcquireUnit, Name: "a", ID: "u1"}}
	a.flush(t.Context())
	a.tasks.Wait()
	select {
	case <-waiter:
	default:
		t.Error("the caller was not answered")
	}
}

// storeFunc is a store with a Save.
type storeFunc func(agentstore.Change) error

func (f storeFunc) Load() (agentstore.State, error) { return agentstore.State{}, nil }
func (f storeFunc) Save(c agentstore.Change) error  { return f(c) }
func (f storeFunc) Close() error                    { return nil }

// TestNothingAcceptedWithoutStore: while the last write failed, no further intent is tried.
func TestNothingAcceptedWithoutStore(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	a.loop.storeErr = syscall.ENOSPC
	_, err := a.accept(0, agentapi.CommandRequest{ID: "c1", Kind: fleet.KindStart, Instances: []string{"a"}, TimeoutMicros: 1})
	var rejection *agentapi.StatusError
	if !errors.As(err, &rejection) || rejection.Status != 503 || a.loop.machine.Command("c1") != nil {
		t.Errorf("%v", err)
	}
}

// TestRequestLimits: timeouts of more than a day and overlong names of requesters are rejected.
func TestRequestLimits(t *testing.T) {
	day := maxTimeout.Microseconds()
	for _, c := range []struct {
		request agentapi.CommandRequest
		text    string // empty: it is accepted
	}{
		{agentapi.CommandRequest{TimeoutMicros: 1, RequestedBy: strings.Repeat("x", 100)}, ""},
		{agentapi.CommandRequest{TimeoutMicros: day}, ""},
		{agentapi.CommandRequest{TimeoutMicros: 0}, "within_us: 0 is not above 0 and at most a day"},
		{agentapi.CommandRequest{TimeoutMicros: day + 1}, fmt.Sprintf("within_us: %d is not above 0 and at most a day", day+1)},
		{agentapi.CommandRequest{TimeoutMicros: 1, RequestedBy: strings.Repeat("x", 101)}, "by: 101 bytes, expected at most 100"},
	} {
		err := checkRequest(&c.request)
		var rejection *agentapi.StatusError
		switch {
		case c.text == "" && err != nil:
			t.Errorf("%+v: %v", c.request, err)
		case c.text != "" && (!errors.As(err, &rejection) || rejection.Status != 400 || rejection.Text != c.text):
			t.Errorf("%+v: %v", c.request, err)
		}
	}
}

// TestMergeChange: the later state replaces the earlier, and a deleted command is not written.
func TestMergeChange(t *testing.T) {
	var to agentstore.Change
	later := func(phase fleet.Phase, deleted ...string) agentstore.Change {
		return agentstore.Change{DeletedCommands: deleted, Snapshot: fleet.Snapshot{
			Instances: []fleet.Instance{{Name: "a", Phase: phase}, {Name: "b"}},
			Commands:  []*fleet.Command{{ID: "c1", Cause: string(phase)}, {ID: "c2"}},
		}}
	}
	mergeChange(&to, later(fleet.PhaseStarting))
	mergeChange(&to, later(fleet.PhaseReady))
	if len(to.Instances) != 2 || to.Instances[0].Phase != fleet.PhaseReady || len(to.Commands) != 2 || to.Commands[0].Cause != string(fleet.PhaseReady) {
		t.Errorf("%+v", to)
	}
	mergeChange(&to, agentstore.Change{DeletedCommands: []string{"c1"}})
	if len(to.Commands) != 1 || to.Commands[0].ID != "c2" || !slices.Equal(to.DeletedCommands, []string{"c1"}) {
		t.Errorf("%+v", to)
	}
}

// TestHistoryFeed: who joins late learns how much is lost, and gets the rest in parts.
func TestHistoryFeed(t *testing.T) {
	feed := newHistoryFeed(nil)
	_, _, more := feed.after(0)
	const total = maxCachedEntries + 10
	for serial := uint64(1); serial <= total; serial++ {
		feed.publish([]agentstore.Entry{{Serial: serial}})
	}
	select {
	case <-more:
	default:
		t.Error("nobody was woken")
	}
	if entries, lost, _ := feed.after(0); lost != 10 || len(entries) != maxEntriesAtOnce || entries[0].Serial != 11 {
		t.Errorf("%d entries, %d lost", len(entries), lost)
	}
	if entries, lost, _ := feed.after(5); lost != 5 || entries[0].Serial != 11 {
		t.Errorf("%d lost", lost)
	}
	if entries, lost, _ := feed.after(10); lost != 0 || entries[0].Serial != 11 {
		t.Errorf("%d lost", lost)
	}
	if entries, lost, _ := feed.after(total - 1); lost != 0 || len(entries) != 1 {
		t.Errorf("%d entries, %d lost", len(entries), lost)
	}
}

// TestIncarnationAlive: only what is known to have ended counts as ended.
func TestIncarnationAlive(t *testing.T) {
	self, err := process.Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	dead := self
	dead.Start++
	for id, want := range map[string]bool{
		IncarnationID(self): true, IncarnationID(dead): false, "other-boot/" + self.String(): false,
		"": true, "x": true, process.Boot() + "/x": true, process.Boot() + "/12": true,
	} {
		if got := incarnationAlive(id); got != want {
			t.Errorf("%q: alive %t", id, got)
		}
	}
}

// TestUnrecordedObservation: that nobody recorded an incarnation says nothing while its launch is under way.
func TestUnrecordedObservation(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	command := &fleet.Command{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: 1 << 60}
	if err := a.decide(process.Now(), fleet.CommandReceived{Command: command}); err != nil {
		t.Fatal(err)
	}
	a.handle(process.Now(), fleet.Tick{})
	launched, _ := a.loop.machine.Instance("a")
	if !launched.ActionPending || launched.LastAction != fleet.ActionLaunch {
		t.Fatalf("%+v", launched)
	}
	exited := fleet.Observation{Incarnation: launched.Incarnation, Phase: fleet.PhaseExited, Exit: fleet.Exit{Unobserved: true}}
	for _, recorded := range []bool{false, true} {
		a.observe(t.Context(), fleet.InstanceObserved{Name: "a", Observation: exited, Unrecorded: !recorded}, nil)
		(<-a.calls)(process.Now())
		if in, _ := a.loop.machine.Instance("a"); (in.Incarnation == "") != recorded {
			t.Errorf("recorded %t: %+v", recorded, in)
		}
	}
}

// TestStatusShowsLatestReport: the status names the processes of the latest report about the incarnation that runs, and
// none while the supervisor is silent, after the incarnation's end, or after a reload until the next report.
func TestStatusShowsLatestReport(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	command := &fleet.Command{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: 1 << 60}
	if err := a.decide(process.Now(), fleet.CommandReceived{Command: command}); err != nil {
		t.Fatal(err)
	}
	launched, _ := a.loop.machine.Instance("a")
	observe := func(observation fleet.Observation, pid int) agentapi.Instance {
		t.Helper()
		var report *supervisor.Report
		if pid != 0 {
			report = &supervisor.Report{Observation: observation, Record: supervisor.State{Instance: process.Identity{PID: pid}, Supervisor: process.Identity{PID: pid + 1}}}
		}
		a.observe(t.Context(), fleet.InstanceObserved{Name: "a", Observation: observation}, report)
		(<-a.calls)(process.Now())
		return statusOf(a)
	}
	want := func(what string, got agentapi.Instance, pid int) {
		t.Helper()
		if got.Name != "a" || got.PID != pid || pid != 0 && got.SupervisorPID != pid+1 {
			t.Errorf("%s: %+v", what, got)
		}
	}
	ready := fleet.Observation{Incarnation: launched.Incarnation, Phase: fleet.PhaseReady}
	want("ready", observe(ready, 40), 40)
	want("a later report", observe(ready, 50), 50)
	earlier := ready
	earlier.Incarnation = "a.0"
	want("a report about another incarnation", observe(earlier, 60), 50)
	silent := ready
	silent.Phase = fleet.PhaseUnknown
	want("silent", observe(silent, 0), 0)
	want("it answers again", observe(ready, 70), 70)
	if err := reloadIdle(t, a, a.loop.spec); err != nil {
		t.Fatal(err)
	}
	want("reloaded", statusOf(a), 0)
	want("reported again", observe(ready, 80), 80)
	exited := ready
	exited.Phase = fleet.PhaseExited
	want("ended", observe(exited, 90), 0)
}

// reloadIdle has an agent whose loop does not run read a fleet file anew; no action is started.
func reloadIdle(t *testing.T, a *Agent, s *fleet.Spec) error {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- a.Reload(s) }()
	(<-a.calls)(process.Now())
	a.loop.actions = nil
	a.flush(t.Context())
	return <-result
}

// TestLaunchTwice: a launch whose incarnation has a supervisor, or has ended, starts no other.
func TestLaunchTwice(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	writeState(t, a.options.Dir, supervisor.State{Name: "a", Incarnation: "a.1", Ended: true})
	if err := a.launch(t.Context(), a.loop.spec, fleet.Action{Kind: fleet.ActionLaunch, Name: "a", Incarnation: "a.1"}); err != nil {
		t.Errorf("the ended incarnation was launched again: %v", err)
	}
	err := a.launch(t.Context(), a.loop.spec, fleet.Action{Kind: fleet.ActionLaunch, Name: "a", Incarnation: "a.2"})
	var failed *ActionError
	if !errors.As(err, &failed) || failed.Instance != "a" || failed.Action != fleet.ActionLaunch || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// statusOf returns the status of an idle agent's first instance.
func statusOf(a *Agent) agentapi.Instance {
	var s agentapi.Status
	a.loop.addStatus(process.Now(), &s)
	return s.Instances[0]
}
