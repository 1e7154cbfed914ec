package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/fakes"
)

// backend is a running backend program, with fakes of the executor and the registry.
type backend struct {
	t        testing.TB
	executor *fakes.ScriptedExecutor
	reports  chan string
	address  string
	config   string
	args     []string      // command line; empty: the program serves
	stop     time.Duration // stop_ms of its configuration, counted from the notice
	cmd      *exec.Cmd
	mu       sync.Mutex
	log      bytes.Buffer
	ended    chan error
}

func (b *backend) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

// logged returns a condition that holds once the log contains text.
func (b *backend) logged(text string) func() bool {
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return strings.Contains(b.log.String(), text)
	}
}

// configFile writes a complete configuration; edit replaces text in it.
func configFile(tb testing.TB, listen, agent, registry string, edit ...string) string {
	tb.Helper()
	text := strings.NewReplacer(edit...).Replace(fmt.Sprintf(`{"name":"n3","listen":"%s","agent":"%s","roster":"%s",
		"seed":"8c1f30d27a5be964","stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"more":{},
		"settings":%s}`, listen, agent, registry, fakes.Settings))
	file := filepath.Join(tb.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return file
}

func prepare(tb testing.TB, edit ...string) *backend {
	tb.Helper()
	// The address stays free after Close: it is on a loopback address that no outgoing connection uses.
	l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", demo.Loopback()+":0")
	if err != nil {
		tb.Fatal(err)
	}
	l.Close()
	b := &backend{
		t:        tb,
		executor: fakes.NewScriptedExecutor(tb),
		address:  l.Addr().String(),
		stop:     1500 * time.Millisecond,
	}
	var registry string
	registry, b.reports = fakes.NewRegistry(tb, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	b.config = configFile(tb, b.address, b.executor.Address, registry, edit...)
	return b
}

// prepareWithShutdownWindow prepares a backend with the given shutdown window, for tests that do more within it than a
// busy machine can in the default 300 ms of grace and 1.5 s until the stop.
func prepareWithShutdownWindow(tb testing.TB, grace, stop time.Duration, edit ...string) *backend {
	tb.Helper()
	b := prepare(tb, append(edit, `"drain_grace_ms":300`, fmt.Sprintf(`"drain_grace_ms":%d`, grace.Milliseconds()),
		`"stop_ms":1500`, fmt.Sprintf(`"stop_ms":%d`, stop.Milliseconds()))...)
	b.stop = stop
	return b
}

func (b *backend) start() *backend {
	b.cmd = exec.Command(program, b.args...)
	b.cmd.Env = append(os.Environ(), "GW_CONFIG="+b.config)
	b.cmd.Stderr = b
	if err := b.cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(b.cmd, b.ended)
	b.t.Cleanup(func() { b.cmd.Process.Kill() })
	return b
}

// ready waits until a health check succeeds.
func (b *backend) ready() *backend {
	fakes.Until(b.t, "the backend is healthy", func() bool {
		c, err := (&net.Dialer{}).DialContext(b.t.Context(), "tcp", b.address)
		if err != nil {
			return false
		}
		defer c.Close()
		f, err := fakes.NewEdgeNode(b.t, c).RoundTrip(fakes.EncodeFrame(20, 1, "\x00"))
		return err == nil && f.Code == 1
	})
	return b
}

// term sends SIGTERM, and returns the earliest time at which the program can have received it.
func (b *backend) term() (since time.Time) {
	since = time.Now()
	b.cmd.Process.Signal(syscall.SIGTERM)
	return since
}

// watchStalls starts to measure scheduling delays of the test process, as on a busy machine; end returns the longest.
// The test may observe events of other processes late by that much.
func watchStalls() (end func() time.Duration) {
	const interval = time.Millisecond
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		worst := time.Duration(0)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-ticker.C:
			case <-done:
				longest <- worst
				return
			}
			now := time.Now()
			worst = max(worst, now.Sub(last)-interval)
			last = now
		}
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}

// exit waits for the program to end by itself, and records whether it did by the stop. A busy machine may show the end
// up to a second later.
func (b *backend) exit(tr *fakes.Trace, since time.Time) {
	const observationDelay = time.Second
	tr.Say("exit: %v, in time %t", fakes.Take(b.t, "the exit", b.ended), time.Since(since) < b.stop+observationDelay)
}

// configure replaces the configuration file and sends SIGHUP.
func (b *backend) configure(text string) {
	if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	b.cmd.Process.Signal(syscall.SIGHUP)
}
