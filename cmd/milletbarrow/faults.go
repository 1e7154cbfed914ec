package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/faultinjection/harness"
	"milletbarrow/internal/faultinjection/schedule"
)

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "run real agents, supervisors and backends under injected faults, and check the outcome",
		Description: "Faults are injected into processes on this machine and the links between them;\n" +
			"see docs/fault-injection.md. Exit codes:\n" +
			"0 all checks passed, 1 error, 2 invalid file or argument, 3 a check failed.",
		Commands: []*cli.Command{
			faultsRunCommand(),
			faultsReplayCommand(),
			faultsShrinkCommand(),
			faultsMeasureCommand(),
			faultsReportCommand(),
		},
	}
}

// Defaults of random schedules.
const (
	defaultFaultHosts    = 5
	defaultFaultBackends = 20
	defaultFaults        = 24
	defaultFaultSpan     = 40 * time.Second
)

// defaultShrinkAttempts is the default number of attempts for each schedule, as failures may be random.
const defaultShrinkAttempts = 2

func keepFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "keep",
		Usage: "keep the files of failed schedules in this `DIRECTORY`",
		Value: "trials",
	}
}

func failpointFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "failpoint",
		Aliases: []string{"plant"},
		Usage:   "enable the failpoint with this `NAME`; the program must be built with -tags failpoint",
		Hidden:  true,
	}
}

func faultsRunCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run schedules of faults from files, or random ones from seeds",
		ArgsUsage: "[FILE ...]",
		Description: "Examples:\n   milletbarrow faults run internal/faultinjection/testdata/cold.sx\n" +
			"   milletbarrow faults run --seed 1 --count 200 --hosts 9 --backends 120 --out trials.jsonl",
		Flags: []cli.Flag{
			keepFlag(),
			failpointFlag(),
			jsonFlag(),
			&cli.BoolFlag{Name: "quiet", Usage: "do not print progress"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first random schedule"},
			&cli.IntFlag{Name: "count", Usage: "number of random schedules"},
			&cli.IntFlag{Name: "hosts", Value: defaultFaultHosts},
			&cli.IntFlag{Name: "backends", Value: defaultFaultBackends},
			&cli.IntFlag{Name: "faults", Value: defaultFaults},
			&cli.DurationFlag{Name: "span", Value: defaultFaultSpan},
			&cli.StringFlag{Name: "out", Usage: "append each verdict to this `FILE`, one a line"},
			&cli.BoolFlag{Name: "stop", Usage: "stop at the first failed schedule"},
		},
		Action: runSchedules,
	}
}

func faultsReplayCommand() *cli.Command {
	return &cli.Command{
		Name:        "replay",
		Usage:       "run a stored schedule again",
		ArgsUsage:   "FILE",
		Description: "Example:\n   milletbarrow faults replay trials/drawn-17/trial.sx",
		Flags:       []cli.Flag{keepFlag(), failpointFlag(), jsonFlag()},
		Action:      replaySchedule,
	}
}

func faultsShrinkCommand() *cli.Command {
	return &cli.Command{
		Name:        "shrink",
		Usage:       "reduce a failing schedule to a minimal one that still fails",
		ArgsUsage:   "FILE",
		Description: "Example:\n   milletbarrow faults shrink trials/drawn-17/trial.sx --within 30m > small.sx",
		Flags: []cli.Flag{
			keepFlag(),
			failpointFlag(),
			&cli.DurationFlag{Name: "within", Value: time.Hour},
			&cli.IntFlag{
				Name:  "tries",
				Value: defaultShrinkAttempts,
				Usage: "attempts for each schedule, as failures may be random",
			},
		},
		Action: shrinkSchedule,
	}
}

func faultsMeasureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure the use of quotas while demand moves, hosts are lost and agents are killed",
		Description: "It takes some minutes; other load on the machine changes the result.\n" +
			"Example:\n   milletbarrow faults measure --hosts 5 --backends 20",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.IntFlag{Name: "hosts", Value: defaultFaultHosts},
			&cli.IntFlag{Name: "backends", Value: defaultFaultBackends},
		},
		Action: measureFaults,
	}
}

func faultsReportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "summarise the verdicts that --out stored",
		ArgsUsage:   "FILE",
		Description: "Example:\n   milletbarrow faults report trials.jsonl",
		Flags:       []cli.Flag{jsonFlag()},
		Action:      reportVerdicts,
	}
}

// replaySchedule runs the stored schedule that the command line names.
func replaySchedule(ctx context.Context, c *cli.Command) error {
	t, err := readSchedule(c.Args().First())
	if err != nil {
		return err
	}
	return playSchedules(ctx, c, []*schedule.Schedule{t})
}

func measureFaults(ctx context.Context, c *cli.Command) error {
	o, err := harnessOptions(
		c,
		&schedule.Schedule{Name: "measure", Hosts: c.Int("hosts"), Backends: c.Int("backends"), Span: time.Minute},
	)
	if err != nil {
		return err
	}
	m, err := harness.Measure(ctx, o)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(m)
	}
	m.Print(os.Stdout)
	return nil
}

// readSchedule reads a schedule of faults from a file.
func readSchedule(file string) (*schedule.Schedule, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, asUsageError(err)
	}
	t, err := schedule.Read(file, raw)
	return t, asUsageError(err)
}

func runSchedules(ctx context.Context, c *cli.Command) error {
	var all []*schedule.Schedule
	for _, file := range c.Args().Slice() {
		t, err := readSchedule(file)
		if err != nil {
			return err
		}
		all = append(all, t)
	}
	if c.Int("hosts") < 1 || c.Int("hosts") > schedule.MaxHosts || c.Int("backends") < 1 ||
		c.Int("backends") > schedule.MaxBackends {
		return usagef("faults: expected 1 to %d hosts and 1 to %d backends", schedule.MaxHosts, schedule.MaxBackends)
	}
	for n := range c.Int("count") {
		all = append(
			all,
			schedule.Random(
				c.Uint64("seed")+uint64(n),
				c.Int("hosts"),
				c.Int("backends"),
				c.Int("faults"),
				c.Duration("span"),
			),
		)
	}
	if len(all) == 0 {
		return usagef("faults: expected a FILE or --count")
	}
	return playSchedules(ctx, c, all)
}

func harnessOptions(c *cli.Command, t *schedule.Schedule) (o harness.Options, err error) {
	executable, err := os.Executable()
	o = harness.Options{Program: executable, Schedule: t, FailureDir: c.String("keep"), Failpoint: c.String("failpoint")}
	if !c.Bool("quiet") {
		o.Logf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	return o, err
}

// playSchedules runs the schedules one after the other, and prints and stores the verdict of each.
func playSchedules(ctx context.Context, c *cli.Command, all []*schedule.Schedule) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i, t := range all {
		o, err := harnessOptions(c, t)
		if err != nil {
			return err
		}
		v, err := harness.Run(ctx, o)
		if err != nil {
			return err
		}
		if file := c.String("out"); file != "" {
			if err := harness.Append(file, v); err != nil {
				return err
			}
		}
		if c.Bool("json") {
			err = printJSON(v)
		} else {
			harness.Print(os.Stdout, v)
		}
		if !v.OK {
			failed++
		}
		if err != nil || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		if failed > 0 && c.Bool("stop") {
			return outcomef(outcomePartial, "%s failed, schedule %d in this run", t.Name, i+1)
		}
	}
	if failed > 0 {
		return outcomef(outcomePartial, "%d of %d schedules failed", failed, len(all))
	}
	return nil
}

func shrinkSchedule(ctx context.Context, c *cli.Command) error {
	t, err := readSchedule(c.Args().First())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("within"))
	defer cancel()
	reduced, err := harness.Shrink(
		ctx,
		t,
		c.Int("tries"),
		func(t *schedule.Schedule) (harness.Options, error) { return harnessOptions(c, t) },
	)
	if err != nil {
		return err
	}
	fmt.Print(reduced)
	return nil
}

func reportVerdicts(_ context.Context, c *cli.Command) error {
	r, err := harness.ReadReport(c.Args().First())
	if err != nil {
		return asUsageError(err)
	}
	if c.Bool("json") {
		return printJSON(r)
	}
	r.Print(os.Stdout)
	if r.Failed > 0 {
		return &outcomeError{outcome: outcomePartial}
	}
	return nil
}
