// Package harness is the proving ground: it starts real processes of the built program (agents, keepers, backends, tools)
// with our stand-ins for farms, register and callers, lays links between the agents, brings the faults of a timetable
// about, and has the auditor judge the stamps. It owns the processes and the directory and ends both.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/faultinjection/registry"
	"milletbarrow/internal/faultinjection/schedule"
	limitspkg "milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
	"milletbarrow/internal/process"
	"milletbarrow/internal/simulation"
)

// Options of one trial.
type Options struct {
	Program string // the built one
	Table   *schedule.Table
	Keep    string // a directory to copy stamps and logs to; empty: they are removed
	Plant   string // a fault of the program itself, where it was built with them
	Say     func(string, ...any)
	Budgets []Budget // empty: Standard
	Lease   time.Duration
	Margin  time.Duration
	Moves   func(*simulation.Scenario) // changes the load; may be nil
}

// Budget is one of the trial's.
type Budget struct {
	Name   string
	Tenant string
	Whole  int
	Floor  int
	Divide string
}

// Standard are two tenants' rates and the count of what may be out.
func Standard(backends int) []Budget {
	return []Budget{
		{Name: "acme", Tenant: "acme", Whole: 8 * backends, Floor: 1, Divide: "demand"},
		{Name: "zeta", Tenant: "zeta", Whole: 3 * backends, Floor: 1, Divide: "even"},
	}
}

// OutMost is the count of backends that may be out at once.
const OutMost = 3

// Verdict is what a trial came to.
type Verdict struct {
	Name     string             `json:"name"`
	OK       bool               `json:"ok"`
	Why      []string           `json:"why,omitempty"`
	Reports  []checker.Report   `json:"reports"`
	Out      int                `json:"out"` // backends without a process at once during the wave
	Faults   map[string]int     `json:"faults"`
	Took     float64            `json:"took_s"`
	Again    float64            `json:"again_s"` // from the last fault's end until the shares were whole again
	Asks     int                `json:"asks"`
	Billed   float64            `json:"billed"`
	Doubles  int                `json:"doubles"` // answers that came twice, and runs that were launched twice
	Leaders  int                `json:"leaders"` // terms of the ledger
	WaveTook float64            `json:"wave_s,omitempty"`
	Cold     *coldstart.Figures `json:"cold,omitempty"`
	Limits   checker.Limits     `json:"-"`
	From     int64              `json:"from_us"`
	To       int64              `json:"to_us"`
	Marks    map[string]int64   `json:"marks,omitempty"`
}

func (v *Verdict) fail(format string, args ...any) {
	v.OK = false
	v.Why = append(v.Why, fmt.Sprintf(format, args...))
}

// Ground is a running one.
type Ground struct {
	o        Options
	site     *demo.Site
	register *registry.Register // of a cold start
	scenario simulation.Scenario
	hosts    []*host
	mesh     *proxy.Mesh
	version  int
	asked    time.Time                           // when its backends were
	ended    time.Time                           // when its course was over
	heard    func() ([]coldstart.Call, int, int) // what the register had heard by then
	wholes   map[string]int
	limits   checker.Limits

	mu     sync.Mutex
	faults map[string]int
	lowers sync.WaitGroup
}

type host struct {
	name, dir, file, peer, agent string
	names                        []string

	mu    sync.Mutex // one fault at a time on one agent
	cmd   *exec.Cmd
	ended chan struct{} // the process has ended
}

