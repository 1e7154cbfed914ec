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
		Name: "rolling-update", Usage: "restart instances a few at a time, within limits",
		ArgsUsage: "[instance ...]",
		Description: "The limits are those of the fleet's file; each flag replaces one.\n\nExamples:\n" +
			"   milletbarrow fleet rolling-update --fleet fleet.sx --all --dry-run\n" +
			"   milletbarrow fleet rolling-update --fleet fleet.sx --group counter " +
			"--max-unavailable 4 --min-ready-share 0.8 --surge 1\n" +
			"   milletbarrow fleet resume --fleet fleet.sx ID",
		Flags: append(
			selectionFlags(),
			&cli.IntFlag{Name: "max-unavailable", Usage: "maximum number of instances restarting at once"},
			&cli.IntFlag{Name: "min-ready", Usage: "minimum number of ready instances in each group"},
			&cli.FloatFlag{Name: "min-ready-share", Usage: "minimum share of ready instances in each group"},
			&cli.StringFlag{
				Name:  "order",
				Usage: "order of the instances: file, name or spread (alternating between groups)",
			},
			&cli.IntFlag{Name: "surge", Usage: "spares of each group that start before its first instance restarts"},
			&cli.IntFlag{Name: "max-failures", Usage: "number of failures beyond which the update pauses"},
			&cli.DurationFlag{Name: "ready-within", Usage: "timeout from an instance's start to ready"},
			&cli.DurationFlag{Name: "stall", Usage: "time without progress after which the update pauses"},
			&cli.FloatFlag{
				Name:  "rejected-share",
				Usage: "share of rejected or failed requests that pauses the update",
			},
			&cli.DurationFlag{Name: "rejected-for", Usage: "time for which the share has to last"},
			&cli.IntFlag{
				Name:  "max-hosts",
				Usage: "hosts that update at once, unless a quota limits the restarting instances over all hosts",
				Value: 1,
			},
			&cli.StringFlag{
				Name: "budget",
				Usage: "concurrency quota of the fleet's file: each restarting instance holds a unit of it, " +
					"over all hosts",
			},
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
		return asUsageError(err)
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
			return usagef(
				"wait: a rolling update over %d hosts without a quota is sequenced by this command, which has to wait",
				len(hosts),
			)
		}
		return finishCommand(c, client.Execute(ctx, request, instances, false), false)
	}
	return finishCommand(c, client.RollingUpdate(ctx, request, instances, c.Int("max-hosts")), true)
}

// rollingUpdateConfig returns the configuration of the fleet file, with the settings that the flags replace.
func rollingUpdateConfig(c *cli.Command, w fleet.RollingUpdateConfig) fleet.RollingUpdateConfig {
	for name, to := range map[string]*int{
		"max-unavailable": &w.MaxInProgress,
		"min-ready":       &w.MinReady,
		"surge":           &w.Surge,
		"max-failures":    &w.MaxFailures,
	} {
		if c.IsSet(name) {
			*to = c.Int(name)
		}
	}
	for name, to := range map[string]*float64{
		"min-ready-share": &w.MinReadyShare,
		"rejected-share":  &w.MaxRejectedShare,
	} {
		if c.IsSet(name) {
			*to = c.Float(name)
		}
	}
	for name, to := range map[string]*monotime.Micros{
		"ready-within": &w.ReadyWithin,
		"stall":        &w.StallTimeout,
		"rejected-for": &w.RejectionTolerance,
	} {
		if c.IsSet(name) {
			*to = monotime.FromDuration(c.Duration(name))
		}
	}
	if c.IsSet("order") {
		w.Order = c.String("order")
	}
	return w
}

// previewRollingUpdate prints the batches of a rolling update, assuming that no instance fails.
func previewRollingUpdate(
	c *cli.Command,
	client *fleetclient.Client,
	instances []*fleet.InstanceSpec,
	config fleet.RollingUpdateConfig,
) error {
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
			rows = append(
				rows,
				[]string{h, strconv.Itoa(s.Batch), s.Name, s.Group, strconv.Itoa(s.Ready), strconv.Itoa(s.MinReady)},
			)
		}
	}
	if c.Bool("json") {
		return printJSON(plans)
	}
	printTable(rows)
	fmt.Println("nothing was done")
	return nil
}
