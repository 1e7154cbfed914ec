package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
)

const defaultHistoryLines = 200

// maxHistoryLines is the largest number of lines that fleet history prints.
const maxHistoryLines = 100_000

func fleetHistoryCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print the history of instances and commands: events, operators and causes",
		Description: "Examples:\n   milletbarrow fleet history --fleet fleet.sx --most 50\n" +
			"   milletbarrow fleet history --fleet fleet.sx --name n3 --json\n\n" +
			"Lines of several hosts are in the order of their wall clocks, which may differ.",
		Flags: []cli.Flag{
			fleetFlag(),
			jsonFlag(),
			&cli.IntFlag{Name: "most", Usage: "maximum number of lines; the latest are printed", Value: defaultHistoryLines},
			&cli.StringFlag{
				Name:  "name",
				Usage: "only events of this `INSTANCE`",
			},
			&cli.StringFlag{Name: "command", Usage: "only events of the command with this `ID`"},
		},
		Action: showHistory,
	}
}

// showHistory prints the latest events of all hosts.
func showHistory(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	if err := checkRange("most", c.Int("most"), 1, maxHistoryLines); err != nil {
		return err
	}
	name, command := c.String("name"), c.String("command")
	all, missing := client.History(ctx, c.Int("most"), func(e fleetclient.Entry) bool {
		return (name == "" || e.Entry.Name == name) && (command == "" || e.Entry.CommandID == command)
	})
	if c.Bool("json") {
		err = printJSON(map[string]any{"entries": all, "missing": missing})
	} else {
		for _, e := range all {
			printEvent(os.Stdout, e.Host, e.StreamEvent)
		}
		for host, cause := range missing {
			fmt.Printf("host %s: history is missing: %s\n", host, cause)
		}
	}
	if err == nil && len(missing) > 0 {
		return &outcomeError{outcome: outcomeUnreachable}
	}
	return err
}

func fleetWatchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "follow one command until it ends, or all events until interrupted",
		ArgsUsage: "[ID]",
		Description: "Examples:\n   milletbarrow fleet watch --fleet fleet.sx\n" +
			"   milletbarrow fleet watch --fleet fleet.sx wave-20261201T160000-ab12cd34",
		Flags:  []cli.Flag{fleetFlag(), jsonFlag()},
		Action: watchCommand,
	}
}

// watchCommand follows one command to its end, or all events.
func watchCommand(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	id := c.Args().First()
	r := &fleetclient.Report{ID: id}
	r.Hosts, _ = agentapi.FanOut(
		ctx,
		client.Bounds,
		client.Spec.Hosts,
		func(ctx context.Context, h fleet.HostSpec) (fleetclient.HostReport, error) {
			return client.Watch(ctx, h.Name, id), nil
		},
	)
	if id == "" {
		return nil
	}
	return finishCommand(c, r.OnlyKnown(), true)
}
