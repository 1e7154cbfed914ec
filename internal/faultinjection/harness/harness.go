// Package harness runs a trial of fault injection: it starts real processes of the built program (agents, supervisors,
// backends, tools) with our fakes for executors, registry and callers, puts a proxy between any two agents, injects the
// faults of a schedule, and has the checker judge the draw logs. It owns the processes and the directory and ends both.
package harness

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"sync"
	"time"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/faultinjection/registry"
	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
	"milletbarrow/internal/simulation"
)

// Options of one trial.
type Options struct {
	Program    string // path of the built program
	Schedule   *schedule.Schedule
	FailureDir string                     // where the logs of a failing trial are copied to; empty: they are removed
	Failpoint  string                     // NAME or NAME@HOST: a fault of the program itself, where it was built with failpoints
	Logf       func(string, ...any)       // progress; nil: none
	Quotas     []Quota                    // empty: StandardQuotas
	Lease      time.Duration              // of quotas; 0: two seconds, with a margin of 100 ms
	Margin     time.Duration              // between a lease's end by its holder and by the quota store
	SettleTime time.Duration              // how long a backend has to be ready until it has started; 0: 300 ms
	ModifyLoad func(*simulation.Scenario) // changes the load; nil: the demo's
}

// Quota is one of a trial's rates.
type Quota struct {
	Name     string
	Tenant   string
	Total    int    // units a second
	Floor    int    // units a second of each backend, without a lease
	Division string // "demand" or "even"
}

// StandardQuotas are two tenants' rates.
func StandardQuotas(backends int) []Quota {
	return []Quota{
		{Name: "acme", Tenant: "acme", Total: 8 * backends, Floor: 1, Division: "demand"},
		{Name: "zeta", Tenant: "zeta", Total: 3 * backends, Floor: 1, Division: "even"},
	}
}

// MaxUnavailable is how many backends may be unavailable at once during a rolling update.
const MaxUnavailable = 3

// Harness is a trial with its processes. Its methods are called by one goroutine, but for faults, which run side by
// side.
type Harness struct {
	options  Options
	site     *demo.Site
	registry *registry.Registry // of a cold start; nil: the site's own
	scenario simulation.Scenario
	hosts    []*host
	mesh     *proxy.Mesh
	watchdog *watchdog

	startedAt time.Time             // when a cold start was asked for
	endedAt   time.Time             // when its last fault was over
	observed  registry.Observations // by endedAt

	mu           sync.Mutex // the fields below
	version      int        // of the quotas in the files
	totals       map[string]int
	limits       checker.Limits
	faults       map[string]int // by kind, or what was not brought about
	totalChanges sync.WaitGroup // those that are not yet in force
}

// host is one agent with its backends.
type host struct {
	name     string
	dir      string // the agent's
	file     string // the fleet's file as this host has it
	peer     string // address for other agents
	agent    string // address for tools
	backends []string

	mu    sync.Mutex // held by the one fault that acts on the agent
	cmd   *exec.Cmd
	ended chan struct{} // closed once the process has ended
}

// Tool runs a sub-command of fleet and returns what it prints. The error is a *ToolError.
func (harness *Harness) Tool(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(
		ctx,
		harness.options.Program,
		append([]string{"fleet", args[0], "--fleet", harness.hosts[0].file}, args[1:]...)...)
	cmd.Env = append(os.Environ(), directoryVariable+"="+harness.site.Dir)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	if err != nil {
		return out, &ToolError{
			Command: args[0],
			Err:     err,
			Stderr:  string(bytes.TrimSpace(errs.Bytes())),
			Stdout:  string(bytes.TrimSpace(out)),
		}
	}
	return out, nil
}

// limitsFrom is how long before a leader is found the totals of quotas count.
const limitsFrom = time.Minute

// Start starts agents and backends and waits until all quotas are granted. In a cold start Run starts the backends.
func (harness *Harness) Start(ctx context.Context) error {
	for _, h := range harness.hosts {
		if err := harness.startAgent(h); err != nil {
			return err
		}
	}
	if err := harness.waitFor(
		ctx,
		30*time.Second,
		"a leader of the ledger",
		func() bool { return harness.quotaState(ctx) != nil },
	); err != nil {
		return err
	}
	from := int64(process.Now()) - limitsFrom.Microseconds()
	for _, quota := range harness.options.Quotas {
		harness.limits[quota.Name] = []checker.Total{{From: from, Units: int64(quota.Total)}}
	}
	if harness.registry != nil {
		return nil
	}
	if _, err := harness.Tool(ctx, "start", "--all", "--quiet", "--within", "60s"); err != nil {
		return err
	}
	return harness.waitFor(ctx, 30*time.Second, "whole shares", func() bool { return harness.fullyGranted(ctx) })
}

// Run runs a complete trial. The error is one of the harness; what did not hold is in the verdict.
func Run(ctx context.Context, o Options) (v *Verdict, err error) {
	began := time.Now()
	harness, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, harness.Close()) }()
	v = &Verdict{Name: o.Schedule.Name, OK: true, Marks: map[string]int64{}}
	if err := harness.Start(ctx); err != nil {
		v.fail("start: %v", err)
		return v, harness.saveFailure(v)
	}
	harness.options.Logf(
		"%d agents with %d backends stand ready after %v",
		len(harness.hosts),
		len(harness.site.Names),
		time.Since(began).Round(time.Millisecond),
	)
	v.From = int64(process.Now())
	if harness.registry != nil {
		harness.startBackends(ctx, v)
	}
	harness.play(ctx, v)
	if harness.registry != nil {
		harness.endColdStart()
	}
	v.To = int64(process.Now())
	v.Limits, v.Faults = harness.limits, harness.faults
	if state := harness.quotaState(ctx); state != nil {
		v.Term = int(state.Term)
	}
	if _, err := harness.Tool(ctx, "stop", "--all", "--quiet", "--within", "30s"); err != nil {
		v.fail("stop: %v", err)
	}
	harness.judge(v)
	v.Seconds = time.Since(began).Seconds()
	return v, harness.saveFailure(v)
}
