package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleet"
)

var orderUsage = map[fleet.CommandKind]string{
	fleet.KindStart:   "have instances run, and wait until they are ready",
	fleet.KindDrain:   "have instances leave in their window, and stay down",
	fleet.KindStop:    "the same; with --now they are killed, and their callers get no answer",
	fleet.KindRestart: "have instances leave and come up again, all at once",
}

func orderCommand(kind fleet.CommandKind) *cli.Command {
	flags := selectionFlags()
	if kind == fleet.KindStop {
		flags = append(flags, &cli.BoolFlag{Name: "now", Usage: "kill at once: what they hold is lost"})
	}
	return &cli.Command{
		Name: string(kind), Usage: orderUsage[kind], ArgsUsage: "[instance ...]", Flags: flags,
		Description: fmt.Sprintf("Examples:\n   milletbarrow fleet %s --fleet fleet.sx n1 n2\n"+
			"   milletbarrow fleet %s --fleet fleet.sx --group counter --dry-run\n"+
			"   milletbarrow fleet %s --fleet fleet.sx --all --within 1m --json", kind, kind, kind),
		Action: func(ctx context.Context, c *cli.Command) error {
			t, err := tool(c)
			if err != nil {
				return err
			}
			all, err := selected(c, t)
			if err != nil {
				return err
			}
			o, err := orderOf(c, t, kind)
			if err != nil {
				return err
			}
			o.Immediate = kind == fleet.KindStop && c.Bool("now")
			if c.Bool("dry-run") {
				return dryRun(c, kind, all)
			}
			ctx, cancel := patience(ctx, o)
			defer cancel()
			return finish(c, t.Execute(ctx, o, all, c.Bool("wait")), c.Bool("wait"))
		},
	}
}

// dryRun lists what a command would do to which instance.
func dryRun(c *cli.Command, kind fleet.CommandKind, all []*fleet.InstanceSpec) error {
	if c.Bool("json") {
		return printJSON(all)
	}
	rows := [][]string{{"instance", "host", "group", "would"}}
	for _, in := range all {
		rows = append(rows, []string{in.Name, in.Host, in.Group, string(kind)})
	}
	table(rows)
	fmt.Println("nothing was done")
	return nil
}