// Open lays files and links; nothing runs yet.
func Open(o Options) (g *Ground, err error) {
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	if len(o.Budgets) == 0 {
		o.Budgets = Standard(o.Table.Backends)
	}
	if o.Lease == 0 {
		o.Lease, o.Margin = 2*time.Second, 100*time.Millisecond
	}
	g = &Ground{o: o, wholes: map[string]int{}, limits: checker.Limits{}, faults: map[string]int{}, version: 1}
	s := demo.Scenario(o.Table.Backends, o.Table.Span)
	s.Troubles, s.Load.At = nil, o.Table.Load
	quota := 0.0
	for _, b := range o.Budgets {
		quota += float64(b.Whole)
	}
	for _, b := range o.Budgets {
		s.Tenants = append(s.Tenants, simulation.Tenant{Name: b.Tenant, Share: float64(b.Whole) / quota, Quota: float64(b.Whole)})
		g.wholes[b.Name] = b.Whole
	}
	if o.Moves != nil {
		o.Moves(&s)
	}
	g.scenario = s
	at := ""
	if o.Table.Cold != nil {
		if g.register, err = registry.Start(demo.Loopback()+":0", o.Table.Cold.Register); err != nil {
			return nil, err
		}
		at = g.register.Address
	}
	if g.site, err = demo.LayAt(&s, o.Program, at); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = g.Close()
		}
	}()
	for _, d := range []string{"stamps", "points", "copies"} {
		if err := os.Mkdir(filepath.Join(g.site.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	n := o.Table.Hosts
	var held []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", g.site.Loopback+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		name := fmt.Sprint("h", i+1)
		h := &host{name: name, dir: filepath.Join(g.site.Dir, name), peer: l.Addr().String(), file: filepath.Join(g.site.Dir, name+".sx")}
		h.agent = "unix:" + filepath.Join(g.site.Dir, name+".sock")
		if err := os.Mkdir(h.dir, 0o700); err != nil {
			return nil, err
		}
		for b := i; b < o.Table.Backends; b += n {
			h.names = append(h.names, g.site.Names[b])
		}
		g.hosts = append(g.hosts, h)
	}
	for _, l := range held {
		_ = l.Close()
	}
	var names, peers []string
	for _, h := range g.hosts {
		names, peers = append(names, h.name), append(peers, h.peer)
	}
	if g.mesh, err = proxy.NewMesh(names, peers); err != nil {
		return nil, err
	}
	return g, g.writeFiles()
}

// writeFiles writes each host's fleet's file: the same fleet, where others are reached by this host's own links.
func (g *Ground) writeFiles() error {
	for i, h := range g.hosts {
		var b strings.Builder
		fmt.Fprintf(&b, "(fleet trial (program %q)\n", g.o.Program)
		for j, other := range g.hosts {
			at := other.peer
			if j != i {
				at = g.mesh.Link(h.name, other.name).Address
			}
			fmt.Fprintf(&b, " (host %s (agent %q) (peer %q))\n", other.name, other.agent, at)
		}
		for _, other := range g.hosts {
			if len(other.names) > 0 {
				fmt.Fprintf(&b, " (group g-%s (host %s) (config \"%%n.json\") (instances %s) (start-within 20s) (settle 300ms) (restart (most 100) (within 1m)))\n",
					other.name, other.name, strings.Join(other.names, " "))
			}
		}
		fmt.Fprintf(&b, " (wave (width 4) (least-share 0) (stall 2m) (failures 100) (budget out))\n (budgets (version %d) (ledger", g.version)
		for _, other := range g.hosts {
			fmt.Fprintf(&b, " %s", other.name)
		}
		b.WriteString(")\n")
		for _, one := range g.o.Budgets {
			fmt.Fprintf(&b, "  (budget %s (rate %d) (tenant %s) (floor %d) (divide %s) (lease %v) (margin %v))\n",
				one.Name, g.wholes[one.Name], one.Tenant, one.Floor, one.Divide, g.o.Lease, g.o.Margin)
		}
		fmt.Fprintf(&b, "  (budget out (count %d))", OutMost)
		if c := g.o.Table.Cold; c != nil && c.Rise > 0 {
			fmt.Fprintf(&b, "\n  (budget starts (count %d) (alone yes)))\n (rise (budget starts) (first 2) (failures 8))", c.Rise)
		} else {
			b.WriteString(")")
		}
		b.WriteString(")\n")
		if err := os.WriteFile(h.file+".new", []byte(b.String()), 0o600); err != nil {
			return err
		}
		if err := os.Rename(h.file+".new", h.file); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts an agent that does not run.
func (g *Ground) startAgent(h *host) error {
	cmd := exec.Command(g.o.Program, "agent", "--fleet", h.file, "--host", h.name, "--dir", h.dir)
	skew := 0
	if n := len(g.hosts); n > 1 && g.o.Table.Skew > 0 { // evenly from the slowest to the fastest
		for i, other := range g.hosts {
			if other == h {
				skew = -g.o.Table.Skew + 2*g.o.Table.Skew*i/(n-1)
			}
		}
	}
	cmd.Env = append(os.Environ(), "MILLETBARROW_STAMPS="+filepath.Join(g.site.Dir, "stamps"), "MILLETBARROW_PLANT="+plantAt(g.o.Plant, h.name),
		"MILLETBARROW_POINTS="+filepath.Join(g.site.Dir, "points", h.name), "MILLETBARROW_TRIAL_CLOCK="+strconv.Itoa(skew))
	if c := g.o.Table.Cold; c != nil && c.Fixed {
		cmd.Env = append(cmd.Env, "MILLETBARROW_REPORTS_FIXED=true")
	}
	log, err := os.OpenFile(filepath.Join(g.site.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// plantAt is the fault that is planted at a host: PLANT everywhere, PLANT@HOST at one.
func plantAt(plant, host string) string {
	if name, at, one := strings.Cut(plant, "@"); !one || at == host {
		return name
	}
	return ""
}

func (h *host) killAgent() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

// Tool runs a sub-command of fleet and returns what it prints.
func (g *Ground) Tool(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, g.o.Program, append([]string{"fleet", args[0], "--fleet", g.hosts[0].file}, args[1:]...)...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	if err != nil {
		return out, fmt.Errorf("fleet %s: %w: %s %s", args[0], err, bytes.TrimSpace(errs.Bytes()), bytes.TrimSpace(out))
	}
	return out, nil
}

// Start starts agents and backends and waits until shares are held.
func (g *Ground) Start(ctx context.Context) error {
	for _, h := range g.hosts {
		if err := g.startAgent(h); err != nil {
			return err
		}
	}
	if err := g.until(ctx, 30*time.Second, "a leader of the ledger", func() bool { return g.budgets(ctx) != nil }); err != nil {
		return err
	}
	now := process.Now()
	for _, b := range g.o.Budgets {
		g.limits[b.Name] = []checker.Whole{{From: now - 60_000_000, Units: int64(b.Whole)}}
	}
	if g.register != nil { // play has them started
		return nil
	}
	if _, err := g.Tool(ctx, "start", "--all", "--quiet", "--within", "60s"); err != nil {
		return err
	}
	return g.until(ctx, 30*time.Second, "whole shares", func() bool { return g.wholeNow(ctx) })
}

// until waits for a condition.
func (g *Ground) until(ctx context.Context, most time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(most); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("no %s within %v", what, most)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// State is what fleet budgets tells, as far as a trial needs it.
type State struct {
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Version int    `json:"version"`
	Budgets []struct {
		Budget  string `json:"budget"`
		Kind    string `json:"kind"`
		Whole   int64  `json:"whole"`
		InForce int64  `json:"in_force"`
		Holders []struct {
			Name  string `json:"name"`
			Host  string `json:"host"`
			Extra int64  `json:"extra"`
		} `json:"holders"`
	} `json:"budgets"`
}

func (g *Ground) budgets(ctx context.Context) *State {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	out, err := g.Tool(ctx, "budgets", "--json")
	var s State
	if err != nil || json.Unmarshal(out, &s) != nil || s.Leader == "" {
		return nil
	}
	return &s
}

// wholeNow tells whether the ledger has all of each rate in force, and nothing of the count.
func (g *Ground) wholeNow(ctx context.Context) bool {
	s := g.budgets(ctx)
	if s == nil {
		return false
	}
	for _, b := range s.Budgets {
		if b.Kind == "rate" && b.InForce < b.Whole || b.Kind == "count" && b.InForce > 0 {
			return false
		}
	}
	return true
}

// Run plays a whole trial.
func Run(ctx context.Context, o Options) (v *Verdict, err error) {
	began := time.Now()
	g, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, g.Close()) }()
	v = &Verdict{Name: o.Table.Name, OK: true, Marks: map[string]int64{}}
	if err := g.Start(ctx); err != nil {
		v.fail("start: %v", err)
		return v, g.keep(v)
	}
	g.o.Say("%d agents with %d backends stand ready after %v", len(g.hosts), len(g.site.Names), time.Since(began).Round(time.Millisecond))
	v.From = process.Now()
	if g.register != nil {
		g.startCold(ctx, v)
	}
	g.play(ctx, v)
	if g.register != nil {
		g.endCold()
	}
	v.To = process.Now()
	v.Limits, v.Faults = g.limits, g.faults
	if s := g.budgets(ctx); s != nil {
		v.Leaders = int(s.Term)
	}
	if _, err := g.Tool(ctx, "stop", "--all", "--quiet", "--within", "30s"); err != nil {
		v.fail("stop: %v", err)
	}
	g.judge(v)
	v.Took = time.Since(began).Seconds()
	return v, g.keep(v)
}

// play brings the faults about under load, and waits until all that came of them is over.
func (g *Ground) play(ctx context.Context, v *Verdict) {
	var all sync.WaitGroup
	loaded := make(chan struct{})
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	if g.o.Table.Load > 0 {
		go func() {
			defer close(loaded)
			r, err := loadgen.Run(loadCtx, loadgen.Options{Scenario: &g.scenario, Seed: g.o.Table.Seed, Backends: g.site.Backends, Bounds: limitspkg.ForLoad()})
			if err != nil && loadCtx.Err() == nil {
				v.fail("load: %v", err)
			}
			if r != nil {
				v.Asks, v.Billed, v.Doubles = r.Asks, r.Value(), r.Doubles+r.Strange
			}
		}()
	} else {
		close(loaded)
	}
	start := time.Now()
	for _, f := range g.o.Table.Faults {
		all.Go(func() {
			select {
			case <-time.After(f.At - time.Since(start)):
			case <-ctx.Done():
				return
			}
			g.o.Say("%7.1f s  %v", time.Since(start).Seconds(), f)
			if err := g.bring(ctx, f); err != nil {
				g.o.Say("%v: %v", f, err)
				g.count("not brought about: " + string(f.Kind))
				return
			}
			g.count(string(f.Kind))
		})
	}
	if g.o.Table.Wave > 0 {
		all.Go(func() { g.wave(ctx, v, start) })
	}
	all.Wait()
	select {
	case <-time.After(g.o.Table.Span - time.Since(start)):
	case <-ctx.Done():
	}
	over := time.Now()
	if err := g.until(ctx, 45*time.Second, "whole shares after the last fault", func() bool { return g.wholeNow(ctx) }); err != nil {
		v.fail("%v: %s", err, g.asItStands(ctx))
	}
	v.Again = time.Since(over).Seconds()
	g.lowers.Wait()
	select {
	case <-loaded:
	case <-time.After(15 * time.Second):
		endLoad()
		<-loaded
	}
}

func (g *Ground) asItStands(ctx context.Context) string {
	if s := g.budgets(ctx); s != nil {
		raw, _ := json.Marshal(s)
		return string(raw[:min(len(raw), 1500)])
	}
	return "no leader"
}

// wave takes all backends through one, with a tool that is killed on the way, and joins it again.
func (g *Ground) wave(ctx context.Context, v *Verdict, start time.Time) {
	select {
	case <-time.After(g.o.Table.Wave - time.Since(start)):
	case <-ctx.Done():
		return
	}
	v.Marks["wave"] = process.Now()
	began := time.Now()
	first, kill := context.WithCancel(ctx)
	go func() { // killed by SIGKILL, as exec does when its context ends
		time.Sleep(2 * time.Second)
		kill()
	}()
	_, _ = g.Tool(first, "wave", "--all", "--quiet", "--id", "w", "--within", "10m")
	kill()
	done := func() bool {
		out, err := g.Tool(ctx, "status", "--json")
		var all []struct {
			Host   string
			Status *struct {
				Open []struct{ ID, State, Cause string }
			}
		}
		if err != nil || json.Unmarshal(out, &all) != nil {
			return false
		}
		for _, h := range all {
			if h.Status == nil || len(h.Status.Open) > 0 {
				return false
			}
		}
		return true
	}
	if err := g.until(ctx, 4*time.Minute, "end of the wave", done); err != nil {
		v.fail("%v", err)
	}
	v.WaveTook = time.Since(began).Seconds()
	v.Marks["wave over"] = process.Now()
}

func (g *Ground) count(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults[kind]++
}

// judge has the stamps audited.
func (g *Ground) judge(v *Verdict) {
	all, err := checker.ReadAll(filepath.Join(g.site.Dir, "stamps"))
	if err != nil {
		v.fail("stamps: %v", err)
		return
	}
	if len(all) < len(g.site.Names) {
		v.fail("stamps: %d processes wrote some, there were %d backends", len(all), len(g.site.Names))
	}
	if g.register != nil {
		g.judgeCold(v, all)
	}
	for _, b := range g.o.Budgets {
		r := checker.Shares(all, b.Name, v.Limits, v.From, v.To)
		// A holder may draw three tenths of a second of its share at once, and four units at the least; each may be stopped
		// once in a draw.
		most := int64(0)
		for _, w := range v.Limits[b.Name] {
			most = max(most, w.Units)
		}
		r.Draws(all, v.Limits, most*3/10+5*int64(len(g.site.Names)), 500_000, 2_000_000, 10_000_000)
		for _, one := range r.Breaches {
			v.fail("%v", one)
		}
		if g.o.Table.Load > 0 && r.Drawn == 0 {
			v.fail("%s: nothing was drawn", b.Name)
		}
		v.Reports = append(v.Reports, r)
	}
	for _, y := range g.site.Yards {
		_, _, twice := y.Counts()
		v.Doubles += twice
	}
	if v.Doubles > 0 {
		v.fail("%d answers or runs came twice", v.Doubles)
	}
	if at, ok := v.Marks["wave"]; ok {
		v.Out = checker.Out(all, at, v.Marks["wave over"])
		if v.Out > OutMost {
			v.fail("%d backends were out at once, %d may be", v.Out, OutMost)
		}
		if v.Out == 0 {
			v.fail("the wave took nobody out")
		}
	}
}

// keep copies what a person needs to look at.
func (g *Ground) keep(v *Verdict) error {
	if g.o.Keep == "" || v.OK {
		return nil
	}
	to := filepath.Join(g.o.Keep, v.Name)
	_ = os.RemoveAll(to)
	if err := os.CopyFS(filepath.Join(to, "stamps"), os.DirFS(filepath.Join(g.site.Dir, "stamps"))); err != nil {
		return err
	}
	for _, h := range g.hosts {
		if raw, err := os.ReadFile(filepath.Join(g.site.Dir, h.name+".log")); err == nil {
			if err := os.WriteFile(filepath.Join(to, h.name+".log"), raw, 0o600); err != nil {
				return err
			}
		}
	}
	raw, _ := json.MarshalIndent(v, "", " ")
	return errors.Join(os.WriteFile(filepath.Join(to, "verdict.json"), raw, 0o600),
		os.WriteFile(filepath.Join(to, "trial.sx"), []byte(g.o.Table.String()), 0o600))
}

// Close ends every process that the trial began, and removes its directory.
func (g *Ground) Close() error {
	for _, h := range g.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			h.killAgent()
		}
		h.mu.Unlock()
	}
	g.sweep()
	if g.mesh != nil {
		g.mesh.Close()
	}
	if g.register != nil {
		_ = g.register.Close()
	}
	return g.site.Clear()
}

// sweep ends keepers and backends by what keepers wrote down of them: both are known by pid and start.
func (g *Ground) sweep() {
	for _, h := range g.hosts {
		for _, name := range h.names {
			id := g.life(h, name)
			_ = id.Keeper.Signal(syscall.SIGKILL)
			_ = id.Instance.KillGroup()
		}
	}
}

// life is who a backend's processes are, by its keeper's file.
type life struct {
	Keeper   process.Identity `json:"keeper"`
	Instance process.Identity `json:"instance"`
}

func (g *Ground) life(h *host, name string) (l life) {
	f, err := os.Open(filepath.Join(h.dir, "keepers", name+".json"))
	if err != nil {
		return l
	}
	defer func() { _ = f.Close() }()
	_ = json.NewDecoder(io.LimitReader(f, 1<<16)).Decode(&l) // what is not written yet names no process
	return l
}

// full lets a process's files grow no more, as a full disk would.
func full(pid int, on bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		l.Cur = 1
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// Processes are all that run now: agents, keepers and backends.
func (g *Ground) Processes() (all []process.Identity) {
	for _, h := range g.hosts {
		if h.cmd != nil {
			if id, err := process.Of(h.cmd.Process.Pid); err == nil {
				all = append(all, id)
			}
		}
		for _, name := range h.names {
			l := g.life(h, name)
			for _, id := range []process.Identity{l.Keeper, l.Instance} {
				if id.Alive() {
					all = append(all, id)
				}
			}
		}
	}
	return all
}
