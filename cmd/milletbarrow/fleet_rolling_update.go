package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
)

func rollingUpdateCommand() *cli.Command {
	return &cli.Command{
		Name: "rolling-update", Usage: "have instances leave and come up again a few at a time, within a budget",
		ArgsUsage: "[instance ...]",
		Description: "The terms are those of the file; flags replace them one by one.\n\nExamples:\n" +
			"   milletbarrow fleet rolling-update --fleet fleet.sx --all --dry-run\n" +
			"   milletbarrow fleet rolling-update --fleet fleet.sx --group counter --max-unavailable 4 --min-ready-share 0.8 --surge 1\n" +
			"   milletbarrow fleet resume --fleet fleet.sx ID",
		Flags: append(selectionFlags(),
			&cli.IntFlag{Name: "max-unavailable", Usage: "instances out at once"},
			&cli.IntFlag{Name: "min-ready", Usage: "so many of each group stay ready"},
			&cli.FloatFlag{Name: "min-ready-share", Usage: "and this share of each group"},
			&cli.StringFlag{Name: "order", Usage: "file, name or spread (over groups in turn)"},
			&cli.IntFlag{Name: "surge", Usage: "spares of each group that are ready before the first leaves"},
			&cli.IntFlag{Name: "max-failures", Usage: "more than so many pause the wave"},
			&cli.DurationFlag{Name: "ready-within", Usage: "from a start to ready"},
			&cli.DurationFlag{Name: "stall", Usage: "unable to go on for so long, it pauses"},
			&cli.FloatFlag{Name: "rejected-share", Usage: "share of invocations throttled or errored that pauses it"},
			&cli.DurationFlag{Name: "rejected-for", Usage: "if it lasts so long"},
			&cli.IntFlag{Name: "max-hosts", Usage: "hosts that roll at once, where no budget says how many instances may be out", Value: 1},
			&cli.StringFlag{Name: "budget", Usage: "a count of the fleet's file: each that is out holds a unit, over all hosts"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			t, err := tool(c)
			if err != nil {
				return err
			}
			all, err := selected(c, t)
			if err != nil {
				return err
			}
			o, err := orderOf(c, t, fleet.KindRollingUpdate)
			if err != nil {
				return err
			}
			terms := waveTerms(c, t.Spec.RollingUpdate)
			if err := terms.Check(); err != nil {
				return unusable(err)
			}
			o.RollingUpdate, o.Budget = &terms, t.Spec.RollingUpdateQuota
			if c.IsSet("budget") {
				o.Budget = c.String("budget")
			}
			if c.Bool("dry-run") {
				return previewWave(c, t, all, terms)
			}
			ctx, cancel := patience(ctx, o)
			defer cancel()
			if !c.Bool("wait") {
				if hosts, _ := t.ByHost(all); len(hosts) > 1 && o.Budget == "" {
					return usagef("wait: a wave over %d hosts is taken from host to host by this command, which has to stay", len(hosts))
				}
				return finish(c, t.Execute(ctx, o, all, false), false)
			}
			return finish(c, t.RollingUpdate(ctx, o, all, c.Int("max-hosts")), true)
		},
	}
}

func waveTerms(c *cli.Command, w fleet.RollingUpdateConfig) fleet.RollingUpdateConfig {
	for name, to := range map[string]*int{"max-unavailable": &w.MaxInProgress, "min-ready": &w.MinReady, "surge": &w.Surge, "max-failures": &w.MaxFailures} {
		if c.IsSet(name) {
			*to = c.Int(name)
		}
	}
	for name, to := range map[string]*float64{"min-ready-share": &w.MinReadyShare, "rejected-share": &w.MaxRejectedShare} {
		if c.IsSet(name) {
			*to = c.Float(name)
		}
	}
	for name, to := range map[string]*fleet.Micros{"ready-within": &w.ReadyWithin, "stall": &w.StallTimeout, "rejected-for": &w.RejectionTolerance} {
		if c.IsSet(name) {
			*to = fleet.Micros(c.Duration(name).Microseconds())
		}
	}
	if c.IsSet("order") {
		w.Order = c.String("order")
	}
	return w
}

// previewWave prints a wave step by step as it would go if all went well.
func previewWave(c *cli.Command, t *fleetclient.Client, all []*fleet.InstanceSpec, terms fleet.RollingUpdateConfig) error {
	hosts, names := t.ByHost(all)
	plans := map[string][]fleet.PlanStep{}
	rows := [][]string{{"host", "batch", "instance", "group", "ready meanwhile", "must stay"}}
	for _, h := range hosts {
		steps, err := fleet.Preview(t.Spec, h, names[h], terms)
		if err != nil {
			return usagef("host %s: %w", h, err)
		}
		plans[h] = steps
		for _, s := range steps {
			rows = append(rows, []string{h, strconv.Itoa(s.Batch), s.Name, s.Group, strconv.Itoa(s.Ready), strconv.Itoa(s.MinReady)})
		}
	}
	if c.Bool("json") {
		return printJSON(plans)
	}
	table(rows)
	fmt.Println("nothing was done")
	return nil
}
