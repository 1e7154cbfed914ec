package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/simulation"
)

func experimentCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate an experiment and print what it runs",
		ArgsUsage:   "FILE",
		Description: "Example:\n   milletbarrow experiment check docs/studies/deaf.sx",
		Flags:       []cli.Flag{jsonFlag(), overFlag()},
		Action:      checkExperiment,
	}
}

// checkExperiment prints the runs of an experiment without executing them.
func checkExperiment(_ context.Context, c *cli.Command) error {
	x, cells, err := readCells(c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(x.Facts())
	}
	fmt.Print(x.Describe(len(cells)))
	return nil
}

func experimentPoliciesCommand() *cli.Command {
	return &cli.Command{
		Name: "policies", Usage: "list the built-in policies and their sources",
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
