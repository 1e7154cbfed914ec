package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

var steerUsage = map[string]string{
	"pause":  "pause a rolling update: no further instance restarts",
	"resume": "resume a paused rolling update and forget its failures",
	"cancel": "cancel a command: steps in progress are completed, others are not begun",
}

func steerCommand(verb string) *cli.Command {
	return &cli.Command{
		Name: verb, Usage: steerUsage[verb], ArgsUsage: "ID",
		Description: "Example:\n   milletbarrow fleet " + verb + " --fleet fleet.sx wave-20261201T160000-ab12cd34",
		Flags:       []cli.Flag{fleetFlag(), jsonFlag()},
		Action:      func(ctx context.Context, c *cli.Command) error { return steer(ctx, c, verb) },
	}
}

// steer sends the verb to every agent. Agents that do not know the command do not count.
func steer(ctx context.Context, c *cli.Command, verb string) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	id := c.Args().First()
	if err := fleet.CheckName(id); err != nil {
		return usagef("wanted the id of one command: %w", err)
	}
	if n := c.Args().Len(); n != 1 {
		return usagef("wanted the id of one command: %d are given", n)
	}
	type answer struct {
		Host    string         `json:"host"`
		Command *fleet.Command `json:"command,omitempty"`
		Error   string         `json:"error,omitempty"`
	}
	known, refused, away := 0, 0, 0
	answers, errs := agentapi.FanOut(
		ctx,
		client.Bounds,
		client.Spec.Hosts,
		func(ctx context.Context, h fleet.HostSpec) (answer, error) {
			agentClient := client.Caller.Client(h.AgentAddress)
			defer agentClient.Close()
			cmd, err := agentClient.Steer(ctx, id, verb, client.Operator)
			if err != nil {
				return answer{Host: h.Name, Error: err.Error()}, err
			}
			return answer{Host: h.Name, Command: cmd}, nil
		},
	)
	rows := [][]string{{"host", "state"}}
	for i, a := range answers {
		state := a.Error
		_, lost := errors.AsType[*agentapi.UnreachableError](errs[i])
		switch {
		case a.Command != nil:
			state = string(a.Command.State)
			known++
		case lost:
			away++
		case a.Error != fleet.ErrUnknownCommand.Error():
			refused++
		}
		rows = append(rows, []string{a.Host, state})
	}
	if c.Bool("json") {
		err = printJSON(answers)
	} else {
		printTable(rows)
	}
	switch {
	case err != nil:
		return err
	case away > 0:
		return &outcomeError{outcome: outcomeUnreachable}
	case refused > 0:
		return &outcomeError{outcome: outcomePartial}
	case known > 0:
		return nil
	}
	return usagef("no agent knows %s", id)
}
