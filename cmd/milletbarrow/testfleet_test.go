package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
	"milletbarrow/internal/process"
)

// testFleet is a fleet on this machine: one agent, an executor for each instance and one registry.
type testFleet struct {
	t         testing.TB
	dir       string
	file      string
	executors map[string]*fakes.AutoExecutor
	names     []string
	addresses map[string]string // by instance
	agent     *exec.Cmd
}

// newTestFleet writes the files of a fleet of count instances. group has further fields of its only group; program, if
// not empty, starts the instances.
func newTestFleet(tb testing.TB, count int, group, rollingUpdate, program string, edit ...string) *testFleet {
	tb.Helper()
	dir, err := os.MkdirTemp("", "mb") // short: the paths of Unix sockets are limited
	if err != nil {
		tb.Fatal(err)
	}
	h := &testFleet{
		t:         tb,
		dir:       dir,
		file:      filepath.Join(dir, "fleet.sx"),
		executors: map[string]*fakes.AutoExecutor{},
		addresses: map[string]string{},
	}
	tb.Cleanup(h.clear)
	registry, _ := fakes.NewRegistry(tb, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	listeners := make([]net.Listener, 0, count)
	for n := range count {
		l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", demo.Loopback()+":0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
		name := fmt.Sprint("n", n+1)
		executor := fakes.NewAutoExecutor(tb, 20*time.Millisecond, 2)
		h.executors[name], h.addresses[name] = executor, l.Addr().String()
		h.names = append(h.names, name)
		changes := slices.Concat(edit, []string{
			`"drain_grace_ms":300`, `"drain_grace_ms":2000`,
			`"stop_ms":1500`, `"stop_ms":3200`,
			`"name":"n3"`, `"name":"` + name + `"`,
		})
		raw, err := os.ReadFile(configFile(tb, l.Addr().String(), executor.Address, registry, changes...))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name+".json"), raw, 0o600)
		}
		if err != nil {
			tb.Fatal(err)
		}
	}
	for _, l := range listeners {
		l.Close()
	}
	if program != "" {
		program = `(program "` + program + `")`
	}
	text := fmt.Sprintf("(fleet test %s\n (host h1 (agent \"unix:%s/agent.sock\"))\n (group g (config \"%%n.json\") %s (range n 1 %d))\n (wave %s))\n",
		program, dir, group, count, rollingUpdate)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return h
}

// clear ends the processes of this fleet, by the identities in the supervisors' files, and removes its directory.
func (h *testFleet) clear() {
	if h.agent != nil {
		h.agent.Process.Kill()
		h.agent.Wait()
	}
	for range 2 { // again for an instance that a supervisor was just starting: it is recorded before it runs
		for _, n := range h.names {
			if s, err := h.supervisorState(n); err == nil {
				_ = s.Instance.KillGroup() // fails if it has ended, which is usual
				s.Supervisor.Signal(syscall.SIGKILL)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	os.RemoveAll(h.dir)
}

type supervisorFile struct {
	Run        string           `json:"run"`
	Supervisor process.Identity `json:"keeper"`
	Instance   process.Identity `json:"instance"`
}

func (h *testFleet) supervisorState(name string) (s supervisorFile, err error) {
	raw, err := os.ReadFile(filepath.Join(h.dir, "keepers", name+".json"))
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// startAgent starts the agent in the background.
func (h *testFleet) startAgent() {
	cmd := exec.Command(program, "agent", "--fleet", h.file, "--host", "h1", "--dir", h.dir)
	log, err := os.OpenFile(filepath.Join(h.dir, "agent.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.t.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.agent = cmd
}

func (h *testFleet) killAgent() {
	h.agent.Process.Kill()
	h.agent.Wait()
}

// fleet runs a sub-command and returns what it printed and its exit code.
func (h *testFleet) fleet(args ...string) (string, int) {
	out, err := h.command(args...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out) + string(exit.Stderr), exit.ExitCode()
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return string(out), 0
}

func (h *testFleet) command(args ...string) *exec.Cmd {
	return exec.Command(program, append([]string{"fleet", args[0], "--fleet", h.file}, args[1:]...)...)
}

func (h *testFleet) must(args ...string) string {
	h.t.Helper()
	out, code := h.fleet(args...)
	if code != 0 {
		h.t.Fatalf("fleet %v: exit %d: %s\n%s", args, code, out, h.tail())
	}
	return out
}

func (h *testFleet) tail() string {
	raw, _ := os.ReadFile(filepath.Join(h.dir, "agent.log"))
	lines := strings.Split(string(raw), "\n")
	return strings.Join(lines[max(0, len(lines)-30):], "\n")
}

func (h *testFleet) status() fleetclient.HostStatus {
	out, _ := h.fleet("status", "--json")
	var all []fleetclient.HostStatus
	if err := json.Unmarshal([]byte(out), &all); err != nil || len(all) != 1 {
		h.t.Fatalf("%v: %s", err, out)
	}
	return all[0]
}

// phases returns the phase of each instance by the agent's status, and nothing while the agent is unreachable.
func (h *testFleet) phases() map[string]fleet.Phase {
	all := map[string]fleet.Phase{}
	if s := h.status().Status; s != nil {
		for _, in := range s.Instances {
			all[in.Name] = in.Phase
		}
	}
	return all
}

func (h *testFleet) untilAll(p fleet.Phase) {
	h.t.Helper()
	fakes.Until(h.t, "all instances are "+string(p), func() bool {
		all := h.phases()
		return len(all) == len(h.names) && !slices.ContainsFunc(h.names, func(n string) bool { return all[n] != p })
	})
}

// incarnation is one run of an instance's process, as its supervisor logged it.
type incarnation struct {
	name, run                 string
	launched, notified, ended time.Time
	outcome                   string
}

var supervisorLine = regexp.MustCompile(`time=(\S+) event=(launched|notified|ended) name=(\S+) run=(\S+)(?:.* how=("[^"]*"|\S+))?`)

// incarnations reads the supervisors' logs.
func (h *testFleet) incarnations() map[string][]*incarnation {
	all := map[string][]*incarnation{}
	for _, name := range h.names {
		raw, _ := os.ReadFile(filepath.Join(h.dir, "keepers", name+".log.keeper"))
		byRun := map[string]*incarnation{}
		for in := bufio.NewScanner(bytes.NewReader(raw)); in.Scan(); {
			m := supervisorLine.FindStringSubmatch(in.Text())
			if m == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil {
				h.t.Fatal(err)
			}
			l := byRun[m[4]]
			if l == nil {
				l = &incarnation{name: name, run: m[4]}
				byRun[m[4]] = l
				all[name] = append(all[name], l)
			}
			switch m[2] {
			case "launched":
				l.launched = at
			case "notified":
				l.notified = at
			case "ended":
				l.ended, l.outcome = at, strings.Trim(m[5], `"`)
			}
		}
	}
	return all
}
