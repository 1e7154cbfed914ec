package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

const (
	defaultReadingInterval  = 100 * time.Millisecond
	defaultOverrideDuration = 10 * time.Minute
)

func degradationCommand() *cli.Command {
	return &cli.Command{
		Name:  "degradation",
		Usage: "check, replay and override degradation levels",
		Commands: []*cli.Command{
			degradationCheckCommand(),
			degradationRecordCommand(),
			degradationReplayCommand(),
			degradationPinCommand(),
		},
	}
}

// readDegradationPolicy reads and checks a degradation policy.
func readDegradationPolicy(file string) (*degradation.Policy, []sexpr.Warning, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, asUsageError(err)
	}
	policy, warnings, err := degradation.ParsePolicy(file, raw)
	return policy, warnings, asUsageError(err)
}

func degradationCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a degradation policy and explain it in words", ArgsUsage: "FILE",
		Description: "Example:\n   milletbarrow degradation check policy.sx --config n3.json",
		Flags:       []cli.Flag{configFlag(), jsonFlag()},
		Action:      checkDegradation,
	}
}

// checkDegradation explains a policy; with --config it also checks it against a backend's operations and tenants.
func checkDegradation(_ context.Context, c *cli.Command) error {
	policy, warnings, err := readDegradationPolicy(c.Args().First())
	if err != nil {
		return err
	}
	printFormerNames(warnings)
	if file := c.String("config"); file != "" {
		b, err := config.Read(file)
		if err == nil {
			_, err = degradation.NewShedder(policy, b.Settings.Operations, b.Settings.Tenants, 1)
		}
		if err != nil {
			return asUsageError(err)
		}
	}
	if c.Bool("json") {
		return printJSON(policy)
	}
	fmt.Print(policy.Explain())
	return nil
}

func degradationReplayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay recorded signals through a policy, and plot its levels",
		ArgsUsage: "FILE TRACE",
		Description: "A trace has one line for each reading: its time in microseconds, then the known signals,\n" +
			"such as queue=1.5.\n" +
			"Example:\n   milletbarrow degradation replay policy.sx signals.txt --plot levels.svg",
		Flags:  []cli.Flag{jsonFlag(), &cli.StringFlag{Name: "plot", Usage: "plot to a `FILE` (.svg or .png)"}},
		Action: replayDegradation,
	}
}

func replayDegradation(_ context.Context, c *cli.Command) error {
	policy, warnings, err := readDegradationPolicy(c.Args().Get(0))
	if err != nil {
		return err
	}
	printFormerNames(warnings)
	trace, err := readTrace(c.Args().Get(1))
	if err != nil {
		return err
	}
	points, changes := degradation.Replay(policy, trace)
	if file := c.String("plot"); file != "" {
		if err := plotLevels(file, policy, points); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(levelChanges(policy, changes))
	}
	for _, change := range changes {
		fmt.Printf(
			"%9.3f s  %s to %s, collapse %t, %s\n",
			(change.At - trace[0].At).Seconds(),
			policy.LevelName(change.From),
			policy.LevelName(change.To),
			change.Collapse,
			change.Cause,
		)
	}
	fmt.Printf("%d readings, %d changes\n", len(trace), len(changes))
	return nil
}

// readTrace reads recorded signals; a trace without readings is an error.
func readTrace(file string) ([]degradation.Reading, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, asUsageError(err)
	}
	defer func() { _ = in.Close() }() // opened for reading only
	trace, err := degradation.ReadTrace(file, in)
	if err != nil {
		return nil, asUsageError(err)
	}
	if len(trace) == 0 {
		return nil, usagef("%s: the trace has no readings", file)
	}
	return trace, nil
}

// plotLevels plots the level and the signals of a replay. If plotting fails, no file is written.
func plotLevels(file string, policy *degradation.Policy, points []degradation.ReplayPoint) error {
	format, err := plotFormat("plot", file)
	if err != nil {
		return err
	}
	var drawing bytes.Buffer
	if err := plot.Levels(&drawing, policy, points, format); err != nil {
		return err
	}
	return os.WriteFile(file, drawing.Bytes(), plotFileMode)
}

// levelChange is a change of level as --json prints it.
type levelChange struct {
	At       monotime.Micros `json:"at_us"`
	From     string          `json:"from"`
	To       string          `json:"to"`
	Collapse bool            `json:"collapse"`
	Cause    string          `json:"cause"`
}

func levelChanges(policy *degradation.Policy, changes []degradation.Change) []levelChange {
	all := make([]levelChange, 0, len(changes)) // not nil: no changes are printed as []
	for _, change := range changes {
		all = append(all, levelChange{
			change.At, policy.LevelName(change.From), policy.LevelName(change.To), change.Collapse, change.Cause,
		})
	}
	return all
}

func degradationRecordCommand() *cli.Command {
	return &cli.Command{
		Name: "record", Usage: "print an instance's signals as a trace for replay",
		Description: "Example:\n   milletbarrow degradation record --socket n3.inspect --for 10m > signals.txt",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "socket", Usage: "the instance's admin `SOCKET`", Required: true},
			&cli.DurationFlag{Name: "for", Usage: "duration", Value: time.Minute},
			&cli.DurationFlag{Name: "every", Usage: "interval between two readings", Value: defaultReadingInterval},
		},
		Action: recordSignals,
	}
}

// recordSignals polls an instance for the duration of --for and prints each new reading once.
func recordSignals(ctx context.Context, c *cli.Command) error {
	client := admin.NewClient(c.String("socket"), limits.ForControl())
	defer client.Close()
	every := c.Duration("every")
	if every < time.Millisecond {
		return usagef("every: %v is below 1ms", every)
	}
	last := int64(0)
	for end := time.Now().Add(c.Duration("for")); time.Now().Before(end); time.Sleep(every) {
		call, cancel := context.WithTimeout(ctx, limits.ForControl().CallTimeout)
		s, err := client.State(call)
		cancel()
		if err != nil {
			return err
		}
		if s.DegradationPolicy == "" {
			return usagef("socket: the instance has no degradation policy and measures no signals")
		}
		if s.SignalsAt > last { // not printed yet
			last = s.SignalsAt
			fmt.Println(s.SignalsAt, s.Signals)
		}
	}
	return nil
}

func degradationPinCommand() *cli.Command {
	return &cli.Command{
		Name: "pin", Usage: "override the degradation level of one instance for a limited time", ArgsUsage: "LEVEL",
		Description: "full is the level that sheds nothing. The override expires by itself.\n" +
			"Examples:\n   milletbarrow degradation pin --socket n3.inspect --for 10m --above no-reprints\n" +
			"   milletbarrow degradation pin --socket n3.inspect --release",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "socket", Usage: "the instance's admin `SOCKET`", Required: true},
			&cli.DurationFlag{Name: "for", Usage: "duration", Value: defaultOverrideDuration},
			&cli.BoolFlag{Name: "above", Usage: "allow the signals to raise the level above it"},
			&cli.BoolFlag{Name: "release", Usage: "end the override"},
		},
		Action: pinLevel,
	}
}

// pinLevel overrides the level of an instance, or ends the override.
func pinLevel(ctx context.Context, c *cli.Command) error {
	if name := c.Args().First(); (name == "") != c.Bool("release") {
		return usagef("expected either a level or --release")
	}
	client := admin.NewClient(c.String("socket"), limits.ForControl())
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, limits.ForControl().CallTimeout)
	defer cancel()
	return client.Override(ctx, admin.Override{
		Level:       c.Args().First(),
		Duration:    c.Duration("for").Microseconds(),
		By:          "command line",
		AllowHigher: c.Bool("above"),
	})
}
