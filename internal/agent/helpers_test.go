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

// TestMain runs the tests, or one of the processes that they start: the test binary also acts as supervisor, launcher
// and instance.
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

// flagValue returns the value of a command-line flag of this process; empty if it is not set.
func flagValue(name string) string {
	i := slices.Index(os.Args, "--"+name)
	if i < 0 || i+1 >= len(os.Args) {
		return ""
	}
	return os.Args[i+1]
}

// supervisorMain is the main function of a supervisor process.
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

// Times from its shutdown notice to the exit of an instance process.
const (
	instanceExitTime  = 400 * time.Millisecond
	lingeringExitTime = 5 * time.Second // of a lingering instance
)

// instanceProcess is the state of an instance process, which serves only its admin socket. The prefix of its name
// selects the fault that it simulates: ignoring (ignores notices), exiting (exits at the notice with an error), unready
// (never becomes ready), crashing (exits at its start with an error), lingering (drains for lingeringExitTime) or
// flooding (writes to its log continuously).
type instanceProcess struct {
	name       string
	grace      monotime.Micros // by its configuration file at the time of its start
	notifiedAt atomic.Int64    // time of the earliest shutdown notice, in microseconds of process.Now; 0 if none
	notified   chan struct{}   // closed at the first shutdown notice
}

// hasFault reports whether the instance simulates a fault.
func (p *instanceProcess) hasFault(fault string) bool { return strings.HasPrefix(p.name, fault) }

// drain handles a shutdown notice. As with a backend, a repeated notice can only bring the deadlines forward.
func (p *instanceProcess) drain(sinceNotice time.Duration) {
	if p.hasFault("ignoring") {
		return
	}
	at := int64(process.Now()) - sinceNotice.Microseconds()
	if p.notifiedAt.CompareAndSwap(0, at) {
		close(p.notified)
		return
	}
	for earliest := p.notifiedAt.Load(); at < earliest; earliest = p.notifiedAt.Load() {
		p.notifiedAt.CompareAndSwap(earliest, at)
	}
}

// state returns the response to a health check.
func (p *instanceProcess) state() admin.State {
	s := admin.State{Ready: !p.hasFault("unready"), PID: os.Getpid()}
	if at := monotime.Micros(p.notifiedAt.Load()); at != 0 {
		s.Ready = false
		s.Draining = true
		s.GraceEnds = at + p.grace
	}
	return s
}

// floodLog writes to the log continuously.
func floodLog() {
	line := strings.Repeat("x", 1000) + "\n"
	for range time.Tick(50 * time.Microsecond) {
		_, _ = os.Stderr.WriteString(line)
	}
}

