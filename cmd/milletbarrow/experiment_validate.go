package main

import (
	"context"
	"fmt"
	"math"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

// validationResult compares one day in the simulation and on sockets.
type validationResult struct {
	Scenario  string     `json:"scenario"`
	Value     [2]float64 `json:"value"` // simulated, on sockets
	Throttled [2]float64 `json:"throttled"`
	P99       [2]float64 `json:"p99_us"` // mean over the operations, weighted by successes
	Within    bool       `json:"within"`
}

// Tolerances: absolute for the value and the throttled share, relative to the measured p99.
const (
	maxShareDifference = 0.05
	maxP99Difference   = 0.20
)

func experimentValidateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "compare scenarios in the simulation and over sockets on this machine",
		ArgsUsage: "FILE",
		Description: "Slow hosts, bursts and releases happen in both. The exit code is 3 if they differ by more\n" +
			"than 0.05 in value or in the rejected share, or by 20% in p99. " +
			"Other load on the machine changes the result.\n" +
			"Example:\n   milletbarrow experiment validate docs/studies/twins.sx",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "quiet"},
			&cli.StringFlag{Name: "scenario"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runValidation,
	}
}

func runValidation(ctx context.Context, c *cli.Command) error {
	x, err := experiment.Read(c.Args().First())
	if err != nil {
		return asUsageError(err)
	}
	p, err := simulation.PolicyNamed(simulation.Module)
	if err != nil {
		return err
	}
	var all []validationResult
	for i := range x.Scenarios {
		s := &x.Scenarios[i]
		if name := c.String("scenario"); name != "" && name != s.Name {
			continue
		}
		w, err := validateScenario(ctx, c, s, p)
		if err != nil {
			return err
		}
		all = append(all, *w)
	}
	if c.Bool("json") {
		return printJSON(all)
	}
	return printValidation(all)
}

func printValidation(all []validationResult) error {
	t := newTabWriter()
	fmt.Fprintln(
		t,
		"scenario\tvalue modelled\ton sockets\tthrottled modelled\ton sockets\tp99 ms modelled\ton sockets\twithin",
	)
	exceeded := 0
	for _, w := range all {
		fmt.Fprintf(
			t,
			"%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%t\n",
			w.Scenario,
			w.Value[0],
			w.Value[1],
			w.Throttled[0],
			w.Throttled[1],
			w.P99[0]/microsPerMillisecond,
			w.P99[1]/microsPerMillisecond,
			w.Within,
		)
		if !w.Within {
			exceeded++
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if exceeded > 0 {
		return outcomef(outcomePartial, "%d of %d days differ by more than the tolerance", exceeded, len(all))
	}
	return nil
}

// validateScenario runs one day in the simulation and on sockets, and compares the results.
func validateScenario(
	ctx context.Context,
	c *cli.Command,
	s *simulation.Scenario,
	p *simulation.Policy,
) (*validationResult, error) {
	modelled, err := simulation.Play(s, p, c.Uint64("seed"), nil)
	if err != nil {
		return nil, asUsageError(err)
	}
	measured, duplicateRuns, err := runOnSockets(ctx, s, c.Uint64("seed"), progressPrinter(c))
	if err != nil {
		return nil, err
	}
	if n := duplicateRuns + measured.DuplicateAnswers + measured.UnknownResults; n > 0 {
		return nil, outcomef(outcomePartial, "%s: %d answers or runs were duplicates", s.Name, n)
	}
	w := &validationResult{Scenario: s.Name}
	for n, r := range []*simulation.Result{modelled, measured.Result} {
		w.Value[n] = r.Value()
		w.Throttled[n], w.P99[n] = throttledShareAndP99(r)
	}
	w.Within = math.Abs(w.Value[0]-w.Value[1]) <= maxShareDifference &&
		math.Abs(w.Throttled[0]-w.Throttled[1]) <= maxShareDifference &&
		math.Abs(w.P99[0]-w.P99[1]) <= maxP99Difference*w.P99[1]
	return w, nil
}

// throttledShareAndP99 returns the throttled share of all requests, and the mean p99 in microseconds, weighted by
// successes.
func throttledShareAndP99(r *simulation.Result) (share, p99 float64) {
	requests, weight := 0, 0.0
	for i := range r.Operations {
		p := &r.Operations[i]
		requests += p.Requests
		share += float64(p.Outcomes[simulation.Throttled])
		if h, err := p.Histogram(); err == nil && h != nil {
			p99 += float64(h.ValueAtQuantile(p99Percent)) * float64(h.TotalCount())
			weight += float64(h.TotalCount())
		}
	}
	return share / max(1, float64(requests)), p99 / max(1, weight)
}
