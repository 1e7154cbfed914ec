package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleetclient"
)

func fleetStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of each instance, and the open commands",
		Description: "Examples:\n   milletbarrow fleet status --fleet fleet.sx\n" +
			"   milletbarrow fleet status --fleet fleet.sx --json",
		Flags:  []cli.Flag{fleetFlag(), jsonFlag()},
		Action: showStatus,
	}
}

// showStatus prints the instances and open commands of all hosts.
func showStatus(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	all := client.Status(ctx)
	if c.Bool("json") {
		err = printJSON(all)
	} else {
		printStatus(all)
	}
	for _, h := range all {
		if err == nil && h.Status == nil {
			return &outcomeError{outcome: outcomeUnreachable}
		}
	}
	return err
}

// printedResolution is the precision of durations in tables.
const printedResolution = 100 * time.Millisecond

// printStatus prints a row for each instance, then store errors and open commands.
func printStatus(all []fleetclient.HostStatus) {
	rows := [][]string{{"instance", "host", "group", "desired", "phase", "for", "pid", "in flight", "level", "cause"}}
	for _, h := range all {
		if h.Status == nil {
			rows = append(rows, []string{"-", h.Host, "-", "-", "unknown", "-", "-", "-", "-", h.Error})
			continue
		}
		for _, in := range h.Status.Instances {
			desired, pid, inFlight, level := "down", "-", "-", "-"
			if in.DesiredUp {
				desired = "up"
			}
			if in.PID != 0 {
				pid = fmt.Sprint(in.PID)
			}
			if in.State != nil {
				inFlight = fmt.Sprint(in.State.InFlight)
				if in.State.Level != "" {
					level = in.State.Level
				}
			}
			age := (time.Duration(in.PhaseAgeMicros) * time.Microsecond).Round(printedResolution)
			rows = append(
				rows,
				[]string{
					in.Name,
					h.Host,
					in.Group,
					desired,
					string(in.Phase),
					age.String(),
					pid,
					inFlight,
					level,
					in.Cause,
				},
			)
		}
	}
	printTable(rows)
	for _, h := range all {
		if h.Status == nil {
			continue
		}
		if h.Status.StoreError != "" {
			fmt.Printf("host %s accepts no commands: store error: %s\n", h.Host, h.Status.StoreError)
		}
		for _, cmd := range h.Status.OpenCommands {
			fmt.Printf(
				"host %s: %s %s, %d of %d done %s\n",
				h.Host,
				cmd.ID,
				cmd.State,
				len(cmd.Results),
				len(cmd.Names)+len(cmd.Spares),
				cmd.Cause,
			)
		}
	}
}
