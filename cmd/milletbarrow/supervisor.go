package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"slices"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// supervisorCommand runs a supervisor, which the agent starts beside each instance. Its name and flags, and those
// that it passes to the instance, are spoken between versions: an agent of an earlier one starts it by them.
func supervisorCommand() *cli.Command {
	return &cli.Command{
		Name: "keeper", Usage: "supervise one instance (started by the agent)", Hidden: true,
		Flags: []cli.Flag{
			configFlag(), logFlag(),
			&cli.StringFlag{Name: "dir", Required: true}, &cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "run", Required: true}, &cli.BoolFlag{Name: "adopt"},
			&cli.StringFlag{Name: "levels"}, &cli.StringSliceFlag{Name: "draw"},
			&cli.DurationFlag{Name: "grace", Required: true}, &cli.DurationFlag{Name: "stop", Required: true},
		},
		Action: runSupervisor,
	}
}

// supervisorHeapGrowth is the percentage by which the heap grows between collections: memory before speed.
const supervisorHeapGrowth = 50

// runSupervisor supervises one instance until it has ended.
func runSupervisor(ctx context.Context, c *cli.Command) error {
	end, err := startLog(c)
	if err != nil {
		return err
	}
	defer end()
	runtime.GOMAXPROCS(1) // there are as many of these as instances, and nearly always they sleep
	debug.SetGCPercent(supervisorHeapGrowth)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := c.Args().Slice()
	if len(program) == 0 {
		program = []string{self}
	}
	command := slices.Concat(program, []string{"serve", "--config", c.String("config")})
	if file := c.String("levels"); file != "" {
		command = append(command, "--levels", file)
	}
	for _, word := range c.StringSlice("draw") {
		command = append(command, "--draw", word)
	}
	return supervisor.Run(ctx, supervisor.Options{
		Dir: c.String("dir"), Name: c.String("name"), Incarnation: c.String("run"), Adopt: c.Bool("adopt"),
		Launcher: []string{self, "begin", "--"}, Command: command,
		Window: fleet.ShutdownWindow{
			Grace: monotime.FromDuration(c.Duration("grace")), ExitTimeout: monotime.FromDuration(c.Duration("stop")),
		},
		Bounds: limits.ForControl(),
	})
}

func beginCommand() *cli.Command {
	return &cli.Command{
		Name: "begin", Usage: "become an instance (started by the supervisor)", Hidden: true,
		Action: func(_ context.Context, c *cli.Command) error { return supervisor.WaitAndExec(c.Args().Slice()) },
	}
}
