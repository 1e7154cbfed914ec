// Package harness is the fault-injection harness: it starts real processes of the built program (agents, supervisors, backends, tools)
// with our fakes for executors, register and callers, lays links between the agents, brings the faults of a schedule
// about, and has the auditor judge the stamps. It owns the processes and the directory and ends both.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"time"

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
	Program   string // the built one
	Table     *schedule.Schedule
	Keep      string // a directory to copy stamps and logs to; empty: they are removed
	Failpoint string // a fault of the program itself, where it was built with them
	Say       func(string, ...any)
	Budgets   []Budget // empty: Standard
	Lease     time.Duration
	Margin    time.Duration
	Moves     func(*simulation.Scenario) // changes the load; may be nil
}

// Budget is one of the trial's.
type Budget struct {
	Name   string
	Tenant string
	Whole  int
	Floor  int
	Divide string
}

// StandardQuotas are two tenants' rates and the count of what may be out.
func StandardQuotas(backends int) []Budget {
	return []Budget{
		{Name: "acme", Tenant: "acme", Whole: 8 * backends, Floor: 1, Divide: "demand"},
		{Name: "zeta", Tenant: "zeta", Whole: 3 * backends, Floor: 1, Divide: "even"},
	}
}

// MaxUnavailable is the count of backends that may be out at once.
const MaxUnavailable = 3

// Harness is a running one.
type Harness struct {
	options  Options
	site     *demo.Site
	register *registry.Registry // of a cold start
	scenario simulation.Scenario
	hosts    []*host
	mesh     *proxy.Mesh
	version  int
	asked    time.Time                           // when its backends were
	ended    time.Time                           // when its course was over
	heard    func() ([]coldstart.Call, int, int) // what the endpoint registry had heard by then
	totals   map[string]int
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

// Tool runs a sub-command of fleet and returns what it prints.
func (g *Harness) Tool(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, g.options.Program, append([]string{"fleet", args[0], "--fleet", g.hosts[0].file}, args[1:]...)...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	if err != nil {
		return out, fmt.Errorf("fleet %s: %w: %s %s", args[0], err, bytes.TrimSpace(errs.Bytes()), bytes.TrimSpace(out))
	}
	return out, nil
}

// Start starts agents and backends and waits until shares are held.
func (g *Harness) Start(ctx context.Context) error {
	for _, h := range g.hosts {
		if err := g.startAgent(h); err != nil {
			return err
		}
	}
	if err := g.until(ctx, 30*time.Second, "a leader of the ledger", func() bool { return g.budgets(ctx) != nil }); err != nil {
		return err
	}
	now := process.Now()
	for _, b := range g.options.Budgets {
		g.limits[b.Name] = []checker.Total{{From: now - 60_000_000, Units: int64(b.Whole)}}
	}
	if g.register != nil { // play has them started
		return nil
	}
	if _, err := g.Tool(ctx, "start", "--all", "--quiet", "--within", "60s"); err != nil {
		return err
	}
	return g.until(ctx, 30*time.Second, "whole shares", func() bool { return g.fullyGranted(ctx) })
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
		return v, g.saveFailure(v)
	}
	g.options.Say("%d agents with %d backends stand ready after %v", len(g.hosts), len(g.site.Names), time.Since(began).Round(time.Millisecond))
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
	return v, g.saveFailure(v)
}

// play brings the faults about under load, and waits until all that came of them is over.
func (g *Harness) play(ctx context.Context, v *Verdict) {
	var all sync.WaitGroup
	loaded := make(chan struct{})
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	if g.options.Table.Load > 0 {
		go func() {
			defer close(loaded)
			r, err := loadgen.Run(loadCtx, loadgen.Options{Scenario: &g.scenario, Seed: g.options.Table.Seed, Backends: g.site.Backends, Bounds: limitspkg.ForLoad()})
			if err != nil && loadCtx.Err() == nil {
				v.fail("load: %v", err)
			}
			if r != nil {
				v.Asks, v.Billed, v.Doubles = r.Requests, r.Value(), r.DuplicateAnswers+r.UnknownResults
			}
		}()
	} else {
		close(loaded)
	}
	start := time.Now()
	for _, f := range g.options.Table.Faults {
		all.Go(func() {
			select {
			case <-time.After(f.At - time.Since(start)):
			case <-ctx.Done():
				return
			}
			g.options.Say("%7.1f s  %v", time.Since(start).Seconds(), f)
			if err := g.inject(ctx, f); err != nil {
				g.options.Say("%v: %v", f, err)
				g.countFault("not brought about: " + string(f.Kind))
				return
			}
			g.countFault(string(f.Kind))
		})
	}
	if g.options.Table.RollingUpdate > 0 {
		all.Go(func() { g.wave(ctx, v, start) })
	}
	all.Wait()
	select {
	case <-time.After(g.options.Table.Span - time.Since(start)):
	case <-ctx.Done():
	}
	over := time.Now()
	if err := g.until(ctx, 45*time.Second, "whole shares after the last fault", func() bool { return g.fullyGranted(ctx) }); err != nil {
		v.fail("%v: %s", err, g.describeState(ctx))
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

// wave takes all backends through one, with a tool that is killed on the way, and joins it again.
func (g *Harness) wave(ctx context.Context, v *Verdict, start time.Time) {
	select {
	case <-time.After(g.options.Table.RollingUpdate - time.Since(start)):
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
