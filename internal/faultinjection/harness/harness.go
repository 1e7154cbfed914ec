// Package harness runs fault-injection trials. A trial starts real processes of the built program (agents, supervisors,
// backends, tools) beside fake executors, a fake endpoint registry and a load generator, with a proxy between any two
// agents. It injects the faults of a schedule and has the checker judge the draw logs. The harness owns the processes
// and the trial's directory, and removes both at the end.
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
	FailureDir string                     // directory for the logs of a failing trial; empty: they are removed
	Failpoint  string                     // fault to enable in a program built with failpoints: NAME or NAME@HOST
	Logf       func(string, ...any)       // prints progress; nil: none
	Quotas     []Quota                    // empty: StandardQuotas
	Lease      time.Duration              // of quotas; 0: 2 s, with a margin of 100 ms
	Margin     time.Duration              // between a lease's end at its holder and at the quota store
	SettleTime time.Duration              // how long a backend must be ready to count as started; 0: 300 ms
	ModifyLoad func(*simulation.Scenario) // changes the demo's load; nil: no change
}

// Quota is a rate quota of a trial.
type Quota struct {
	Name     string
	Tenant   string
	Total    int    // units per second
	Floor    int    // units per second of each backend, granted without a lease
	Division string // "demand" or "even"
}

// StandardQuotas returns the default quotas of two tenants, one divided by demand and one evenly.
func StandardQuotas(backends int) []Quota {
	return []Quota{
		{Name: "acme", Tenant: "acme", Total: 8 * backends, Floor: 1, Division: "demand"},
		{Name: "zeta", Tenant: "zeta", Total: 3 * backends, Floor: 1, Division: "even"},
	}
}

// MaxUnavailable is the highest number of backends that may be unavailable at once during a rolling update.
const MaxUnavailable = 3

// Harness is a trial with its processes. One goroutine calls its methods; only faults run concurrently.
type Harness struct {
	options  Options
	site     *demo.Site
	registry *registry.Registry // of a cold start; nil: the site has its own
	scenario simulation.Scenario
	hosts    []*host
	mesh     *proxy.Mesh
	watchdog *watchdog

	startedAt time.Time             // when the cold start was requested
	endedAt   time.Time             // when the last fault of the cold start had ended
	observed  registry.Observations // up to endedAt

	mu           sync.Mutex // guards the fields below
	version      int        // of the quotas in the fleet files
	totals       map[string]int
	limits       checker.Limits
	faults       map[string]int // by kind, with a prefix for those that could not be injected
	totalChanges sync.WaitGroup // changes of totals that are not yet in force
}

// host is a simulated host: one agent with its backends.
type host struct {
	name         string
	dir          string // the agent's
	fleetFile    string // the host's copy of the fleet file
	peerAddress  string // address for other agents
	agentAddress string // address for the command-line tool
	backends     []string

	mu    sync.Mutex // held while a fault acts on the agent
	cmd   *exec.Cmd
	ended chan struct{} // closed once the process has ended
}

// Tool runs a sub-command of fleet and returns its standard output. The error is a *ToolError.
func (harness *Harness) Tool(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(
		ctx,
		harness.options.Program,
		append([]string{"fleet", args[0], "--fleet", harness.hosts[0].fleetFile}, args[1:]...)...)
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

// limitsLeadTime is how long before a leader is found the initial totals of the quotas apply to the check.
const limitsLeadTime = time.Minute

// Start starts agents and backends and waits until all quotas are granted. In a cold start, it starts only the agents,
// and Run starts the backends.
func (harness *Harness) Start(ctx context.Context) error {
	for _, h := range harness.hosts {
		if err := harness.startAgent(h); err != nil {
			return err
		}
	}
	if err := harness.waitFor(
		ctx,
		30*time.Second,
		"quota store leader",
		func() bool { return harness.quotaState(ctx) != nil },
	); err != nil {
		return err
	}
	from := int64(process.Now()) - limitsLeadTime.Microseconds()
	for _, quota := range harness.options.Quotas {
		harness.limits[quota.Name] = []checker.Total{{From: from, Units: int64(quota.Total)}}
	}
	if harness.registry != nil {
		return nil
	}
	if _, err := harness.Tool(ctx, "start", "--all", "--quiet", "--within", "60s"); err != nil {
		return err
	}
	return harness.waitFor(
		ctx,
		30*time.Second,
		"full grant of all quotas",
		func() bool { return harness.fullyGranted(ctx) },
	)
}

// Run runs a complete trial. The error is one of the harness; failed checks are in the verdict.
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
		"%d agents and %d backends ready after %v",
		len(harness.hosts),
		len(harness.site.Names),
		time.Since(began).Round(time.Millisecond),
	)
	v.From = int64(process.Now())
	if harness.registry != nil {
		harness.startBackends(ctx, v)
	}
	harness.runFaults(ctx, v)
	if harness.registry != nil {
		harness.recordRegistryCalls()
	}
	v.To = int64(process.Now())
	v.Limits, v.Faults = harness.limits, harness.faults
	if state := harness.quotaState(ctx); state != nil {
		v.Term = int(state.Term)
	}
	if _, err := harness.Tool(ctx, "stop", "--all", "--quiet", "--within", "30s"); err != nil {
		v.fail("stop: %v", err)
	}
	harness.checkDrawLogs(v)
	v.Seconds = time.Since(began).Seconds()
	return v, harness.saveFailure(v)
}
