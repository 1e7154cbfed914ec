package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/simulation"
)

// Accepted sizes and durations of a demo.
const (
	maxDemoBackends = 40
	minDemoDuration = 4 * time.Second
	maxDemoDuration = time.Hour
)

const (
	defaultDemoBackends = 4
	defaultDemoDuration = 30 * time.Second
)

// demoStopTimeout bounds the shutdown of a demo's fleet.
const demoStopTimeout = 15 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet with an agent, load, a burst and a rolling update, then stop it and clean up",
		Description: "Everything runs on loopback addresses of this machine.\n" +
			"Example:\n   milletbarrow demo --for 30s --plot demo.svg",
		Flags: []cli.Flag{
			&cli.IntFlag{
				Name:  "backends",
				Value: defaultDemoBackends,
			},
			&cli.DurationFlag{Name: "for", Value: defaultDemoDuration},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "plot", Usage: "plot to a `FILE` (.svg or .png)", Value: "demo.svg"},
			&cli.BoolFlag{Name: "quiet", Usage: "do not print a table while it runs"},
			jsonFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	backends, duration := c.Int("backends"), c.Duration("for")
	if backends < 1 || backends > maxDemoBackends || duration < minDemoDuration || duration > maxDemoDuration {
		return usagef(
			"demo: %d backends for %v: expected 1 to %d backends for %v to %v",
			backends, duration, maxDemoBackends, minDemoDuration, maxDemoDuration,
		)
	}
	format, err := plotFormat("--plot", c.String("plot"))
	if err != nil {
		return err
	}
	s := demo.Scenario(backends, duration)
	logf := progressPrinter(c)
	r, duplicateRuns, err := runOnSockets(ctx, &s, c.Uint64("seed"), logf)
	if err != nil {
		return err
	}
	f, err := os.Create(c.String("plot"))
	if err != nil {
		return err
	}
	err = plot.Times(f, "demo (on sockets)", []string{"milletbarrow"}, []*simulation.Result{r.Result}, format)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(r)
	} else {
		printLoad(r)
	}
	if duplicateRuns+r.DuplicateAnswers+r.UnknownResults > 0 {
		return outcomef(
			outcomePartial,
			"%d requests were run twice, %d answers were duplicates",
			duplicateRuns,
			r.DuplicateAnswers,
		)
	}
	logf("plot written to %s", c.String("plot"))
	return err
}

// progressPrinter prints progress to standard error, or nowhere with --quiet.
func progressPrinter(c *cli.Command) func(string, ...any) {
	if c.Bool("quiet") {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
}

// runOnSockets starts a scenario's fleet on this machine, sends its load, injects its slow hosts and rolling updates,
// and stops the fleet again. Bursts are part of the load; other faults are not injected. duplicateRuns is the number of
// requests that were run twice.
func runOnSockets(
	ctx context.Context,
	s *simulation.Scenario,
	seed uint64,
	logf func(string, ...any),
) (r *loadgen.Report, duplicateRuns int, err error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, 0, err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	site, err := demo.NewSite(s, executable)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.Join(err, site.Close()) }()
	agentArgs := []string{"agent", "--fleet", site.FleetFile, "--host", "h1", "--dir", site.Dir}
	agent := exec.CommandContext(context.WithoutCancel(ctx), executable, agentArgs...) // ended below by SIGTERM
	if err := agent.Start(); err != nil {
		return nil, 0, err
	}
	runFleet := func(ctx context.Context, args ...string) error {
		fleetArgs := append([]string{"fleet", args[0], "--fleet", site.FleetFile, "--all", "--quiet"}, args[1:]...)
		out, err := exec.CommandContext(ctx, executable, fleetArgs...).CombinedOutput()
		if err != nil && ctx.Err() == nil {
			return fmt.Errorf("fleet %s: %w: %s", args[0], err, out)
		}
		return nil
	}
	defer func() { // without ctx, so that the fleet is also stopped after an interrupt
		logf("stopping and cleaning up")
		err = errors.Join(err, runFleet(context.WithoutCancel(ctx), "stop", "--within", demoStopTimeout.String()))
		_ = agent.Process.Signal(syscall.SIGTERM)
		_ = agent.Wait()
	}()
	logf("starting %d backends under an agent, in %s", len(site.Backends), site.Dir)
	if err := runFleet(ctx, "start", "--within", "20s"); err != nil {
		return nil, 0, err
	}
	faults, faultsContext := errgroup.WithContext(ctx)
	for _, fault := range s.Faults {
		faults.Go(func() error { return site.InjectFault(faultsContext, fault, logf, runFleet) })
	}
	r, err = loadgen.Run(ctx, loadgen.Options{
		Scenario: s, Seed: seed, Backends: site.Backends, Bounds: limits.ForLoad(),
		OnSnapshot: func(p loadgen.Snapshot) {
			logf("%s  %d of %d listed", progressLine(p), site.Listed(), len(site.Backends))
		},
	})
	if err = errors.Join(err, faults.Wait()); err != nil {
		return nil, 0, err
	}
	for _, executor := range site.Executors {
		_, _, n := executor.Counts()
		duplicateRuns += n
	}
	return r, duplicateRuns, nil
}
