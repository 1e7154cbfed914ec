package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/config"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration file without starting",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			b, err := readConfiguration(c)
			if err == nil {
				fmt.Printf("%s: valid%s\n", b.Name, ignoredSettings(b))
			}
			return err
		},
	}
}

// ignoredSettings lists the settings that this program does not support and ignores.
func ignoredSettings(b *config.Backend) string {
	if len(b.Settings.IgnoredFields) == 0 {
		return ""
	}
	return "; ignored settings: settings." + strings.Join(b.Settings.IgnoredFields, ", settings.")
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the build",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println(version())
			return nil
		},
	}
}
