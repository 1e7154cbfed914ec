package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/fakes/timedexecutor"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
	"milletbarrow/internal/simulation"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send a simulated day over sockets to backends on this machine",
		ArgsUsage: "FILE",
		Description: "The day is a scenario of an experiment's file.\n" +
			"Latency counts from the scheduled time of a request.\n" +
			"The exit code is 3 if an answer arrived twice or no request succeeded.\n" +
			"Example:\n   milletbarrow load day.sx --to 127.0.0.1:5050 --to 127.0.0.1:5051",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "to", Usage: "the `ADDRESS` of a backend; may be repeated", Required: true},
			&cli.StringFlag{Name: "scenario", Usage: "default: the first one"}, &cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "quiet", Usage: "do not print progress"}, jsonFlag(),
		},
		Action: sendLoad,
	}
}

// sendLoad sends the load of a scenario to the backends, and prints a report.
func sendLoad(ctx context.Context, c *cli.Command) error {
	s, err := readScenario(c.Args().First(), c.String("scenario"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := loadgen.Options{Scenario: s, Seed: c.Uint64("seed"), Backends: c.StringSlice("to"), Bounds: limits.ForLoad()}
	if !c.Bool("quiet") {
		o.OnSnapshot = func(p loadgen.Snapshot) { fmt.Fprintln(os.Stderr, progressLine(p)) }
	}
	r, err := loadgen.Run(ctx, o)
	if r == nil {
		return asUsageError(err)
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
		printLoad(r)
	}
	switch {
	case errors.Is(err, context.Canceled):
		return outcomef(outcomeTimedOut, "interrupted")
	case r.DuplicateAnswers+r.UnknownResults > 0:
		return outcomef(
			outcomePartial,
			"%d answers were duplicates, %d answers were of unknown runs",
			r.DuplicateAnswers,
			r.UnknownResults,
		)
	case r.Requests > 0 && r.Billed == 0:
		return outcomef(outcomePartial, "no request succeeded")
	}
	return err
}

// readScenario returns a scenario of an experiment file: the one called name, or the first if name is empty.
func readScenario(file, name string) (*simulation.Scenario, error) {
	if file == "" {
		return nil, usagef("no scenario file is given")
	}
	x, err := experiment.Read(file)
	if err != nil {
		return nil, asUsageError(err)
	}
	for i := range x.Scenarios {
		if name == "" || x.Scenarios[i].Name == name {
			return &x.Scenarios[i], nil
		}
	}
	return nil, usagef("%s: unknown scenario %q", file, name)
}

// Units and quantiles of printed figures.
const (
	percent              = 100
	medianPercent        = 50
	p99Percent           = 99
	microsPerMillisecond = 1000
	lagResolution        = 100 * time.Microsecond
)

// minOffered keeps the billed share finite while nothing is offered.
const minOffered = 1e-9

// progressLine formats the progress of a load in one line.
func progressLine(p loadgen.Snapshot) string {
	return fmt.Sprintf(
		"%4v  %7.0f/s  %6d in flight  last second billed %5.1f%%  throttled %5d  so far %5.1f%%",
		p.At,
		p.PerSecond,
		p.InFlight,
		percent*p.LastSecond.Billed/max(p.LastSecond.Offered, minOffered),
		p.LastSecond.Throttled,
		percent*p.Value,
	)
}

// printLoad prints the report of a load as a table with a line of totals.
func printLoad(r *loadgen.Report) {
	w := newTabWriter()
	outcomes := strings.Join(simulation.Outcomes(), "\t")
	fmt.Fprintf(w, "operation\trequests\tbilled\tin time\tp50 ms\tp99 ms\t%s\n", outcomes)
	for i := range r.Operations {
		p := &r.Operations[i]
		p50, p99 := 0.0, 0.0
		if h, err := p.Histogram(); err == nil && h != nil {
			p50, p99 = float64(h.ValueAtQuantile(medianPercent)), float64(h.ValueAtQuantile(p99Percent))
			p50, p99 = p50/microsPerMillisecond, p99/microsPerMillisecond
		}
		fmt.Fprintf(
			w,
			"%s\t%d\t%.3f\t%.3f\t%.1f\t%.1f",
			p.Name,
			p.Requests,
			p.Billed/max(p.Offered, minOffered),
			float64(p.InTime)/max(1, float64(p.Requests)),
			p50,
			p99,
		)
		for _, n := range p.Outcomes {
			fmt.Fprintf(w, "\t%d", n)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // an error of standard output can be reported nowhere
	fmt.Printf(
		"value %.4f, %d attempts, %d duplicate answers, %d answers of unknown runs, %d not sent, "+
			"sender lag at most %v\n",
		r.Value(),
		r.Attempts,
		r.DuplicateAnswers,
		r.UnknownResults,
		r.Unsent,
		r.MaxLag.Round(lagResolution),
	)
}

// Defaults of a fake executor.
const (
	defaultFakeCores        = 2
	defaultCollapseMultiple = 8.0 // runs per core
	defaultFakeServiceTime  = 20 * time.Millisecond
	defaultColdSpeed        = 0.3 // share of full speed
)

func fakeCommand() *cli.Command {
	return &cli.Command{
		Name: "fake", Usage: "run a fake of a system that backends need, on this machine",
		Commands: []*cli.Command{
			{
				Name:  "executor",
				Usage: "run a fake executor that uses CPU time",
				Description: "Example:\n   milletbarrow fake executor " +
					"--listen 127.0.0.1:4400 --cores 2 --service-time 20ms",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name:  "listen",
						Value: "127.0.0.1:0",
					},
					&cli.IntFlag{Name: "cores", Value: defaultFakeCores},
					&cli.FloatFlag{Name: "crowd", Value: defaultCollapseMultiple},
					&cli.DurationFlag{
						Name:  "service-time",
						Value: defaultFakeServiceTime,
						Usage: "core time of a run whose body has no work=MICROSECONDS",
					},
					&cli.DurationFlag{
						Name:  "warm-up",
						Usage: "time for which the cores of a restarted backend are slow",
					},
					&cli.FloatFlag{Name: "warm-up-share", Value: defaultColdSpeed},
				},
				Action: runFakeExecutor,
			},
		},
	}
}

// maxFakeRuns bounds the concurrent runs of a fake executor.
const maxFakeRuns = 10_000

// runFakeExecutor serves until it is interrupted.
func runFakeExecutor(ctx context.Context, c *cli.Command) error {
	if c.Int("cores") < 1 || c.Float("crowd") < 1 || c.Float("warm-up-share") <= 0 {
		return usagef("fake executor: --cores and --crowd must be at least 1, --warm-up-share above 0")
	}
	executor, err := timedexecutor.Start(c.String("listen"), timedexecutor.Config{
		Cores:            c.Int("cores"),
		CollapseMultiple: c.Float("crowd"),
		ServiceTime:      c.Duration("service-time"),
		WarmUp:           c.Duration("warm-up"),
		ColdSpeed:        c.Float("warm-up-share"),
		MaxRuns:          maxFakeRuns,
	})
	if err != nil {
		return asUsageError(err)
	}
	defer executor.Close()
	fmt.Println(executor.Address)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
