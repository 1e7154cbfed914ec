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

// supervisorCommand runs a supervisor, which the agent starts for each instance. Its name and flags, and those that it
// passes to the instance, are an interface between releases: the agent or the instance may be of an earlier one.
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

// supervisorHeapGrowth is the percentage by which the heap grows between collections. It is below Go's default of 100,
// as there is a supervisor for each instance and memory matters more than speed.
const supervisorHeapGrowth = 50

// runSupervisor supervises one instance until it has ended.
func runSupervisor(ctx context.Context, c *cli.Command) error {
	end, err := startLog(c)
	if err != nil {
		return err
	}
	defer end()
	runtime.GOMAXPROCS(1) // there is one supervisor for each instance, and it is idle nearly always
	debug.SetGCPercent(supervisorHeapGrowth)
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	program := c.Args().Slice()
	if len(program) == 0 {
		program = []string{executable}
	}
	command := slices.Concat(program, []string{"serve", "--config", c.String("config")})
	if file := c.String("levels"); file != "" {
		command = append(command, "--levels", file)
	}
	for _, assignment := range c.StringSlice("draw") {
		command = append(command, "--draw", assignment)
	}
	return supervisor.Run(ctx, supervisor.Options{
		Dir: c.String("dir"), Name: c.String("name"), Incarnation: c.String("run"), Adopt: c.Bool("adopt"),
		Launcher: []string{executable, "begin", "--"}, Command: command,
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
