package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/simulation"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "try designs on modelled fleets: run, compare and plot experiments",
		Description: "Example:\n   milletbarrow experiment run docs/studies/wording.sx --dir /tmp/wording\n" +
			"   milletbarrow experiment compare docs/studies/wording.sx --dir /tmp/wording pool milletbarrow",
		Commands: []*cli.Command{
			experimentCheckCommand(), experimentRunCommand(), experimentCompareCommand(), experimentPlotCommand(), experimentReplayCommand(), experimentPoliciesCommand(), experimentValidateCommand(), experimentBenchmarkCommand(), experimentColdStartCommand(),
		},
	}
}

// readExperiment reads the file that the command line names, with what --over sweeps.
func readExperiment(c *cli.Command) (*experiment.Experiment, error) {
	file := c.Args().First()
	if file == "" {
		return nil, usagef("no experiment is named")
	}
	x, err := experiment.Read(file)
	if err != nil {
		return nil, unusable(err)
	}
	if over := c.String("over"); over != "" { // in the place of what the file sweeps
		if err := x.Sweep(over); err != nil {
			return nil, unusable(err)
		}
	}
	return x, nil
}

// readCells reads an experiment and the cells that it has to run.
func readCells(c *cli.Command) (*experiment.Experiment, []experiment.Cell, error) {
	x, err := readExperiment(c)
	if err != nil {
		return nil, nil, err
	}
	cells, err := x.Cells()
	return x, cells, unusable(err)
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Usage: "the `PLACE` of the results", Required: true}
}

func overFlag() cli.Flag {
	return &cli.StringFlag{Name: "over", Usage: "sweep `NAME=VALUE,VALUE...` instead of what the file sweeps"}
}

func experimentCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "read an experiment and tell what it would run", ArgsUsage: "FILE",
		Description: "Example:\n   milletbarrow experiment check docs/studies/wording.sx", Flags: []cli.Flag{jsonFlag(), overFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			x, cells, err := readCells(c)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(x.Facts())
			}
			fmt.Print(x.Describe(len(cells)))
			return nil
		},
	}
}

func experimentPoliciesCommand() *cli.Command {
	return &cli.Command{
		Name: "policies", Usage: "list the policies and where they come from",
		Description: "Example:\n   milletbarrow experiment policies",
		Action: func(context.Context, *cli.Command) error {
			w := newTabWriter()
			for _, p := range simulation.Policies() {
				fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, p.Description, p.Source)
			}
			return w.Flush()
		},
	}
}

func experimentRunCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Aliases: []string{"sweep"}, Usage: "play an experiment; what was interrupted goes on with the same call", ArgsUsage: "FILE",
		Description: "Each run is kept in the place as soon as it ends. Ends with 3 where a rule was broken by the module.\n" +
			"Example:\n   milletbarrow experiment run docs/studies/wording.sx --dir /tmp/wording --over nodes.deaf=0,0.5,1",
		Flags: []cli.Flag{
			dirFlag(), overFlag(), jsonFlag(),
			&cli.IntFlag{Name: "cores", Usage: "runs at once", Value: runtime.NumCPU()},
			&cli.BoolFlag{Name: "quiet", Usage: "no progress"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			x, err := readExperiment(c)
			if err != nil {
				return err
			}
			store, err := experiment.OpenResultDir(c.String("dir"), buildID())
			if err != nil {
				return unusable(err)
			}
			defer func() { _ = store.Close() }() // each result is written before the run goes on
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			began := time.Now()
			results, err := experiment.Run(ctx, x, store, c.Int("cores"), func(p experiment.Progress) {
				if !c.Bool("quiet") {
					fmt.Fprintf(os.Stderr, "%d of %d (%d kept), %v: %s %s seed %d: value %.3f\n", p.Done, p.Total, p.Cached,
						time.Since(began).Round(time.Second), p.Cell.Scenario.Name, p.Cell.Policy.Name, p.Cell.Seed, p.Result.Value())
				}
			})
			if errors.Is(err, context.Canceled) {
				return outcomef(outcomeTimedOut, "interrupted; the same call goes on")
			}
			if err != nil {
				return err
			}
			cells, _ := x.Cells()
			if c.Bool("json") {
				return printJSON(experiment.Summary(cells, results))
			}
			return printSummary(experiment.Summary(cells, results))
		},
	}
}

// buildID names this program by its content: results of one build must not be continued by another.
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

// printSummary prints a table, and returns an error where the decision module broke a rule.
func printSummary(rows []experiment.Row) error {
	w := newTabWriter()
	fmt.Fprintln(w, "scenario\tat\tpolicy\tdays\tvalue\tinterval\ttries an ask\twasted ms an ask\trules broken")
	broken := false
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%g\t%s\t%d\t%.4f\t%.4f to %.4f\t%.2f\t%.2f\t%s\n", r.Scenario, r.SweptValue, r.Policy, r.BilledShare.N, r.BilledShare.Mean,
			r.BilledShare.Low, r.BilledShare.High, r.Attempts, r.WastedMicros/1000, r.BreachSummary())
		broken = broken || r.Policy == simulation.Module && r.BreachCount() > 0
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if broken {
		return outcomef(outcomePartial, "a rule was broken")
	}
	return nil
}

