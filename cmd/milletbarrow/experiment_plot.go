package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/simulation"
)

func experimentPlotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "plot the results of an experiment",
		ArgsUsage: "FILE",
		Description: "Plots: sweep (the measure by swept value), time, " +
			"operations, tenants, latency, heat (of one policy).\n" +
			"Example:\n   milletbarrow experiment plot docs/studies/deaf.sx --dir /tmp/deaf " +
			"--what sweep --to deaf.svg",
		Flags: []cli.Flag{
			dirFlag(),
			overFlag(),
			measureFlag(),
			&cli.StringFlag{
				Name:  "what",
				Value: "sweep",
			},
			&cli.StringFlag{Name: "to", Usage: "plot to a `FILE` (.svg or .png)", Required: true},
			&cli.StringFlag{
				Name:  "scenario",
				Usage: "default: the first one",
			},
			&cli.StringFlag{Name: "policy", Usage: "policy of a heat map"},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "default: the first one",
			},
			&cli.FloatFlag{Name: "at", Usage: "swept value", Value: math.NaN()},
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
		return asUsageError(err)
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

// plotFileMode makes plots readable for all users.
const plotFileMode = 0o644

// plotFormat returns the format given by the extension of a plot's file name: svg or png. The error names the flag.
func plotFormat(flag, file string) (string, error) {
	format := strings.TrimPrefix(filepath.Ext(file), ".")
	if format != "svg" && format != "png" {
		return "", usagef("%s: found %q, expected a name that ends in .svg or .png", flag, file)
	}
	return format, nil
}

// selectDays selects the results of one scenario, seed and swept value, with the names of their policies. An empty
// policy selects all policies.
func selectDays(
	x *experiment.Experiment,
	cells []experiment.Cell,
	results []*simulation.Result,
	scenario, policy string,
	seed uint64,
	at float64,
) (names []string, days []*simulation.Result) {
	for i, cell := range cells {
		if results[i] != nil && cell.Scenario.Name == scenario && cell.Seed == seed &&
			(x.SweptField == "" || cell.SweptValue == at) &&
			(policy == "" || policy == cell.Policy.Name) {
			names, days = append(names, cell.Policy.Name), append(days, results[i])
		}
	}
	return names, days
}

// replaceFile writes a file through a temporary file and a rename; on an error the previous file stays unchanged.
func replaceFile(to string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(to), ".plot-*")
	if err != nil {
		return asUsageError(err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails after the rename, as the file has moved
	if err = errors.Join(write(f), f.Close()); err != nil {
		return err
	}
	if err := os.Chmod(f.Name(), plotFileMode); err != nil {
		return err
	}
	return os.Rename(f.Name(), to)
}

// plotDays plots one day of each policy.
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
		return usagef("--what: found %q, expected sweep, time, operations, tenants, latency or heat", what)
	}
}
