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

// backend is a running program, and the fakes of the systems around it.
type backend struct {
	t        testing.TB
	executor *fakes.ScriptedExecutor
	reports  chan string
	address  string
	config   string
	args     []string      // of the program; none: it serves
	stop     time.Duration // from the notice on: stop_ms of its configuration
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

// logged tells whether the log holds text.
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
	// The address stays free after Close: no outgoing connection uses it.
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

// prepareWindow prepares a backend whose grace and stop come so long after the notice: where a test has more to do
// within them than a busy machine does in the usual 300 ms and 1.5 s.
func prepareWindow(tb testing.TB, grace, stop time.Duration, edit ...string) *backend {
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

// ready waits until a health check is answered with good.
func (b *backend) ready() *backend {
	fakes.Until(b.t, "it is healthy", func() bool {
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

// term gives notice, and tells since when the program can have heard it.
func (b *backend) term() (since time.Time) {
	since = time.Now()
	b.cmd.Process.Signal(syscall.SIGTERM)
	return since
}

// watchStalls begins to measure by how much this process is held up, as it is on a busy machine; end tells the
// longest time. What a test sees of another process it may see so much later than it was.
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

// exit waits for the program to end by itself. On a busy machine that may be seen some time after the stop.
func (b *backend) exit(tr *fakes.Trace, since time.Time) {
	const seenLate = time.Second
	tr.Say("exit: %v, in time %t", fakes.Take(b.t, "the exit", b.ended), time.Since(since) < b.stop+seenLate)
}

// configure writes the file anew and asks the program to read it.
func (b *backend) configure(text string) {
	if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	b.cmd.Process.Signal(syscall.SIGHUP)
}
