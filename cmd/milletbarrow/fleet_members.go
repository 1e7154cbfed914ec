package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

func fleetMembersCommand() *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "show which agents each agent considers alive",
		Description: "There is a row for each agent that was polled and a column for each agent whose state it reports.\n" +
			"Example:\n   milletbarrow fleet members --fleet fleet.sx",
		Flags:  []cli.Flag{fleetFlag(), jsonFlag()},
		Action: showMembers,
	}
}

// showMembers prints the membership state of each agent as the others see it.
func showMembers(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	all := client.Members(ctx)
	if c.Bool("json") {
		err = printJSON(all)
	} else {
		head := []string{"polled"}
		for _, h := range client.Spec.Hosts {
			head = append(head, h.Name)
		}
		rows := [][]string{head}
		for _, h := range all {
			row := []string{h.Host}
			if h.Error != "" {
				row = append(row, h.Error)
			}
			for _, s := range h.Seen {
				row = append(
					row,
					fmt.Sprintf("%s %v", s.State, (time.Duration(s.For)*time.Microsecond).Round(time.Second)),
				)
			}
			rows = append(rows, row)
		}
		printTable(rows)
	}
	for _, h := range all {
		if err == nil && h.Error != "" {
			return &outcomeError{outcome: outcomeUnreachable}
		}
	}
	return err
}
