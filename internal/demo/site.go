package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"milletbarrow/internal/fakes/timedexecutor"
	"milletbarrow/internal/simulation"
)

// Site is a fleet set up in a directory of its own.
type Site struct {
	Dir       string
	FleetFile string // its file
	Backends  []string
	Names     []string
	Executors []*timedexecutor.Executor
	Loopback  string // an address of this machine where nobody's calls begin: a port that is free stays free until it is used

	registry   *http.Server
	mu         sync.Mutex
	reportedAt map[string]time.Time
}

// NewSite writes all files and starts the fakes. program is the milletbarrow that is to run; empty: the one that runs now.
func NewSite(s *simulation.Scenario, program string) (*Site, error) {
	return NewSiteWithRegistry(s, program, "")
}

// NewSiteWithRegistry does it with a registry of somebody else's at that address.
func NewSiteWithRegistry(s *simulation.Scenario, program, registry string) (site *Site, err error) {
	dir, err := os.MkdirTemp("", "mb") // short: sockets are opened in it
	if err != nil {
		return nil, err
	}
	site = &Site{Dir: dir, FleetFile: filepath.Join(dir, "fleet.sx"), reportedAt: map[string]time.Time{}, Loopback: Loopback()}
	defer func() {
		if err != nil {
			_ = site.Close()
		}
	}()
	if registry == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return site, err
		}
		site.registry = &http.Server{Handler: http.HandlerFunc(site.handleReport), ReadTimeout: 5 * time.Second}
		go func() { _ = site.registry.Serve(l) }()
		registry = l.Addr().String()
	}
	var listeners []net.Listener // so that no address is given twice
	defer func() {
		for _, h := range listeners {
			_ = h.Close()
		}
	}()
	for n := range s.Hosts.Count {
		name := fmt.Sprint("n", n+1)
		free, err := net.Listen("tcp", site.Loopback+":0")
		if err != nil {
			return site, err
		}
		listeners = append(listeners, free)
		y, err := timedexecutor.Start("127.0.0.1:0", timedexecutor.Config{
			Cores: s.Hosts.Cores, CollapseMultiple: s.Hosts.CollapseMultiple, ServiceTime: 20 * time.Millisecond, WarmUp: time.Duration(s.Hosts.WarmUp) * time.Microsecond,
			ColdSpeed: s.Hosts.ColdSpeed, MaxRuns: 10_000,
		})
		if err != nil {
			return site, err
		}
		site.Executors = append(site.Executors, y)
		raw, err := json.MarshalIndent(map[string]any{
			"name": name, "listen": free.Addr().String(), "agent": y.Address, "roster": registry, "seed": fmt.Sprintf("%016x", n+1),
			"stop_ms": float64(s.Hosts.ExitTimeout) / 1000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": Settings(s),
		}, "", " ")
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name+".json"), raw, 0o600)
		}
		if err != nil {
			return site, err
		}
		site.Backends, site.Names = append(site.Backends, free.Addr().String()), append(site.Names, name)
	}
	if program != "" {
		program = fmt.Sprintf("(program %q)", program)
	}
	text := fmt.Sprintf("(fleet demo %s\n (host h1 (agent \"unix:%s/agent.sock\"))\n (group g (config \"%%n.json\") (range n 1 %d) (settle 500ms))\n"+
		" (wave (width 1) (least-share 0.5)))\n", program, dir, s.Hosts.Count)
	return site, os.WriteFile(site.FleetFile, []byte(text), 0o600)
}

var loopbackCount atomic.Int32

// Loopback is another address of this machine at each call, where nobody's calls begin.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 2+loopbackCount.Add(1)%250)
}

// InjectFault brings a trouble about at its time, if it can be brought about here, and takes it back. tool runs a sub-command of fleet
// for all instances.
func (s *Site) InjectFault(ctx context.Context, t simulation.Fault, logf func(string, ...any), runFleetCommand func(context.Context, ...string) error) error {
	wait := func(m simulation.Micros) bool {
		select {
		case <-time.After(time.Duration(m) * time.Microsecond):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if t.Kind != simulation.Slow && t.Kind != simulation.Release || !wait(t.At) {
		return nil
	}
	if t.Kind == simulation.Release {
		logf("      a release begins: each backend leaves and comes up again, a few at a time")
		return runFleetCommand(ctx, "wave", "--within", "3m", "--width", strconv.Itoa(max(1, int(t.BatchShare*float64(len(s.Names))))))
	}
	concerned := s.Executors[:int(math.Ceil(t.Share*float64(len(s.Executors))))]
	logf("      %d backends' cores are %g times slower", len(concerned), t.Factor)
	for _, y := range concerned {
		y.Slow(t.Factor)
	}
	wait(t.Duration)
	for _, y := range concerned {
		y.Slow(1)
	}
	return nil
}

// handleReport takes reports as the endpoint registry would.
func (s *Site) handleReport(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<10))
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := filepath.Base(r.URL.Path); len(s.reportedAt) < 10_000 {
		s.reportedAt[name] = time.Now()
		if string(body) == `{"duty":"off"}` {
			delete(s.reportedAt, name)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// Listed counts the backends that have reported within the last 3 s.
func (s *Site) Listed() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.reportedAt {
		if time.Since(at) < 3*time.Second {
			n++
		}
	}
	return n
}

// Close ends the fakes and removes the directory.
func (s *Site) Close() error {
	for _, y := range s.Executors {
		y.Close()
	}
	var err error
	if s.registry != nil {
		err = s.registry.Close()
	}
	return errors.Join(err, os.RemoveAll(s.Dir))
}
