package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
)

var steerUsage = map[string]string{
	"pause":  "pause a rolling update: no further instance restarts",
	"resume": "resume a paused rolling update and forget its failures",
	"cancel": "cancel a command: steps in progress complete, no others start",
}

func steerCommand(verb string) *cli.Command {
	return &cli.Command{
		Name: verb, Usage: steerUsage[verb], ArgsUsage: "ID",
		Description: "Example:\n   milletbarrow fleet " + verb + " --fleet fleet.sx wave-20261201T160000-ab12cd34",
		Flags:       []cli.Flag{fleetFlag(), jsonFlag()},
		Action:      func(ctx context.Context, c *cli.Command) error { return steer(ctx, c, verb) },
	}
}

// steerResult is one host's result of a steering command, as --json prints it.
type steerResult struct {
	Host    string         `json:"host"`
	Command *fleet.Command `json:"command,omitempty"` // nil: see Error
	Error   string         `json:"error,omitempty"`

	err error // nil: the host knows the command
}

// state returns the state of the command on this host, or the error.
func (r *steerResult) state() string {
	if r.Command != nil {
		return string(r.Command.State)
	}
	return r.Error
}

// steer sends the verb to every agent. Answers of agents that do not know the command are ignored.
func steer(ctx context.Context, c *cli.Command, verb string) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	id := c.Args().First()
	if err := fleet.CheckName(id); err != nil {
		return usagef("expected the ID of one command: %w", err)
	}
	if n := c.Args().Len(); n != 1 {
		return usagef("expected the ID of one command: %d are given", n)
	}
	results := steerAll(ctx, client, id, verb)
	if c.Bool("json") {
		err = printJSON(results)
	} else {
		printSteerResults(results)
	}
	if err != nil {
		return err
	}
	return steerOutcome(results, id)
}

// steerAll sends the verb to the agents of all hosts at once, and returns a result for each host.
func steerAll(ctx context.Context, client *fleetclient.Client, id, verb string) []steerResult {
	results, _ := agentapi.FanOut(
		ctx,
		client.Bounds,
		client.Spec.Hosts,
		func(ctx context.Context, host fleet.HostSpec) (steerResult, error) {
			agentClient := client.Caller.Client(host.AgentAddress)
			defer agentClient.Close()
			command, err := agentClient.Steer(ctx, id, verb, client.Operator)
			if err != nil {
				return steerResult{Host: host.Name, Error: err.Error(), err: err}, err
			}
			return steerResult{Host: host.Name, Command: command}, nil
		},
	)
	return results
}

func printSteerResults(results []steerResult) {
	rows := make([][]string, 0, 1+len(results))
	rows = append(rows, []string{"host", "state"})
	for i := range results {
		rows = append(rows, []string{results[i].Host, results[i].state()})
	}
	printTable(rows)
}

// steerOutcome returns nil if an agent knows the command, and no agent was unreachable or rejected the verb.
func steerOutcome(results []steerResult, id string) error {
	known, rejected, unreachable := 0, 0, 0
	for i := range results {
		_, lost := errors.AsType[*agentapi.UnreachableError](results[i].err)
		switch {
		case results[i].Command != nil:
			known++
		case lost:
			unreachable++
		case results[i].Error != fleet.ErrUnknownCommand.Error():
			rejected++
		}
	}
	switch {
	case unreachable > 0:
		return &outcomeError{outcome: outcomeUnreachable}
	case rejected > 0:
		return &outcomeError{outcome: outcomePartial}
	case known > 0:
		return nil
	}
	return usagef("no agent knows %s", id)
}
