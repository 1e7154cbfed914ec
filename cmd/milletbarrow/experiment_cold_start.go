package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/simulation/coldstart"
)

// Accepted sizes of a cold-start study.
const (
	minColdStartBackends = 10
	maxColdStartBackends = 20_000
	maxColdStartSeeds    = 1000
)

const defaultColdStartSeeds = 6

func experimentColdStartCommand() *cli.Command {
	return &cli.Command{
		Name:  "cold-start",
		Usage: "simulate cold starts for each combination of start pacing and load reporting",
		Description: "The simulated registry refuses reports for ten seconds, and the dependency fails under\n" +
			"overload.\n" +
			"Example:\n" +
			"   milletbarrow experiment cold-start --backends 330,1200,5000 --seeds 6",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.IntSliceFlag{Name: "backends", Value: coldstart.Sizes()},
			&cli.IntFlag{Name: "seeds", Value: defaultColdStartSeeds},
		},
		Action: studyColdStart,
	}
}

// studyColdStart simulates cold starts, and prints a row for each combination of start pacing and load reporting.
func studyColdStart(_ context.Context, c *cli.Command) error {
	for _, n := range c.IntSlice("backends") {
		if err := checkRange("backends", n, minColdStartBackends, maxColdStartBackends); err != nil {
			return err
		}
	}
	if err := checkRange("seeds", c.Int("seeds"), 1, maxColdStartSeeds); err != nil {
		return err
	}
	rows, err := coldstart.Study(
		c.IntSlice("backends"),
		c.Int("seeds"),
		func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(rows)
	}
	coldstart.Print(os.Stdout, rows)
	return nil
}
