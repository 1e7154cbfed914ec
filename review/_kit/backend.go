package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// backend is a process of the program, started as deploy/balancer.toml says.
type backend struct {
	cmd    *exec.Cmd
	dir    string
	addr   string
	config map[string]any
	exited chan struct{}
	err    error
	logs   string
}

var (
	startedMu sync.Mutex
	started   []*backend
)

// cleanUp ends all processes that were started, by their ids.
func cleanUp() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, b := range started {
		if b.cmd != nil && b.cmd.Process != nil {
			_ = b.cmd.Process.Signal(syscall.SIGCONT)
			_ = b.cmd.Process.Kill()
			<-b.exited
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(b.dir)
		}
	}
}

type deploy struct {
	e       *executor
	r       *roster
	set     map[string]any
	memory  float64
	cores   float64
	sockets int
	stopMs  int
}

// freeAddress gives a free loopback address.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		die(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newBackend(d deploy) *backend {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		die(err)
	}
	b := &backend{dir: dir, addr: freeAddress()}
	b.config = map[string]any{
		"name": "n1", "listen": b.addr, "agent": d.e.addr, "roster": d.r.addr, "seed": newID(), "stop_ms": d.stopMs,
		"limits":   map[string]any{"cores": d.cores, "memory_mb": d.memory, "sockets": d.sockets},
		"settings": d.set,
	}
	b.write()
	startedMu.Lock()
	started = append(started, b)
	startedMu.Unlock()
	b.start()
	return b
}

// write replaces the configuration file.
func (b *backend) write() {
	raw, err := json.Marshal(b.config)
	if err != nil {
		die(err)
	}
	path := filepath.Join(b.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		die(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		die(err)
	}
}

func (b *backend) start() {
	run := os.Getenv("RUN")
	if run == "" {
		run = "exec bin/milletbarrow"
	}
	b.logs = filepath.Join(b.dir, "log.txt")
	f, err := os.OpenFile(b.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		die(err)
	}
	b.cmd = exec.Command("/bin/sh", "-c", run)
	b.cmd.Env = append(os.Environ(), "GW_CONFIG="+filepath.Join(b.dir, "config.json"), "GW_NAME=n1", "GW_LISTEN="+b.addr)
	b.cmd.Stdout, b.cmd.Stderr = f, f
	if err := b.cmd.Start(); err != nil {
		die(err)
	}
	_ = f.Close()
	b.exited = make(chan struct{})
	go func() {
		b.err = b.cmd.Wait()
		close(b.exited)
	}()
}

func (b *backend) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

func (b *backend) pid() int { return b.cmd.Process.Pid }

func (b *backend) running() bool {
	select {
	case <-b.exited:
		return false
	default:
		return true
	}
}

// ready waits until a health check is answered as good.
func (b *backend) ready(e *executor, rec *record) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := dialEdge(b.addr, "check", e, rec)
		if err != nil {
			continue
		}
		_, _ = c.c.Write(frameOf(20, 1, fieldsOf()))
		select {
		case code := <-c.health:
			c.close()
			if code == 1 {
				return
			}
		case <-time.After(time.Second):
			c.close()
		}
	}
	die(fmt.Errorf("the backend was not ready within 30 s; its log is %s", b.logs))
}

// memory gives a line of /proc/PID/status in kB.
func (b *backend) memory(name string) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.pid()))
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