// instanceMain is the main function of an instance process.
func instanceMain(config, socket string) {
	window, err := ReadShutdownWindow(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	p := &instanceProcess{
		grace:    window.Grace,
		name:     strings.TrimSuffix(filepath.Base(config), ".json"),
		notified: make(chan struct{}),
	}
	if p.hasFault("crashing") {
		os.Exit(3)
	}
	if p.hasFault("flooding") {
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
	if p.hasFault("exiting") {
		os.Exit(7)
	}
	elapsed := process.Now() - monotime.Micros(p.notifiedAt.Load())
	exitTime := instanceExitTime
	if p.hasFault("lingering") {
		exitTime = lingeringExitTime
	}
	<-time.After(exitTime - elapsed.Duration())
	os.Exit(0)
}

// hostTiming has the time limits of a test host.
type hostTiming struct {
	startTimeout   time.Duration // from launch to ready
	grace          time.Duration // from a shutdown notice, by the instances' configuration
	exitTimeout    time.Duration // from a shutdown notice, by the instances' configuration
	commandTimeout time.Duration // timeout of submitted commands
	waitTimeout    time.Duration // how long the test waits for a condition
}

var (
	// shortTiming is for tests in which time limits expire.
	shortTiming = hostTiming{
		startTimeout:   time.Second,
		grace:          300 * time.Millisecond,
		exitTimeout:    600 * time.Millisecond,
		commandTimeout: 30 * time.Second,
		waitTimeout:    10 * time.Second,
	}
	// longTiming is for tests in which no time limit may expire: an instance that gets no CPU time for seconds on a
	// busy machine is neither given up nor killed. The limits do not slow down an instance that responds normally.
	longTiming = hostTiming{
		startTimeout:   time.Minute,
		grace:          30 * time.Second,
		exitTimeout:    time.Minute,
		commandTimeout: 4 * time.Minute,
		waitTimeout:    2 * time.Minute,
	}
)

// testHost is a host with an agent that can be stopped and started again. Instances and supervisors are real processes.
type testHost struct {
	t      *testing.T
	timing hostTiming
	dir    string
	file   string // path of the fleet file, used in error messages only
	spec   *fleet.Spec
	names  []string // names of the instances

	// State of the running agent.
	agent   *Agent
	store   agentstore.Store
	cancel  context.CancelFunc // nil if no agent is running
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
	h.writeConfigs()
	h.spec = h.readSpec(names...)
	return h
}

// writeConfigs writes the configuration files of the instances, with the shutdown window of h.timing.
func (h *testHost) writeConfigs() {
	h.t.Helper()
	const firstPort = 20_000
	for i, name := range h.names {
		if err := os.WriteFile(h.configFile(name), h.config(name, firstPort+i), 0o600); err != nil {
			h.t.Fatal(err)
		}
	}
}

// configFile returns the path of an instance's configuration file.
func (h *testHost) configFile(name string) string { return filepath.Join(h.dir, name+".json") }

// config returns the content of an instance's configuration file.
func (h *testHost) config(name string, port int) []byte {
	grace := fmt.Sprintf(`"drain_grace_ms":%d`, h.timing.grace.Milliseconds())
	settings := strings.Replace(fakes.Settings, `"drain_grace_ms":300`, grace, 1)
	return fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:%d",
		"agent":"127.0.0.1:2","roster":"127.0.0.1:3","seed":"8c1f","stop_ms":%d,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"settings":%s}`, name, port, h.timing.exitTimeout.Milliseconds(), settings)
}

// readSpec returns the spec of a fleet that consists of this host with the given instances.
func (h *testHost) readSpec(names ...string) *fleet.Spec {
	h.t.Helper()
	text := fmt.Sprintf(`(fleet f (host h1 (agent "unix:%s/a.sock"))
		(group g (config "%%n.json") (start-within %s) (settle 50ms)
			(restart (most 2) (within 30s)) (instances %s))
		(wave (width 1) (least-share 0)))`, h.dir, h.timing.startTimeout, strings.Join(names, " "))
	s, err := fleet.ReadSpec(h.file, []byte(text), limits.ForControl())
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

// cleanUp stops the agent and kills all processes of this host.
func (h *testHost) cleanUp() {
	h.stopAgent()
	fakes.Until(h.t, "the processes of the host have ended", func() bool {
		running := h.processes()
		for _, id := range running {
			_ = id.Signal(syscall.SIGKILL) // the process may have ended by now
		}
		return len(running) == 0
	})
}

// processes returns the supervisors, launchers and instances of this host: all processes except this one whose command
// line contains the host's directory.
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

// startAgent starts an agent. If wrap is not nil, the agent uses the store that wrap returns.
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

// stopAgent stops the agent if one is running. Instances keep running.
func (h *testHost) stopAgent() {
	if h.cancel != nil {
		h.cancel()
		<-h.stopped
		h.store.Close()
		h.cancel = nil
	}
}

// submit submits a command for the named instances, or for all instances of the host if names is empty.
func (h *testHost) submit(id string, kind fleet.CommandKind, names ...string) (*fleet.Command, error) {
	if len(names) == 0 {
		names = h.names
	}
	request := agentapi.CommandRequest{
		ID:            id,
		Kind:          kind,
		Instances:     names,
		RequestedBy:   "test",
		TimeoutMicros: h.timing.commandTimeout.Microseconds(),
	}
	if kind == fleet.KindRollingUpdate {
		request.RollingUpdate = &h.spec.RollingUpdate
	}
	return h.agent.Submit(request)
}

// mustSubmit submits a command and fails the test if it is rejected.
func (h *testHost) mustSubmit(id string, kind fleet.CommandKind, names ...string) {
	h.t.Helper()
	if _, err := h.submit(id, kind, names...); err != nil {
		h.t.Fatalf("%s: %v", id, err)
	}
}

// waitUntil waits for a condition, and fails the test if it is not met within the host's timeout.
func (h *testHost) waitUntil(condition string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(h.timing.waitTimeout); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out after %v waiting until %s", h.timing.waitTimeout, condition)
		}
	}
}

// commandDone reports whether a command has ended.
func (h *testHost) commandDone(id string) bool {
	c := h.agent.Command(id)
	return c != nil && c.State == fleet.CommandDone
}

// waitForCommand waits until a command has ended, and returns it.
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

// traceResults waits until a command has ended, and adds its results to a trace.
func (h *testHost) traceResults(trace *fakes.Trace, id string) {
	h.t.Helper()
	c := h.waitForCommand(id)
	for _, name := range c.Names {
		r := c.Results[name]
		trace.Say("%s %s: %s, %s", id, name, r.Outcome, r.Cause)
	}
}

// wantOutcomes checks the outcomes of a command's results, by instance.
func wantOutcomes(t *testing.T, c *fleet.Command, want map[string]fleet.Outcome) {
	t.Helper()
	for name, outcome := range want {
		if got := c.Results[name].Outcome; got != outcome {
			t.Errorf("%s %s: outcome %s, want %s: %+v", c.ID, name, got, outcome, c.Results)
		}
	}
}

// memoryStore is an in-memory store. Save fails while err is set.
type memoryStore struct {
	state agentstore.State // returned by Load
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

// storeFunc is a store whose Save calls a function.
type storeFunc func(agentstore.Change) error

func (f storeFunc) Load() (agentstore.State, error) { return agentstore.State{}, nil }
func (f storeFunc) Save(c agentstore.Change) error  { return f(c) }
func (f storeFunc) Close() error                    { return nil }

// newIdleAgent returns an agent with instances a and b whose loop is not running.
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

// reloadIdleAgent reloads the fleet file of an agent whose loop is not running. It starts no actions.
func reloadIdleAgent(t *testing.T, a *Agent, s *fleet.Spec) error {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- a.Reload(s) }()
	(<-a.calls)(process.Now())
	a.loop.actions = nil
	a.flush(t.Context())
	return <-result
}

// launchByCommand submits a command that launches instance a, to an agent whose loop is not running. It returns the
// instance's state.
func launchByCommand(t *testing.T, a *Agent) fleet.Instance {
	t.Helper()
	command := &fleet.Command{ID: "c1", Kind: fleet.KindStart, Names: []string{"a"}, Deadline: farDeadline}
	if err := a.decide(process.Now(), fleet.CommandReceived{Command: command}); err != nil {
		t.Fatal(err)
	}
	in, _ := a.loop.machine.Instance("a")
	return in
}

// farDeadline is a deadline that no test reaches.
const farDeadline monotime.Micros = 1 << 60

// statusOf returns the status of the first instance of an agent whose loop is not running.
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

// fakeCluster returns the same result and error for each command.
type fakeCluster struct {
	Cluster
	result quota.Result
	err    error
}

func (c *fakeCluster) Do(context.Context, quota.Command) (quota.Result, error) {
	return c.result, c.err
}
