// Command milletbarrow runs a backend, the agent of a host, and the tools that manage and test a fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/logging"
)

func main() {
	err := newApp().Run(context.Background(), currentNames(os.Args))
	if err == nil {
		return
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "milletbarrow:", err)
	}
	os.Exit(exitCode(err))
}

// newApp returns the program with its sub-commands.
func newApp() *cli.Command {
	return &cli.Command{
		Name:           "milletbarrow",
		Usage:          "admission control and scheduling for backends behind load balancers",
		DefaultCommand: "serve",
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			limitsCommand(),
			versionCommand(),
			agentCommand(),
			supervisorCommand(),
			beginCommand(),
			fleetCommand(),
			degradationCommand(),
			experimentCommand(),
			loadCommand(),
			fakeCommand(),
			faultsCommand(),
			demoCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // main exits with the code of the error
	}
}

// configFlag is the flag for the backend configuration.
func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("GW_CONFIG")}
}

// logFlag is the flag for the format of the log.
func logFlag() cli.Flag {
	return &cli.StringFlag{Name: "log", Usage: "write log lines as `text` or json", Value: string(logging.Text)}
}

// startLog starts the log in the format of the flag; end flushes queued lines.
func startLog(c *cli.Command) (end func(), err error) {
	format, err := logging.ParseFormat(c.String("log"))
	if err != nil {
		return nil, asUsageError(err)
	}
	return logging.Start(os.Stderr, format), nil
}

// readConfiguration reads the backend configuration from the file of the flag or the environment.
func readConfiguration(c *cli.Command) (*config.Backend, error) {
	file := c.String("config")
	if file == "" {
		return nil, errNoConfig
	}
	return config.Read(file)
}

// boundsOf derives the resource bounds of a backend from the limits in its configuration.
func boundsOf(b *config.Backend) limits.Bounds {
	return limits.For(b.Limits.Cores, b.Limits.MemoryMB, b.Limits.Sockets)
}

// version describes the build, as the version sub-command prints it.
func version() string {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	return fmt.Sprintf("milletbarrow revision %s, %s %s/%s", revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
