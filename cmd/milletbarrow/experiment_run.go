package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

func experimentRunCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Aliases:   []string{"sweep"},
		Usage:     "run an experiment; the same call resumes one that was interrupted",
		ArgsUsage: "FILE",
		Description: "Each result is stored as soon as its run ends. The exit code is 3 if the admission module broke a rule.\n" +
			"Example:\n   milletbarrow experiment run docs/studies/deaf.sx --dir /tmp/deaf --over nodes.deaf=0,0.5,1",
		Flags: []cli.Flag{
			dirFlag(), overFlag(), jsonFlag(),
			&cli.IntFlag{Name: "cores", Usage: "concurrent runs", Value: runtime.NumCPU()},
			&cli.BoolFlag{Name: "quiet", Usage: "do not print progress"},
		},
		Action: runExperiment,
	}
}

// runExperiment simulates the days without a stored result, and prints a summary of all.
func runExperiment(ctx context.Context, c *cli.Command) error {
	x, err := readExperiment(c)
	if err != nil {
		return err
	}
	store, err := experiment.OpenResultDir(c.String("dir"), buildID())
	if err != nil {
		return asUsageError(err)
	}
	defer func() { _ = store.Close() }() // each result is already written
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	results, err := experiment.Run(ctx, x, store, c.Int("cores"), func(p experiment.Progress) {
		if !c.Bool("quiet") {
			fmt.Fprintf(
				os.Stderr,
				"%d of %d (%d cached), %v: %s %s seed %d: value %.3f\n",
				p.Done,
				p.Total,
				p.Cached,
				time.Since(began).Round(time.Second),
				p.Cell.Scenario.Name,
				p.Cell.Policy.Name,
				p.Cell.Seed,
				p.Result.Value(),
			)
		}
	})
	if errors.Is(err, context.Canceled) {
		return outcomef(outcomeTimedOut, "interrupted; the same call resumes")
	}
	if err != nil {
		return err
	}
	cells, _ := x.Cells()
	if c.Bool("json") {
		return printJSON(experiment.Summary(cells, results))
	}
	return printSummary(experiment.Summary(cells, results))
}

// buildID identifies this program by its content, so that one build does not reuse the results of another.
func buildID() string {
	self, err := os.Executable()
	if err != nil {
		return version()
	}
	raw, err := os.ReadFile(self)
	if err != nil {
		return version()
	}
	return fmt.Sprintf("%s, %016x", version(), xxhash.Sum64(raw))
}

// printSummary prints a table, and returns an error if the admission module broke a rule.
func printSummary(rows []experiment.Row) error {
	w := newTabWriter()
	fmt.Fprintln(w, "scenario\tat\tpolicy\tdays\tvalue\tinterval\ttries an ask\twasted ms an ask\trules broken")
	broken := false
	for _, r := range rows {
		fmt.Fprintf(
			w,
			"%s\t%g\t%s\t%d\t%.4f\t%.4f to %.4f\t%.2f\t%.2f\t%s\n",
			r.Scenario,
			r.SweptValue,
			r.Policy,
			r.BilledShare.Samples,
			r.BilledShare.Mean,
			r.BilledShare.Low,
			r.BilledShare.High,
			r.Attempts,
			r.WastedMicros/microsPerMillisecond,
			r.BreachSummary(),
		)
		broken = broken || r.Policy == simulation.Module && r.BreachCount() > 0
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if broken {
		return outcomef(outcomePartial, "the admission module broke a rule")
	}
	return nil
}
