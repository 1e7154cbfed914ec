package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleet"
)

var lifecycleUsage = map[fleet.CommandKind]string{
	fleet.KindStart:   "start instances and wait until they are ready",
	fleet.KindDrain:   "drain instances within their shutdown window; they stay stopped",
	fleet.KindStop:    "drain instances, or with --now kill them: requests in flight get no answer",
	fleet.KindRestart: "drain and start instances again, all at once",
}

func lifecycleCommand(kind fleet.CommandKind) *cli.Command {
	flags := selectionFlags()
	if kind == fleet.KindStop {
		flags = append(flags, &cli.BoolFlag{Name: "now", Usage: "kill at once: requests in flight are lost"})
	}
	return &cli.Command{
		Name: string(kind), Usage: lifecycleUsage[kind], ArgsUsage: "[instance ...]", Flags: flags,
		Description: fmt.Sprintf("Examples:\n   milletbarrow fleet %s --fleet fleet.sx n1 n2\n"+
			"   milletbarrow fleet %s --fleet fleet.sx --group counter --dry-run\n"+
			"   milletbarrow fleet %s --fleet fleet.sx --all --within 1m --json", kind, kind, kind),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, instances, request, err := newFleetCommand(c, kind)
			if err != nil {
				return err
			}
			request.Immediate = kind == fleet.KindStop && c.Bool("now")
			if c.Bool("dry-run") {
				return dryRun(c, kind, instances)
			}
			ctx, cancel := withCommandTimeout(ctx, request)
			defer cancel()
			return finishCommand(c, client.Execute(ctx, request, instances, c.Bool("wait")), c.Bool("wait"))
		},
	}
}

// dryRun lists the instances of a command and its effect on each, and does nothing.
func dryRun(c *cli.Command, kind fleet.CommandKind, instances []*fleet.InstanceSpec) error {
	if c.Bool("json") {
		return printJSON(instances)
	}
	rows := [][]string{{"instance", "host", "group", "would"}}
	for _, in := range instances {
		rows = append(rows, []string{in.Name, in.Host, in.Group, string(kind)})
	}
	printTable(rows)
	fmt.Println("nothing was done")
	return nil
}
