package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleetSite is a host with an agent and backends under it.
type fleetSite struct {
	*setup
	backends []*fleetBackend
	registry string
	settings map[string]any
	agent    *child
	file     string
	graceMs  int // in the settings; 0: that of settingsOf
}

type fleetBackend struct {
	name    string
	listen  string
	machine *machine
	edge    *edge
}

// begin writes all files and starts the agent.
func (f *fleetSite) begin(n int, operations []operation, stopMs int) (err error) {
	f.cleanup = sync.OnceFunc(f.end)
	if f.registry, err = startRegistry(); err != nil {
		return err
	}
	f.settings = settingsOf(operations, 6)
	var names []string
	for i := range n {
		b := &fleetBackend{name: fmt.Sprint("b", i+1)}
		if b.machine, err = startMachine(6); err != nil {
			return err
		}
		b.machine.Fresh = true
		if b.listen, err = freeAddress(); err != nil {
			return err
		}
		b.edge = &edge{Number: i + 1, Address: b.listen, Machine: b.machine}
		f.backends = append(f.backends, b)
		names = append(names, b.name)
	}
	if err := f.configure(stopMs); err != nil {
		return err
	}
	f.file = filepath.Join(f.Dir, "fleet.sx")
	text := fmt.Sprintf(`(fleet review
  (host h1 (agent "unix:%s/a.sock"))
  (group hosts (host h1) (config "%s/%%n.json") (instances %s) (start-within 20s) (settle 2s))
  (rolling-update (max-unavailable 1) (min-ready-share 0.8)))
`, f.Dir, f.Dir, strings.Join(names, " "))
	if err := os.WriteFile(f.file, []byte(text), 0o600); err != nil {
		return err
	}
	return f.startAgent()
}

// startAgent starts the agent of the host and waits until it answers.
func (f *fleetSite) startAgent() (err error) {
	command := fmt.Sprintf("exec bin/milletbarrow agent --fleet %s --host h1 --dir %s/agent", f.file, f.Dir)
	if f.agent, err = startChild(f.Root, command, filepath.Join(f.Dir, "agent.log")); err != nil {
		return err
	}
	for range 200 {
		if _, code, err := runTool(f.Root, 5*time.Second, "fleet", "status", "--fleet", f.file); err == nil && code == 0 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the agent does not answer")
}

// configure writes the configuration of each backend.
func (f *fleetSite) configure(stopMs int) error {
	if f.graceMs > 0 {
		f.settings["invariants"].(map[string]any)["drain_grace_ms"] = f.graceMs
	}
	for _, b := range f.backends {
		c := configuration{
			Name: b.name, Listen: b.listen, Agent: b.machine.address(), Roster: f.registry, StopMs: stopMs, Settings: f.settings,
		}
		if err := c.write(filepath.Join(f.Dir, b.name+".json")); err != nil {
			return err
		}
	}
	return nil
}

// tool runs a fleet command; its error has what the command printed.
func (f *fleetSite) tool(words ...string) error {
	arguments := append([]string{"fleet", words[0], "--fleet", f.file}, words[1:]...)
	out, code, err := runTool(f.Root, 60*time.Second, arguments...)
	if err == nil && code != 0 {
		err = fmt.Errorf("%s: exit code %d: %s", strings.Join(words, " "), code, strings.TrimSpace(out))
	}
	f.Record.say("fleet %s: %s", strings.Join(words, " "), strings.Join(strings.Fields(out), " "))
	return err
}

// end stops everything that was started.
func (f *fleetSite) end() {
	if f.agent != nil {
		_ = f.tool("stop", "--all", "--now", "--within", "5s")
		f.agent.signal(syscall.SIGTERM)
		select {
		case <-f.agent.exited:
		case <-time.After(3 * time.Second):
		}
		f.agent.end()
	}
	for _, b := range f.backends { // what the agent left
		if state := f.state(b.name); !state.Ended {
			for _, pid := range []int{state.Keeper.PID, state.Instance.PID} {
				f.kill(pid)
			}
		}
	}
	for _, b := range f.backends {
		b.edge.closeAll()
		b.machine.close()
	}
	reapAll()
}

// keeperState is what the agent's directory says of one backend and the process beside it.
type keeperState struct {
	Keeper   struct{ PID int } `json:"keeper"`
	Instance struct{ PID int } `json:"instance"`
	Told     string            `json:"told"`
	Ended    bool              `json:"ended"`
}

func (f *fleetSite) state(name string) (s keeperState) {
	raw, _ := os.ReadFile(filepath.Join(f.Dir, "agent/keepers", name+".json"))
	_ = json.Unmarshal(raw, &s)
	return s
}

// kill kills a process that was started for this site; another one that has its number now is spared.
func (f *fleetSite) kill(pid int) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if pid > 1 && err == nil && strings.Contains(string(line), f.Dir) {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
}

// awaitNotice returns when the backend was told to leave.
func (f *fleetSite) awaitNotice(name string) (time.Time, error) {
	for range 2000 {
		if f.state(name).Told != "" {
			return time.Now(), nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s got no notice", name)
}

// awaitReady waits until the agent sees each backend ready.
func (f *fleetSite) awaitReady(within time.Duration) error {
	var out string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		text, code, err := runTool(f.Root, 5*time.Second, "fleet", "status", "--fleet", f.file, "--json")
		if out = text; err != nil || code != 0 {
			continue
		}
		text = strings.Join(strings.Fields(text), "")
		if strings.Count(text, `"phase":"ready"`) == len(f.backends) {
			return nil
		}
	}
	return fmt.Errorf("not all backends are ready: %s", out)
}

// alive reports whether a process runs.
func alive(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	for i := len(raw) - 1; i > 0; i-- {
		if raw[i] == ')' {
			return i+2 < len(raw) && raw[i+2] != 'Z' && raw[i+2] != 'X'
		}
	}
	return false
}

// lookups sends a lookup at each interval until the backend takes no more or stop is closed.
func (b *fleetBackend) lookups(interval time.Duration, work int, wait time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		b.edge.send(&request{ID: newID(), Class: "bill-lookup", Body: fmt.Appendf(nil, "work=%d", work), Cost: work, Wait: wait})
	}
}

// crossing is how long before the end of its connection a request may have been written and be sent again: the page has
// 50 ms, and the test is no stricter than twice that.
const crossing = 100 * time.Millisecond

// lostAtEnd counts the requests that the backend's first life had read and left without an answer when it ended.
func (b *fleetBackend) lostAtEnd(s *setup, ended time.Time) (lost int, all []*request) {
	m := b.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	all = sorted(m)
	for _, r := range all {
		s.Record.request(b.name, r)
		if r.Written.IsZero() || answeredInTime(r) || r.Written.After(ended.Add(-crossing)) {
			continue
		}
		lost++
	}
	return lost, all
}
