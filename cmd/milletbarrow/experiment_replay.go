package main

import (
	"context"
	"fmt"
	"math"
	"slices"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

func experimentReplayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay one simulated day and print the events of one request or one host",
		ArgsUsage: "FILE",
		Description: "Example:\n   milletbarrow experiment replay docs/studies/deaf.sx " +
			"--policy milletbarrow --seed 3 --invocation 1200",
		Flags: []cli.Flag{
			overFlag(),
			&cli.StringFlag{Name: "scenario"},
			&cli.StringFlag{Name: "policy"},
			&cli.Uint64Flag{Name: "seed"},
			&cli.Uint64Flag{
				Name:  "invocation",
				Usage: "`NUMBER` of the request in the day, from 1",
			},
			&cli.IntFlag{Name: "host", Value: -1},
			&cli.FloatFlag{Name: "at", Value: math.NaN()},
			&cli.IntFlag{Name: "most", Usage: "lines", Value: defaultReplayLines},
		},
		Action: replayDay,
	}
}

const defaultReplayLines = 200

// replayDay simulates one day again, and prints the events of a request or a host.
func replayDay(_ context.Context, c *cli.Command) error {
	_, cells, err := readCells(c)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(cells, func(l experiment.Cell) bool {
		return (c.String("scenario") == "" || c.String("scenario") == l.Scenario.Name) &&
			(c.String("policy") == "" || c.String("policy") == l.Policy.Name) &&
			(c.Uint64("seed") == 0 || c.Uint64("seed") == l.Seed) &&
			(math.IsNaN(c.Float("at")) || c.Float("at") == l.SweptValue)
	})
	if i < 0 {
		return usagef("the experiment has no such run")
	}
	if c.Uint64("invocation") == 0 && c.Int("host") < 0 {
		return usagef("expected --invocation or --host")
	}
	tr := &simulation.Trace{Request: c.Uint64("invocation"), Host: int32(c.Int("host")), MaxLines: c.Int("most")}
	cell := &cells[i]
	r, err := simulation.Play(&cell.Scenario, cell.Policy, cell.Seed, tr)
	if err != nil {
		return asUsageError(err)
	}
	fmt.Printf(
		"%s, %s, seed %d, at %g: value %.4f\n",
		cell.Scenario.Name,
		cell.Policy.Name,
		cell.Seed,
		cell.SweptValue,
		r.Value(),
	)
	for _, line := range tr.Lines {
		fmt.Println(line)
	}
	if tr.Omitted > 0 {
		fmt.Printf("%d more lines are omitted; --most prints more\n", tr.Omitted)
	}
	for _, b := range r.Breaches {
		fmt.Println("rule broken:", b)
	}
	return nil
}