// loadExperiment reads a file, and the results of it that are stored.
func loadExperiment(c *cli.Command) (*experiment.Experiment, []experiment.Cell, []*simulation.Result, error) {
	x, cells, err := readCells(c)
	if err != nil {
		return nil, nil, nil, err
	}
	results, missing, err := experiment.Load(x, c.String("dir"))
	if err != nil {
		return nil, nil, nil, unusable(err)
	}
	if missing == len(cells) {
		return nil, nil, nil, usagef("%s has none of the %d results: run the experiment first", c.String("dir"), missing)
	}
	if missing > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d results are missing or can't be read\n", missing, len(cells))
	}
	return x, cells, results, nil
}

func measureFlag() cli.Flag {
	return &cli.StringFlag{Name: "measure", Usage: "the `FIGURE`: value, broken, attempts, wasted, changes, OPERATION.p99 ...", Value: "value"}
}

func experimentCompareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "the paired difference of two policies, with its interval", ArgsUsage: "FILE A B",
		Description: "Days are paired by seed; the interval holds with a confidence of 0.95.\n" +
			"Example:\n   milletbarrow experiment compare docs/studies/wording.sx --dir /tmp/wording --measure pay-post.value pool milletbarrow",
		Flags: []cli.Flag{dirFlag(), overFlag(), measureFlag(), jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			_, cells, results, err := loadExperiment(c)
			if err != nil {
				return err
			}
			m, err := experiment.MeasureNamed(c.String("measure"))
			if err != nil {
				return unusable(err)
			}
			all := experiment.Compare(cells, results, c.Args().Get(1), c.Args().Get(2), m)
			if len(all) == 0 {
				return usagef("no day was played by both %q and %q", c.Args().Get(1), c.Args().Get(2))
			}
			if c.Bool("json") {
				return printJSON(all)
			}
			w := newTabWriter()
			fmt.Fprintf(w, "scenario\tat\tdays\t%s\t%s\tdifference\tinterval\t\n", c.Args().Get(1), c.Args().Get(2))
			for _, d := range all {
				fmt.Fprintf(w, "%s\t%g\t%d\t%.4g\t%.4g\t%+.4g\t%+.4g to %+.4g\t%s\n", d.Scenario, d.SweptValue, d.Paired.N, d.A.Mean, d.B.Mean,
					d.Paired.Mean, d.Paired.Low, d.Paired.High, d.Verdict)
			}
			return w.Flush()
		},
	}
}

func experimentPlotCommand() *cli.Command {
	return &cli.Command{
		Name: "plot", Usage: "draw an experiment's results", ArgsUsage: "FILE",
		Description: "What: sweep (the figure over what is swept), time, operations, tenants, latency, heat (of one policy).\n" +
			"Example:\n   milletbarrow experiment plot docs/studies/wording.sx --dir /tmp/wording --what sweep --to wording.svg",
		Flags: []cli.Flag{
			dirFlag(), overFlag(), measureFlag(),
			&cli.StringFlag{Name: "what", Value: "sweep"}, &cli.StringFlag{Name: "to", Usage: "a `FILE` that ends in .svg or .png", Required: true},
			&cli.StringFlag{Name: "scenario", Usage: "the first one, if none is named"}, &cli.StringFlag{Name: "policy", Usage: "of a heat map"},
			&cli.Uint64Flag{Name: "seed", Usage: "the first one, if none is named"}, &cli.FloatFlag{Name: "at", Usage: "the value of what is swept", Value: math.NaN()},
		},
		Action: plotExperiment,
	}
}

func plotExperiment(_ context.Context, c *cli.Command) error {
	x, cells, results, err := loadExperiment(c)
	if err != nil {
		return err
	}
	m, err := experiment.MeasureNamed(c.String("measure"))
	if err != nil {
		return unusable(err)
	}
	format, err := plotFormat("--to", c.String("to"))
	if err != nil {
		return err
	}
	scenario := c.String("scenario")
	if scenario == "" {
		scenario = x.Scenarios[0].Name
	}
	seed, at := c.Uint64("seed"), c.Float("at")
	if seed == 0 {
		seed = x.Seeds[0]
	}
	if math.IsNaN(at) && len(x.SweptValues) > 0 {
		at = x.SweptValues[0]
	}
	names, days := selectDays(x, cells, results, scenario, c.String("policy"), seed, at)
	what := c.String("what")
	if what != "sweep" && len(days) == 0 {
		return usagef("no result of scenario %s, seed %d, at %g", scenario, seed, at)
	}
	title := fmt.Sprintf("%s: %s (modelled)", x.Name, scenario)
	return replaceFile(c.String("to"), func(f io.Writer) error {
		if what == "sweep" {
			return plot.Curves(f, title, x.SweptField, m.Name, experiment.Curves(cells, results, scenario, m), format)
		}
		return plotDays(f, what, title, names, days, format)
	})
}

