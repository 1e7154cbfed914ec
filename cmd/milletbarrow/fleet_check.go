package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agent"
	"milletbarrow/internal/fleet"
)

func fleetCheckCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a fleet file, and with --configs the configurations that it names",
		Description: "Examples:\n   milletbarrow fleet check --fleet fleet.sx\n" +
			"   milletbarrow fleet check --fleet fleet.sx --configs --json",
		Flags: []cli.Flag{
			fleetFlag(),
			jsonFlag(),
			&cli.BoolFlag{Name: "configs", Usage: "validate the instances' configurations too"},
		},
		Action: checkFleet,
	}
}

// checkFleet validates the fleet file, and with --configs the configurations that it names.
func checkFleet(_ context.Context, c *cli.Command) error {
	s, err := readFleet(c)
	if err != nil {
		return err
	}
	printFormerNames(s.Warnings)
	if c.Bool("configs") {
		var errs []error
		for _, h := range s.Hosts {
			errs = append(errs, agent.CheckConfigs(s, h.Name))
		}
		if err := errors.Join(errs...); err != nil {
			return asUsageError(err)
		}
	}
	if c.Bool("json") {
		return printJSON(struct {
			*fleet.Spec
			Instances []*fleet.InstanceSpec
		}{s, s.InstancesOn("")})
	}
	fmt.Printf(
		"%s: valid: %d hosts, %d groups, %d instances\n",
		s.Name,
		len(s.Hosts),
		len(s.Groups),
		len(s.InstancesOn("")),
	)
	return nil
}
