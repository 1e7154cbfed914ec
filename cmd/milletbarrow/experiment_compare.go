package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
)

func experimentCompareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print the paired difference of two policies with its confidence interval",
		ArgsUsage: "FILE A B",
		Description: "Days are paired by seed; the interval holds with a confidence of 0.95.\n" +
			"Example:\n   milletbarrow experiment compare docs/studies/deaf.sx --dir /tmp/deaf " +
			"--measure pay-post.value pool milletbarrow",
		Flags:  []cli.Flag{dirFlag(), overFlag(), measureFlag(), jsonFlag()},
		Action: comparePolicies,
	}
}

// Positions of the policies on the command line, after FILE.
const (
	firstPolicyArg  = 1
	secondPolicyArg = 2
)

// comparePolicies prints the paired differences of two policies.
func comparePolicies(_ context.Context, c *cli.Command) error {
	_, cells, results, err := loadExperiment(c)
	if err != nil {
		return err
	}
	m, err := experiment.MeasureNamed(c.String("measure"))
	if err != nil {
		return asUsageError(err)
	}
	first, second := c.Args().Get(firstPolicyArg), c.Args().Get(secondPolicyArg)
	all := experiment.Compare(cells, results, first, second, m)
	if len(all) == 0 {
		return usagef("no day was simulated with both %q and %q", first, second)
	}
	if c.Bool("json") {
		return printJSON(all)
	}
	w := newTabWriter()
	fmt.Fprintf(w, "scenario\tat\tdays\t%s\t%s\tdifference\tinterval\t\n", first, second)
	for _, d := range all {
		fmt.Fprintf(
			w,
			"%s\t%g\t%d\t%.4g\t%.4g\t%+.4g\t%+.4g to %+.4g\t%s\n",
			d.Scenario,
			d.SweptValue,
			d.Paired.Samples,
			d.First.Mean,
			d.Second.Mean,
			d.Paired.Mean,
			d.Paired.Low,
			d.Paired.High,
			d.Verdict,
		)
	}
	return w.Flush()
}
