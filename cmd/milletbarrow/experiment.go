package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "run, compare and plot experiments on simulated fleets",
		Description: "Example:\n   milletbarrow experiment run docs/studies/deaf.sx --dir /tmp/deaf\n" +
			"   milletbarrow experiment compare docs/studies/deaf.sx --dir /tmp/deaf pool milletbarrow",
		Commands: []*cli.Command{
			experimentCheckCommand(),
			experimentRunCommand(),
			experimentCompareCommand(),
			experimentPlotCommand(),
			experimentReplayCommand(),
			experimentPoliciesCommand(),
			experimentValidateCommand(),
			experimentBenchmarkCommand(),
			experimentColdStartCommand(),
		},
	}
}

// readExperiment reads the experiment file of the command line, with the sweep of --over if it is set.
func readExperiment(c *cli.Command) (*experiment.Experiment, error) {
	file := c.Args().First()
	if file == "" {
		return nil, usagef("no experiment file is given")
	}
	x, err := experiment.Read(file)
	if err != nil {
		return nil, asUsageError(err)
	}
	printFormerNames(x.Warnings)
	if over := c.String("over"); over != "" { // replaces the sweep of the file
		if err := x.Sweep(over); err != nil {
			return nil, asUsageError(err)
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
	return x, cells, asUsageError(err)
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Usage: "the `DIRECTORY` of the results", Required: true}
}

func overFlag() cli.Flag {
	return &cli.StringFlag{Name: "over", Usage: "sweep `NAME=VALUE,VALUE...` in place of the file's sweep"}
}

// loadExperiment reads an experiment file and its stored results.
func loadExperiment(c *cli.Command) (*experiment.Experiment, []experiment.Cell, []*simulation.Result, error) {
	x, cells, err := readCells(c)
	if err != nil {
		return nil, nil, nil, err
	}
	results, missing, err := experiment.Load(x, c.String("dir"))
	if err != nil {
		return nil, nil, nil, asUsageError(err)
	}
	if missing == len(cells) {
		return nil, nil, nil, usagef(
			"%s has none of the %d results: run the experiment first",
			c.String("dir"),
			missing,
		)
	}
	if missing > 0 {
		fmt.Fprintf(os.Stderr, "%d of %d results are missing or can't be read\n", missing, len(cells))
	}
	return x, cells, results, nil
}

func measureFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "measure",
		Usage: "the `MEASURE`: value, broken, attempts, wasted, changes, OPERATION.p99 ...",
		Value: "value",
	}
}
