package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/logging"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// TestMain runs the tests, or one of the processes that they start: this program is also their supervisors, launchers
// and instances.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case supervisorCommand:
			supervisorMain()
		case "begin":
			fmt.Fprintln(os.Stderr, supervisor.WaitAndExec(os.Args[3:]))
			os.Exit(1)
		case "serve":
			instanceMain(os.Args[3], os.Args[5])
		}
	}
	logTo := io.Discard
	if os.Getenv("AGENT_TEST_LOG") != "" {
		logTo = os.Stderr
	}
	end := logging.Start(logTo, logging.Text)
	defer end()
	m.Run()
}

// flagValue returns the value of a flag of this process; empty if it has none.
func flagValue(name string) string {
	i := slices.Index(os.Args, "--"+name)
	if i < 0 || i+1 >= len(os.Args) {
		return ""
	}
	return os.Args[i+1]
}

// supervisorMain is the process of a supervisor.
func supervisorMain() {
	grace, _ := time.ParseDuration(flagValue("grace"))
	exitTimeout, _ := time.ParseDuration(flagValue("stop"))
	err := supervisor.Run(context.Background(), supervisor.Options{
		Dir:         flagValue("dir"),
		Name:        flagValue("name"),
		Incarnation: flagValue("run"),
		Adopt:       slices.Contains(os.Args, "--adopt"),
		Launcher:    []string{os.Args[0], "begin", "--"},
		Command:     []string{os.Args[0], "serve", "--config", flagValue("config")},
		Window: fleet.ShutdownWindow{
			Grace:       monotime.FromDuration(grace),
			ExitTimeout: monotime.FromDuration(exitTimeout),
		},
		Bounds: limits.ForControl(),
	})
	if errors.Is(err, supervisor.ErrLocked) {
		os.Exit(ExitSupervisorRunning)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Times of an instance process, from the shutdown notice on.
const (
	instanceGrace    = 300 * time.Millisecond
	instanceExitTime = 400 * time.Millisecond
)

// instanceProcess is the state of an instance process, which serves nothing but its admin socket. Its name says which
// fault it has.
type instanceProcess struct {
	name       string
	notifiedAt atomic.Int64  // of the first shutdown notice, in microseconds of process.Now; 0: none
	notified   chan struct{} // closed at the first shutdown notice
}

// hasFault reports whether the instance's name says that it has a fault.
func (p *instanceProcess) hasFault(fault string) bool { return strings.HasPrefix(p.name, fault) }

// drain takes a shutdown notice; the first one counts.
func (p *instanceProcess) drain(sinceNotice time.Duration) {
	if p.hasFault("deaf") {
		return
	}
	if p.notifiedAt.CompareAndSwap(0, int64(process.Now())-sinceNotice.Microseconds()) {
		close(p.notified)
	}
}

// state is the answer to a health check.
func (p *instanceProcess) state() admin.State {
	s := admin.State{Ready: !p.hasFault("never"), PID: os.Getpid()}
	if at := monotime.Micros(p.notifiedAt.Load()); at != 0 {
		s.Ready = false
		s.Draining = true
		s.GraceEnds = at + monotime.FromDuration(instanceGrace)
	}
	return s
}

// floodLog writes to the log without end.
func floodLog() {
	line := strings.Repeat("x", 1000) + "\n"
	for range time.Tick(50 * time.Microsecond) {
		_, _ = os.Stderr.WriteString(line)
	}
}

// instanceMain is the process of an instance.
func instanceMain(config, socket string) {
	p := &instanceProcess{
		name:     strings.TrimSuffix(filepath.Base(config), ".json"),
		notified: make(chan struct{}),
	}
	if p.hasFault("crashes") {
		os.Exit(3)
	}
	if p.hasFault("talks") {
		go floodLog()
	}
	terminate := make(chan os.Signal, 4)
	signal.Notify(terminate, syscall.SIGTERM)
	go func() {
		for range terminate {
			p.drain(0)
		}
	}()
	go func() {
		_ = admin.Serve(context.Background(), socket, limits.ForControl(), admin.Instance{
			State:    p.state,
			Drain:    p.drain,
			Override: func(admin.Override) error { return nil },
		})
	}()
	<-p.notified
	if p.hasFault("dies") {
		os.Exit(7)
	}
	elapsed := process.Now() - monotime.Micros(p.notifiedAt.Load())
	<-time.After(instanceExitTime - elapsed.Duration())
	os.Exit(0)
}

// hostTiming is the time limits of a test host.
type hostTiming struct {
	startWithin time.Duration // from a launch to ready
	grace       time.Duration // from a shutdown notice, by the instances' configuration
	exitTimeout time.Duration // from a shutdown notice, by the instances' configuration
	command     time.Duration // timeout of commands
	wait        time.Duration // of the test for a condition
}

var (
	// shortTiming is for tests of what happens when a time limit passes.
	shortTiming = hostTiming{
		startWithin: time.Second,
		grace:       300 * time.Millisecond,
		exitTimeout: 600 * time.Millisecond,
		command:     30 * time.Second,
		wait:        10 * time.Second,
	}
	// longTiming is for tests that do not depend on time limits: an instance that gets no CPU time for seconds on a
	// busy machine is neither given up nor killed. What takes its usual time is not slowed down.
	longTiming = hostTiming{
		startWithin: time.Minute,
		grace:       30 * time.Second,
		exitTimeout: time.Minute,
		command:     4 * time.Minute,
		wait:        2 * time.Minute,
	}
)

// testHost is the host of an agent, which may be stopped and started again. Instances and supervisors are processes.
type testHost struct {
	t      *testing.T
	timing hostTiming
	dir    string
	file   string // path of the fleet file, for errors
	spec   *fleet.Spec
	names  []string // of the instances

	// Of the running agent.
	agent   *Agent
	store   agentstore.Store
	cancel  context.CancelFunc // nil: no agent runs
	stopped chan struct{}      // closed when the agent's Run has returned
}

func newTestHost(t *testing.T, names ...string) *testHost {
	t.Helper()
	return newTimedHost(t, shortTiming, names...)
}

func newTimedHost(t *testing.T, timing hostTiming, names ...string) *testHost {
	t.Helper()
	dir := t.TempDir()
	h := &testHost{t: t, timing: timing, dir: dir, file: filepath.Join(dir, "f"), names: names}
	t.Cleanup(h.cleanUp)
	for i, name := range names {
		if err := os.WriteFile(h.configFile(name), h.config(name, 20_000+i), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	h.spec = h.readSpec(names...)
	return h
}

// configFile returns the path of an instance's configuration.
func (h *testHost) configFile(name string) string { return filepath.Join(h.dir, name+".json") }

// config returns the configuration of an instance.
func (h *testHost) config(name string, port int) []byte {
	grace := fmt.Sprintf(`"drain_grace_ms":%d`, h.timing.grace.Milliseconds())
	settings := strings.Replace(fakes.Settings, `"drain_grace_ms":300`, grace, 1)
	return fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:%d",
		"agent":"127.0.0.1:2","roster":"127.0.0.1:3","seed":"8c1f","stop_ms":%d,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"settings":%s}`, name, port, h.timing.exitTimeout.Milliseconds(), settings)
}

// readSpec returns the spec of a fleet of this host with the instances.
func (h *testHost) readSpec(names ...string) *fleet.Spec {
	h.t.Helper()
	text := fmt.Sprintf(`(fleet f (host h1 (agent "unix:%s/a.sock"))
		(group g (config "%%n.json") (start-within %s) (settle 50ms)
			(restart (most 2) (within 30s)) (instances %s))
		(wave (width 1) (least-share 0)))`, h.dir, h.timing.startWithin, strings.Join(names, " "))
	s, err := fleet.ReadSpec(h.file, []byte(text), limits.ForControl())
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

// cleanUp stops the agent and kills the processes of this host.
func (h *testHost) cleanUp() {
	h.stopAgent()
	fakes.Until(h.t, "the processes of the host have ended", func() bool {
		running := h.processes()
		for _, id := range running {
			_ = id.Signal(syscall.SIGKILL) // it may have ended since
		}
		return len(running) == 0
	})
}

// processes returns the supervisors, launchers and instances of this host: all other processes whose command line names
// its directory.
func (h *testHost) processes() []process.Identity {
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		h.t.Fatal(err)
	}
	var running []process.Identity
	for _, file := range files {
		commandLine, _ := os.ReadFile(file) // fails if the process has ended
		named := bytes.Contains(commandLine, []byte(h.dir+"/")) || bytes.Contains(commandLine, []byte(h.dir+"\x00"))
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		if !named || pid == os.Getpid() {
			continue
		}
		if id, err := process.Of(pid); err == nil {
			running = append(running, id)
		}
	}
	return running
}

// startAgent starts an agent. wrap, unless it is nil, replaces the agent's store.
func (h *testHost) startAgent(wrap func(agentstore.Store) agentstore.Store) {
	h.t.Helper()
	bounds := limits.ForControl()
	var err error
	if h.store, err = agentstore.Open(h.dir, bounds.HistoryEntries); err != nil {
		h.t.Fatal(err)
	}
	store := h.store
	if wrap != nil {
		store = wrap(store)
	}
	a, err := New(Options{
		Spec:       h.spec,
		Host:       "h1",
		Dir:        h.dir,
		Executable: []string{os.Args[0]},
		Build:      "test",
		Bounds:     bounds,
		Store:      store,
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.agent = a
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	stopped := make(chan struct{})
	h.stopped = stopped
	go func() {
		defer close(stopped)
		a.Run(ctx)
	}()
}

// stopAgent stops the agent if one runs. Instances keep running.
func (h *testHost) stopAgent() {
	if h.cancel != nil {
		h.cancel()
		<-h.stopped
		h.store.Close()
		h.cancel = nil
	}
}

// submit submits a command on the instances; without names, on all of the host.
func (h *testHost) submit(id string, kind fleet.CommandKind, names ...string) (*fleet.Command, error) {
	if len(names) == 0 {
		names = h.names
	}
	request := agentapi.CommandRequest{
		ID:            id,
		Kind:          kind,
		Instances:     names,
		RequestedBy:   "test",
		TimeoutMicros: h.timing.command.Microseconds(),
	}
	if kind == fleet.KindRollingUpdate {
		request.RollingUpdate = &h.spec.RollingUpdate
	}
	return h.agent.Submit(request)
}

// mustSubmit submits a command that has to be accepted.
func (h *testHost) mustSubmit(id string, kind fleet.CommandKind, names ...string) {
	h.t.Helper()
	if _, err := h.submit(id, kind, names...); err != nil {
		h.t.Fatalf("%s: %v", id, err)
	}
}

// until waits for a condition, as long as the host's timing says.
func (h *testHost) waitUntil(condition string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(h.timing.wait); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("waited %v in vain until %s", h.timing.wait, condition)
		}
	}
}

// done reports whether a command has ended.
func (h *testHost) commandDone(id string) bool {
	c := h.agent.Command(id)
	return c != nil && c.State == fleet.CommandDone
}

// result waits for a command's end and returns the command.
func (h *testHost) waitForCommand(id string) *fleet.Command {
	h.t.Helper()
	var c *fleet.Command
	fakes.Until(h.t, id+" has ended", func() bool {
		c = h.agent.Command(id)
		return c != nil && c.State == fleet.CommandDone
	})
	return c
}

// supervisorState returns the state file of an instance's supervisor.
func (h *testHost) supervisorState(name string) supervisor.State {
	h.t.Helper()
	s, err := supervisor.ReadState(supervisor.PathsOf(h.dir, name).State)
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

// traceResults waits for a command's end and adds its results to a trace.
func (h *testHost) traceResults(trace *fakes.Trace, id string) {
	h.t.Helper()
	c := h.waitForCommand(id)
	for _, name := range c.Names {
		r := c.Results[name]
		trace.Say("%s %s: %s, %s", id, name, r.Outcome, r.Cause)
	}
}

// wantOutcomes fails the test unless the command's results have these outcomes, by instance.
func wantOutcomes(t *testing.T, c *fleet.Command, want map[string]fleet.Outcome) {
	t.Helper()
	for name, outcome := range want {
		if got := c.Results[name].Outcome; got != outcome {
			t.Errorf("%s %s: outcome %s, want %s: %+v", c.ID, name, got, outcome, c.Results)
		}
	}
}

// memoryStore is a store without a file. It fails while err is set.
type memoryStore struct {
	state agentstore.State // what Load returns
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

// storeFunc is a store that calls a function to save.
type storeFunc func(agentstore.Change) error

func (f storeFunc) Load() (agentstore.State, error) { return agentstore.State{}, nil }
func (f storeFunc) Save(c agentstore.Change) error  { return f(c) }
func (f storeFunc) Close() error                    { return nil }

// newIdleAgent returns an agent of instances a and b whose loop does not run.
func newIdleAgent(t *testing.T, store *memoryStore) (*Agent, error) {
	t.Helper()
	h := newTestHost(t, "a", "b")
	return New(Options{
		Spec:       h.spec,
		Host:       "h1",
		Dir:        h.dir,
		Executable: []string{filepath.Join(h.dir, "no-such-program")},
		Build:      "test",
		Bounds:     limits.ForControl(),
		Store:      store,
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

// reloadIdle has an agent whose loop does not run reload a fleet file. It starts no action.
func reloadIdleAgent(t *testing.T, a *Agent, s *fleet.Spec) error {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- a.Reload(s) }()
	(<-a.calls)(process.Now())
	a.loop.actions = nil
	a.flush(t.Context())
	return <-result
}

// launchByCommand has an agent whose loop does not run launch instance a, and returns its state.
func launchByCommand(t *testing.T, a *Agent) fleet.Instance {
	t.Helper()
	command := &fleet.Command{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: farDeadline}
	if err := a.decide(process.Now(), fleet.CommandReceived{Command: command}); err != nil {
		t.Fatal(err)
	}
	in, _ := a.loop.machine.Instance("a")
	return in
}

// farDeadline is later than any test.
const farDeadline monotime.Micros = 1 << 60

// statusOf returns the status of an agent's first instance; the agent's loop does not run.
func statusOf(a *Agent) agentapi.Instance {
	var s agentapi.Status
	a.loop.addStatus(process.Now(), &s)
	return s.Instances[0]
}

// writeState writes the state file of an instance's supervisor.
func writeState(t *testing.T, dir string, s supervisor.State) {
	t.Helper()
	path := supervisor.PathsOf(dir, s.Name).State
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"version":1,"name":%q,"run":%q,"boot":%q,"ended":%t}`,
		s.Name, s.Incarnation, process.Boot(), s.Ended)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// fakeCluster answers each command with a result or an error.
type fakeCluster struct {
	Cluster
	result quota.Result
	err    error
}

func (c *fakeCluster) Do(context.Context, quota.Command) (quota.Result, error) {
	return c.result, c.err
}
