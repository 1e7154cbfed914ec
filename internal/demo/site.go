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
	"milletbarrow/monotime"
)

// Site is a fleet in a temporary directory, with fakes of the executors and the endpoint registry.
type Site struct {
	Dir       string
	FleetFile string // path of the fleet file
	Backends  []string
	Names     []string
	Executors []*timedexecutor.Executor
	Loopback  string // a loopback address that is no source of outgoing connections, which could take a free port

	registry   *http.Server
	mu         sync.Mutex
	reportedAt map[string]time.Time
	allocated  map[string]bool // addresses that FreeAddress has returned
}

// freeAddressAttempts bounds the attempts of FreeAddress. With fewer than 1,000 allocated addresses, an attempt yields
// an allocated one with a probability below 0.1.
const freeAddressAttempts = 50

// ErrNoFreeAddress reports that all attempts yielded addresses that were already allocated.
var ErrNoFreeAddress = errors.New("no free address")

// NewSite writes all files and starts the fakes. program is the milletbarrow executable that agents run; if empty, the
// running one. Close stops the fakes and removes the files.
func NewSite(s *simulation.Scenario, program string) (*Site, error) {
	return NewSiteWithRegistry(s, program, "")
}

// NewSiteWithRegistry is like NewSite, but uses the endpoint registry at the given address. If registry is empty, it
// starts the fake.
func NewSiteWithRegistry(s *simulation.Scenario, program, registry string) (site *Site, err error) {
	dir, err := os.MkdirTemp("", "mb") // short, as the paths of sockets in it have a limited length
	if err != nil {
		return nil, err
	}
	site = &Site{
		Dir:        dir,
		FleetFile:  filepath.Join(dir, "fleet.sx"),
		reportedAt: map[string]time.Time{},
		allocated:  map[string]bool{},
		Loopback:   Loopback(),
	}
	defer func() {
		if err != nil {
			_ = site.Close()
		}
	}()
	if registry == "" {
		if registry, err = site.startRegistry(); err != nil {
			return site, err
		}
	}
	for n := range s.Hosts.Count {
		address, err := site.FreeAddress()
		if err != nil {
			return site, err
		}
		if err := site.addBackend(s, n+1, address, registry); err != nil {
			return site, err
		}
	}
	return site, site.writeFleetFile(program)
}

// FreeAddress returns an unused address of Loopback that it has not returned before. The kernel chooses ports at random
// and may choose a closed one again: without the record of allocated addresses, a peer could get the address of a
// backend that has not started yet.
func (s *Site) FreeAddress() (string, error) {
	for range freeAddressAttempts {
		l, err := net.Listen("tcp", s.Loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !s.allocated[address] {
			s.allocated[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("%w at %s: %d are allocated", ErrNoFreeAddress, s.Loopback, len(s.allocated))
}

// startRegistry starts the fake endpoint registry and returns its address.
func (s *Site) startRegistry() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.registry = &http.Server{Handler: http.HandlerFunc(s.handleReport), ReadTimeout: 5 * time.Second}
	go func() { _ = s.registry.Serve(l) }()
	return l.Addr().String(), nil
}

// addBackend starts the executor of the n-th backend, counted from 1, and writes the backend's configuration.
func (s *Site) addBackend(scenario *simulation.Scenario, n int, address, registry string) error {
	h := &scenario.Hosts
	executor, err := timedexecutor.Start("127.0.0.1:0", timedexecutor.Config{
		Cores: h.Cores, CollapseMultiple: h.CollapseMultiple, ServiceTime: 20 * time.Millisecond,
		WarmUp: time.Duration(h.WarmUp) * time.Microsecond, ColdSpeed: h.ColdSpeed, MaxRuns: 10_000,
	})
	if err != nil {
		return err
	}
	s.Executors = append(s.Executors, executor)
	name := fmt.Sprint("n", n)
	raw, err := json.MarshalIndent(map[string]any{
		"name":     name,
		"listen":   address,
		"agent":    executor.Address,
		"roster":   registry,
		"seed":     fmt.Sprintf("%016x", n),
		"stop_ms":  float64(h.ExitTimeout) / 1000,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": Settings(scenario),
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(s.Dir, name+".json"), raw, 0o600); err != nil {
		return err
	}
	s.Backends, s.Names = append(s.Backends, address), append(s.Names, name)
	return nil
}

// writeFleetFile writes the fleet file, which has all backends on one host.
func (s *Site) writeFleetFile(program string) error {
	if program != "" {
		program = fmt.Sprintf("(program %q)", program)
	}
	text := fmt.Sprintf(
		"(fleet demo %s\n (host h1 (agent \"unix:%s/agent.sock\"))\n (group g (config \"%%n.json\") (range n 1 %d) (settle 500ms))\n"+
			" (rolling-update (max-unavailable 1) (min-ready-share 0.5)))\n",
		program,
		s.Dir,
		len(s.Names),
	)
	return os.WriteFile(s.FleetFile, []byte(text), 0o600)
}

var loopbackCount atomic.Int32

// Loopback returns a loopback address that is no source of outgoing connections. Successive calls return different
// addresses. They depend on the process id, so that processes that run at the same time rarely share one.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 2+loopbackCount.Add(1)%250)
}

// InjectFault waits for the time of a fault and injects it: a Slow fault for its duration, or a Release as a rolling
// update. It ignores other kinds. runFleetCommand runs a subcommand of fleet for all instances.
func (s *Site) InjectFault(
	ctx context.Context,
	fault simulation.Fault,
	logf func(string, ...any),
	runFleetCommand func(context.Context, ...string) error,
) error {
	wait := func(m monotime.Micros) bool {
		select {
		case <-time.After(time.Duration(m) * time.Microsecond):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if fault.Kind != simulation.Slow && fault.Kind != simulation.Release || !wait(fault.At) {
		return nil
	}
	if fault.Kind == simulation.Release {
		logf("      starting a rolling update: backends restart, a few at a time")
		return runFleetCommand(
			ctx,
			"rolling-update",
			"--within",
			"3m",
			"--max-unavailable",
			strconv.Itoa(max(1, int(fault.BatchShare*float64(len(s.Names))))),
		)
	}
	affected := s.Executors[:int(math.Ceil(fault.Share*float64(len(s.Executors))))]
	logf("      slowing the cores of %d backends by a factor of %g", len(affected), fault.Factor)
	for _, executor := range affected {
		executor.Slow(fault.Factor)
	}
	wait(fault.Duration)
	for _, executor := range affected {
		executor.Slow(1)
	}
	return nil
}

// handleReport accepts load reports as the endpoint registry does. Duty off removes the backend.
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

// Listed returns the number of backends that have reported within the last 3 s.
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

// Close stops the fakes and removes the directory.
func (s *Site) Close() error {
	for _, executor := range s.Executors {
		executor.Close()
	}
	var err error
	if s.registry != nil {
		err = s.registry.Close()
	}
	return errors.Join(err, os.RemoveAll(s.Dir))
}
