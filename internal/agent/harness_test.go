package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/logging"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// TestMain: this program is also the supervisors and the instances of its tests.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "keeper":
			supervisorMain()
		case "begin":
			fmt.Fprintln(os.Stderr, supervisor.WaitAndExec(os.Args[3:]))
			os.Exit(1)
		case "serve":
			instanceMain(os.Args[3], os.Args[5])
		}
	}
	to := io.Discard
	if os.Getenv("AGENT_TEST_LOG") != "" {
		to = os.Stderr
	}
	end := logging.Start(to, logging.Text)
	defer end()
	m.Run()
}

// flag is the word after one of that name on the command line.
func flagOf(name string) string {
	i := slices.Index(os.Args, "--"+name)
	if i < 0 || i+1 >= len(os.Args) {
		return ""
	}
	return os.Args[i+1]
}

func supervisorMain() {
	grace, _ := time.ParseDuration(flagOf("grace"))
	stop, _ := time.ParseDuration(flagOf("stop"))
	err := supervisor.Run(context.Background(), supervisor.Options{
		Dir: flagOf("dir"), Name: flagOf("name"), Incarnation: flagOf("run"), Adopt: slices.Contains(os.Args, "--adopt"),
		Launcher: []string{os.Args[0], "begin", "--"}, Command: []string{os.Args[0], "serve", "--config", flagOf("config")},
		Window: fleet.ShutdownWindow{Grace: monotime.FromDuration(grace), ExitTimeout: monotime.FromDuration(stop)},
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

// instanceMain is an instance without anything to serve; its name says what is wrong with it.
func instanceMain(config, socket string) {
	name := strings.TrimSuffix(filepath.Base(config), ".json")
	is := func(what string) bool { return strings.HasPrefix(name, what) }
	if is("crashes") {
		os.Exit(3)
	}
	if is("talks") {
		go func() {
			for line := strings.Repeat("x", 1000) + "\n"; ; time.Sleep(50 * time.Microsecond) {
				_, _ = os.Stderr.WriteString(line)
			}
		}()
	}
	const grace, stop = 300 * time.Millisecond, 600 * time.Millisecond
	var heard atomic.Int64
	leave := func(ago time.Duration) {
		if is("deaf") {
			return
		}
		heard.CompareAndSwap(0, int64(process.Now())-ago.Microseconds())
	}
	term := make(chan os.Signal, 4)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		for range term {
			leave(0)
		}
	}()
	go func() {
		_ = admin.Serve(context.Background(), socket, limits.ForControl(), admin.Instance{State: func() admin.State {
			s := admin.State{Ready: !is("never"), PID: os.Getpid()}
			if at := heard.Load(); at != 0 {
				s.Ready, s.Draining, s.GraceEnds = false, true, monotime.Micros(at+grace.Microseconds())
			}
			return s
		}, Drain: leave, Override: func(admin.Override) error { return nil }})
	}()
	for {
		if at := heard.Load(); at != 0 {
			if is("dies") {
				os.Exit(7)
			}
			if int64(process.Now())-at > (stop - 200*time.Millisecond).Microseconds() {
				os.Exit(0)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// hostTiming is what a test host's instances, commands and waits are held to.
type hostTiming struct {
	startWithin time.Duration // from a launch to ready
	grace, stop time.Duration // from a shutdown notice on, by the instances' configuration
	command     time.Duration // until a command ends as late
	wait        time.Duration // of the test, for a condition
}

var (
	// shortTiming is for tests of what happens when a time limit passes, and within which time.
	shortTiming = hostTiming{startWithin: time.Second, grace: 300 * time.Millisecond, stop: 600 * time.Millisecond, command: 30 * time.Second, wait: 10 * time.Second}
	// longTiming is for tests whose claims do not depend on time: an instance that gets no processor for seconds on a
	// busy machine is then neither given up nor killed. What takes its usual time is no slower by it.
	longTiming = hostTiming{startWithin: time.Minute, grace: 30 * time.Second, stop: time.Minute, command: 4 * time.Minute, wait: 2 * time.Minute}
)

// testHost is the directory of an agent, which may end and start again.
type testHost struct {
	t      testing.TB
	timing hostTiming
	dir    string
	spec   *fleet.Spec
	names  []string
	agent  *Agent
	cancel context.CancelFunc
	ended  chan struct{}
	store  agentstore.Store
	file   string
}

func newTestHost(t testing.TB, names ...string) *testHost {
	return newTimedHost(t, shortTiming, names...)
}

func newTimedHost(t testing.TB, timing hostTiming, names ...string) *testHost {
	dir, err := os.MkdirTemp("", "mb")
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(fakes.Settings, `"drain_grace_ms":300`, fmt.Sprintf(`"drain_grace_ms":%d`, timing.grace.Milliseconds()), 1)
	h := &testHost{t: t, timing: timing, dir: dir, names: names, file: filepath.Join(dir, "f")}
	t.Cleanup(h.clear)
	for i, n := range names {
		text := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:%d",
			"agent":"127.0.0.1:2","roster":"127.0.0.1:3","seed":"8c1f","stop_ms":%d,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
			"settings":%s}`, n, 20_000+i, timing.stop.Milliseconds(), settings)
		if err := os.WriteFile(filepath.Join(dir, n+".json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	h.spec = h.read(names...)
	return h
}

func (h *testHost) read(names ...string) *fleet.Spec {
	text := fmt.Sprintf(`(fleet f (host h1 (agent "unix:%s/a.sock")) (group g (config "%%n.json") (start-within %s) (settle 50ms)
		(restart (most 2) (within 30s)) (instances %s)) (wave (width 1) (least-share 0)))`, h.dir, h.timing.startWithin, strings.Join(names, " "))
	s, err := fleet.ReadSpec(h.file, []byte(text), limits.ForControl())
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

// clear ends what runs here, by the identities that supervisors wrote down.
func (h *testHost) clear() {
	h.leave()
	for range 2 {
		for _, n := range h.names {
			if s, err := supervisor.ReadState(supervisor.PathsOf(h.dir, n).State); err == nil {
				_ = s.Instance.KillGroup()
				s.Supervisor.Signal(syscall.SIGKILL)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	os.RemoveAll(h.dir)
}

// enter starts an agent; wrap may put something between it and its store.
func (h *testHost) enter(wrap func(agentstore.Store) agentstore.Store) {
	h.t.Helper()
	b := limits.ForControl()
	var err error
	if h.store, err = agentstore.Open(h.dir, b.HistoryEntries); err != nil {
		h.t.Fatal(err)
	}
	store := h.store
	if wrap != nil {
		store = wrap(store)
	}
	h.agent, err = New(Options{Spec: h.spec, Host: "h1", Dir: h.dir, Executable: []string{os.Args[0]}, Build: "test", Bounds: b, Store: store})
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.ended = cancel, make(chan struct{})
	ended, a := h.ended, h.agent
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
}

// leave ends the agent, if there is one; instances go on.
func (h *testHost) leave() {
	if h.cancel != nil {
		h.cancel()
		<-h.ended
		h.store.Close()
		h.cancel = nil
	}
}

func (h *testHost) order(id string, kind fleet.CommandKind, names ...string) (*fleet.Command, error) {
	if len(names) == 0 {
		names = h.names
	}
	o := agentapi.CommandRequest{ID: id, Kind: kind, Instances: names, RequestedBy: "test", TimeoutMicros: h.timing.command.Microseconds()}
	if kind == fleet.KindRollingUpdate {
		o.RollingUpdate = &h.spec.RollingUpdate
	}
	return h.agent.Submit(o)
}

// mustOrder submits a command that has to be accepted.
func (h *testHost) mustOrder(id string, kind fleet.CommandKind, names ...string) {
	h.t.Helper()
	if _, err := h.order(id, kind, names...); err != nil {
		h.t.Fatalf("%s: %v", id, err)
	}
}

// until waits for a condition, for the host's own time.
func (h *testHost) until(what string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(h.timing.wait); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("waited %v in vain until %s", h.timing.wait, what)
		}
	}
}

// result waits for a command's end.
func (h *testHost) result(id string) *fleet.Command {
	h.t.Helper()
	var c *fleet.Command
	fakes.Until(h.t, "the end of "+id, func() bool {
		c = h.agent.Command(id)
		return c != nil && c.State == fleet.CommandDone
	})
	return c
}

func (h *testHost) outcomes(tr *fakes.Trace, id string) {
	c := h.result(id)
	for _, n := range c.Names {
		r := c.Results[n]
		tr.Say("%s %s: %s, %s", id, n, r.Outcome, r.Cause)
	}
}
