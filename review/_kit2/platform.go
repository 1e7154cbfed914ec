package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// startRegistry stands in for the roster: it accepts every report.
func startRegistry() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}))
	}()
	return l.Addr().String(), nil
}

// taken are the addresses that freeAddress has returned.
var taken = map[string]bool{}

// freeAddress returns an address that nobody listens on. Connections go out from 127.0.0.1, so that none of them takes it.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !taken[address] {
			taken[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("no free address")
}

// operation is one class in the settings.
type operation struct {
	Name    string
	Aim     int // ms
	Timeout int // ms
	Repeat  string
	Window  int // ms
}

// settingsOf is the settings object of a small deployment.
func settingsOf(operations []operation, cores int) map[string]any {
	classes := []map[string]any{}
	for _, o := range operations {
		classes = append(classes, map[string]any{
			"name": o.Name, "aim_ms": o.Aim, "deadline_ms": o.Timeout, "repeat": o.Repeat, "window_ms": o.Window,
			"late_value": 0.2, "worth": 1,
		})
	}
	return map[string]any{
		"classes":          classes,
		"projects":         []map[string]any{{"name": "acme", "quota_per_s": 200}},
		"over_share_worth": 0.05, "fleet_size": 3, "round_ms": 5, "worth_by": "work",
		"clients":       map[string]any{"marks_retry": true},
		"policy_limits": map[string]any{"max_retry_after_ms": 1000, "retry_after": true},
		"invariants": map[string]any{
			"answer_slack_ms": 80, "cold_ms": 18000, "cold_share": 0.21, "drain_grace_ms": 2000, "fall_ms": 3000, "fall_multiple": 8,
		},
		"family_info": map[string]any{
			"below": "off", "callers": 3, "idle_ms": 15000, "just_started": false, "mem_limit_kb": 89016, "n_cores": cores,
			"own_stats": []string{"core_use", "on_cores", "heap_share", "links"}, "preemption": "off", "run_factor": 16,
			"say": "off", "tells_gone": true, "passes_deadline": true, "key_kb": 1,
		},
	}
}

// configuration is the file of one backend.
type configuration struct {
	Name, Listen, Agent, Roster string
	StopMs                      int
	Sockets                     int // 0: 1,024
	Settings                    map[string]any
}

func (c configuration) write(path string) error {
	sockets := c.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	raw, err := json.MarshalIndent(map[string]any{
		"name": c.Name, "listen": c.Listen, "agent": c.Agent, "roster": c.Roster, "seed": "8c1f30d27a5be964", "stop_ms": c.StopMs,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"settings": c.Settings,
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// child is a process that the test started.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}
	state  *os.ProcessState // valid once exited is closed
}

// startChild starts a command of the shell from the root of the repository, with its output in a file.
func startChild(root, command, logPath string, env ...string) (*child, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &child{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		c.state = cmd.ProcessState
		close(c.exited)
	}()
	return c, nil
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

func (c *child) gone() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// end kills the process if it still runs, and waits for it.
func (c *child) end() {
	if !c.gone() {
		c.signal(syscall.SIGKILL)
	}
	<-c.exited
}

// adoptOrphans makes processes whose parent ends children of this one, so that none is left behind.
func adoptOrphans() error { return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) }

// reapAll waits for the adopted children that have ended. No other child may be waited for meanwhile.
func reapAll() {
	for range 100 {
		pid, err := syscall.Wait4(-1, nil, syscall.WNOHANG, nil)
		if err != nil { // none is left
			return
		}
		if pid == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// runTool runs the program with arguments and returns what it printed.
func runTool(root string, within time.Duration, arguments ...string) (string, int, error) {
	cmd := exec.Command(filepath.Join(root, "bin/milletbarrow"), arguments...)
	cmd.Dir = root
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return "", 0, err
	}
	timer := time.AfterFunc(within, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
	return out.String(), cmd.ProcessState.ExitCode(), nil
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%9.3f", t.Sub(r.start).Seconds()) }

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.file, "%s %s\n", r.at(time.Now()), text)
}

// request writes one line on a request: when it was written and due, what was run, and how it was answered.
func (r *record) request(backend string, q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "request %s %s to %s: came %s due %s", q.ID, q.Class, backend, r.at(q.At), r.at(q.due()))
	for _, run := range q.Runs {
		fmt.Fprintf(r.file, ", run from %s", r.at(run.Began))
		if !run.Ended.IsZero() {
			fmt.Fprintf(r.file, " to %s", r.at(run.Ended))
		}
	}
	for _, a := range q.Answers {
		fmt.Fprintf(r.file, ", answer %d at %s", a.Code, r.at(a.At))
	}
	if len(q.Answers) == 0 {
		fmt.Fprintf(r.file, ", NO ANSWER")
	}
	if q.Ended != "" {
		fmt.Fprintf(r.file, ", %s at %s", q.Ended, r.at(q.EndedAt))
	}
	fmt.Fprintln(r.file)
}