// plotFormat is the format that a plot's file name asks for: svg or png. The flag is named in the error.
func plotFormat(flag, file string) (string, error) {
	format := strings.TrimPrefix(filepath.Ext(file), ".")
	if format != "svg" && format != "png" {
		return "", usagef("%s: %q ends neither in .svg nor in .png", flag, file)
	}
	return format, nil
}

// selectDays selects the results of one scenario, seed and swept value, with their policies' names; no policy: all.
func selectDays(
	x *experiment.Experiment, cells []experiment.Cell, results []*simulation.Result, scenario, policy string, seed uint64, at float64,
) (names []string, days []*simulation.Result) {
	for i, cell := range cells {
		if results[i] != nil && cell.Scenario.Name == scenario && cell.Seed == seed && (x.SweptField == "" || cell.SweptValue == at) &&
			(policy == "" || policy == cell.Policy.Name) {
			names, days = append(names, cell.Policy.Name), append(days, results[i])
		}
	}
	return names, days
}

// replaceFile writes a complete file in the place of another, or leaves that as it was.
func replaceFile(to string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(to), ".plot-*")
	if err != nil {
		return unusable(err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // where it became the plot it is gone
	if err = errors.Join(write(f), f.Close()); err != nil {
		return err
	}
	if err := os.Chmod(f.Name(), 0o644); err != nil {
		return err
	}
	return os.Rename(f.Name(), to)
}

// plotDays draws one day of each policy.
func plotDays(f io.Writer, what, title string, names []string, days []*simulation.Result, format string) error {
	switch what {
	case "time":
		return plot.Times(f, title, names, days, format)
	case "operations", "tenants":
		return plot.Breakdowns(f, title, names, days, what == "tenants", format)
	case "latency":
		var parts []*simulation.Breakdown
		var lines []string
		for i, r := range days {
			for k := range r.Operations {
				parts, lines = append(parts, &r.Operations[k]), append(lines, names[i]+" "+r.Operations[k].Name)
			}
		}
		return plot.Latencies(f, title, lines, parts, format)
	case "heat":
		return plot.Heat(f, title+", "+names[0], days[0], format)
	default:
		return usagef("--what: %q is none of sweep, time, operations, tenants, latency, heat", what)
	}
}

func experimentReplayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "play one day again and tell one invocation's or one host's course", ArgsUsage: "FILE",
		Description: "Example:\n   milletbarrow experiment replay docs/studies/wording.sx --policy milletbarrow --seed 3 --invocation 1200",
		Flags: []cli.Flag{
			overFlag(), &cli.StringFlag{Name: "scenario"}, &cli.StringFlag{Name: "policy"}, &cli.Uint64Flag{Name: "seed"},
			&cli.Uint64Flag{Name: "invocation", Usage: "its `NUMBER` in the day, from 1"}, &cli.IntFlag{Name: "host", Value: -1},
			&cli.FloatFlag{Name: "at", Value: math.NaN()}, &cli.IntFlag{Name: "most", Usage: "lines", Value: 200},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			_, cells, err := readCells(c)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(cells, func(l experiment.Cell) bool {
				return (c.String("scenario") == "" || c.String("scenario") == l.Scenario.Name) && (c.String("policy") == "" || c.String("policy") == l.Policy.Name) &&
					(c.Uint64("seed") == 0 || c.Uint64("seed") == l.Seed) && (math.IsNaN(c.Float("at")) || c.Float("at") == l.SweptValue)
			})
			if i < 0 {
				return usagef("no such run in this experiment")
			}
			if c.Uint64("invocation") == 0 && c.Int("host") < 0 {
				return usagef("name an --invocation or a --host")
			}
			tr := &simulation.Trace{Request: c.Uint64("invocation"), Host: int32(c.Int("host")), MaxLines: c.Int("most")}
			cell := &cells[i]
			r, err := simulation.Play(&cell.Scenario, cell.Policy, cell.Seed, tr)
			if err != nil {
				return unusable(err)
			}
			fmt.Printf("%s, %s, seed %d, at %g: value %.4f\n", cell.Scenario.Name, cell.Policy.Name, cell.Seed, cell.SweptValue, r.Value())
			for _, line := range tr.Lines {
				fmt.Println(line)
			}
			if tr.Omitted > 0 {
				fmt.Printf("and %d lines more: --most\n", tr.Omitted)
			}
			for _, b := range r.Breaches {
				fmt.Println("broken:", b)
			}
			return nil
		},
	}
}
