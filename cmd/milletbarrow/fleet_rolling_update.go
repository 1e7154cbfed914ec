package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
	"milletbarrow/monotime"
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
		Action: runRollingUpdate,
	}
}

// runRollingUpdate carries out a rolling update, or with --dry-run prints its batches.
func runRollingUpdate(ctx context.Context, c *cli.Command) error {
	client, instances, request, err := newFleetCommand(c, fleet.KindRollingUpdate)
	if err != nil {
		return err
	}
	config := rollingUpdateConfig(c, client.Spec.RollingUpdate)
	if err := config.Check(); err != nil {
		return unusable(err)
	}
	request.RollingUpdate, request.Budget = &config, client.Spec.RollingUpdateQuota
	if c.IsSet("budget") {
		request.Budget = c.String("budget")
	}
	if c.Bool("dry-run") {
		return previewRollingUpdate(c, client, instances, config)
	}
	ctx, cancel := withCommandTimeout(ctx, request)
	defer cancel()
	if !c.Bool("wait") {
		if hosts, _ := client.ByHost(instances); len(hosts) > 1 && request.Budget == "" {
			return usagef("wait: a wave over %d hosts is taken from host to host by this command, which has to stay", len(hosts))
		}
		return finishCommand(c, client.Execute(ctx, request, instances, false), false)
	}
	return finishCommand(c, client.RollingUpdate(ctx, request, instances, c.Int("max-hosts")), true)
}

// rollingUpdateConfig is the fleet file's configuration with what the flags set in its place.
func rollingUpdateConfig(c *cli.Command, w fleet.RollingUpdateConfig) fleet.RollingUpdateConfig {
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
	for name, to := range map[string]*monotime.Micros{"ready-within": &w.ReadyWithin, "stall": &w.StallTimeout, "rejected-for": &w.RejectionTolerance} {
		if c.IsSet(name) {
			*to = monotime.FromDuration(c.Duration(name))
		}
	}
	if c.IsSet("order") {
		w.Order = c.String("order")
	}
	return w
}

// previewRollingUpdate prints a rolling update batch by batch, as it would go if all went well.
func previewRollingUpdate(c *cli.Command, client *fleetclient.Client, instances []*fleet.InstanceSpec, config fleet.RollingUpdateConfig) error {
	hosts, names := client.ByHost(instances)
	plans := map[string][]fleet.PlanStep{}
	rows := [][]string{{"host", "batch", "instance", "group", "ready meanwhile", "must stay"}}
	for _, h := range hosts {
		steps, err := fleet.Preview(client.Spec, h, names[h], config)
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
	printTable(rows)
	fmt.Println("nothing was done")
	return nil
}
