package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "start, drain, inspect and stop many instances through their agents",
		Description: "Exit codes: 0 success, 1 error, 2 invalid file or argument, nothing was changed,\n" +
			"3 some instances failed, 4 timeout, 5 an agent is unreachable.",
		Commands: []*cli.Command{
			fleetCheckCommand(),
			lifecycleCommand(fleet.KindStart),
			lifecycleCommand(fleet.KindDrain),
			lifecycleCommand(fleet.KindStop),
			lifecycleCommand(fleet.KindRestart),
			rollingUpdateCommand(),
			steerCommand("pause"),
			steerCommand("resume"),
			steerCommand("cancel"),
			fleetStatusCommand(),
			fleetWatchCommand(),
			fleetHistoryCommand(),
			fleetQuotasCommand(),
			coldStartCommand(),
			fleetMembersCommand(),
		},
	}
}

// defaultCommandTimeout is the default of --within.
const defaultCommandTimeout = 5 * time.Minute

// commandMargin is added to a command's timeout while its sender waits for the report.
const commandMargin = 10 * time.Second

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func selectionFlags() []cli.Flag {
	return []cli.Flag{
		fleetFlag(),
		jsonFlag(),
		&cli.BoolFlag{Name: "all", Usage: "all instances except spares"},
		&cli.StringSliceFlag{Name: "group", Usage: "the instances of a `GROUP`"},
		&cli.StringSliceFlag{Name: "label", Usage: "the instances with a `LABEL`"},
		&cli.StringSliceFlag{Name: "host", Usage: "the instances of a `HOST`"},
		&cli.StringFlag{Name: "id", Usage: "the command's `ID`; a repeat with the same ID is the same command"},
		&cli.DurationFlag{
			Name:  "within",
			Usage: "fail instances without a result after this duration",
			Value: defaultCommandTimeout,
		},
		&cli.BoolFlag{Name: "dry-run", Usage: "print the steps without taking them"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until all instances have a result", Value: true},
		&cli.BoolFlag{Name: "quiet", Usage: "do not print progress"},
	}
}

// newFleetClient returns the client for the fleet file that the flag names.
func newFleetClient(c *cli.Command) (*fleetclient.Client, error) {
	spec, err := readFleet(c)
	if err != nil {
		return nil, err
	}
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	host, _ := os.Hostname()
	client := &fleetclient.Client{
		Spec: spec, Bounds: limits.ForControl(), Operator: fmt.Sprintf("%s@%s", by, host),
		Caller: agentapi.NewClientFactory(limits.ForControl(), uint64(process.Now())),
	}
	if !c.Bool("quiet") {
		client.OnProgress = func(host string, l agentapi.StreamEvent) { printEvent(os.Stderr, host, l) }
	}
	return client, nil
}

func printEvent(to *os.File, host string, l agentapi.StreamEvent) {
	switch {
	case l.LostEntries > 0:
		fmt.Fprintf(to, "%s: %d older lines are no longer stored\n", host, l.LostEntries)
	case l.Entry != nil:
		e := l.Entry
		fmt.Fprintf(
			to,
			"%s %-8s %-10s %-16s %s\n",
			time.UnixMicro(e.UnixMicros).UTC().Format("15:04:05.000"),
			host,
			e.Name,
			e.Event,
			e.Cause,
		)
	}
}

// selectInstances finds the instances that the command line names.
func selectInstances(c *cli.Command, client *fleetclient.Client) ([]*fleet.InstanceSpec, error) {
	all, err := client.Spec.Select(fleet.Selection{
		All: c.Bool("all"), Names: c.Args().Slice(), Groups: c.StringSlice("group"), Labels: c.StringSlice("label"),
		Hosts: c.StringSlice("host"),
	})
	return all, asUsageError(err)
}

func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// newTabWriter aligns columns on standard output once it is flushed.
func newTabWriter() *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 4, 2
	return tabwriter.NewWriter(os.Stdout, minWidth, tabWidth, padding, ' ', 0)
}

// printTable prints rows in columns.
func printTable(rows [][]string) {
	w := newTabWriter()
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // an error of standard output can be reported nowhere
}

// newCommandRequest returns the command that the flags describe.
func newCommandRequest(
	c *cli.Command,
	client *fleetclient.Client,
	kind fleet.CommandKind,
) (agentapi.CommandRequest, error) {
	now := time.Now()
	request := agentapi.CommandRequest{
		ID:                  c.String("id"),
		Kind:                kind,
		RequestedBy:         client.Operator,
		RequestedUnixMicros: now.UnixMicro(),
		TimeoutMicros:       c.Duration("within").Microseconds(),
	}
	if request.ID == "" {
		request.ID = fleetclient.NewID(kind, now)
	}
	if err := fleet.CheckName(request.ID); err != nil {
		return request, usagef("id: %w", err)
	}
	if request.TimeoutMicros <= 0 {
		return request, usagef("within: %v is not above 0", c.Duration("within"))
	}
	return request, nil
}

// newFleetCommand reads a command of a kind from the flags, with its client and its instances.
func newFleetCommand(
	c *cli.Command, kind fleet.CommandKind,
) (*fleetclient.Client, []*fleet.InstanceSpec, agentapi.CommandRequest, error) {
	client, err := newFleetClient(c)
	if err != nil {
		return nil, nil, agentapi.CommandRequest{}, err
	}
	instances, err := selectInstances(c, client)
	if err != nil {
		return nil, nil, agentapi.CommandRequest{}, err
	}
	request, err := newCommandRequest(c, client, kind)
	return client, instances, request, err
}

// withCommandTimeout bounds how long this process waits for a command. Agents end the command at its own timeout; the
// margin leaves them time to report the end.
func withCommandTimeout(ctx context.Context, request agentapi.CommandRequest) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(request.TimeoutMicros)*time.Microsecond+commandMargin)
}

// formatCounts lists the number of instances by outcome, sorted by the outcome's name.
func formatCounts(counts map[fleet.Outcome]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "no result"
	}
	return strings.Join(parts, ", ")
}

// printReport prints a row for each instance of a command, and its counts.
func printReport(r *fleetclient.Report) {
	rows := [][]string{{"instance", "host", "result", "cause"}}
	for _, host := range r.Hosts {
		if host.Command == nil {
			rows = append(rows, []string{"-", host.Host, "not taken", host.Error})
			continue
		}
		for _, name := range append(host.Command.Names, host.Command.Spares...) {
			result, ended := host.Command.Results[name]
			if !ended {
				result.Outcome, result.Cause = fleet.Outcome(host.Command.State), host.Command.Cause
			}
			rows = append(rows, []string{name, host.Host, string(result.Outcome), result.Cause})
		}
	}
	printTable(rows)
	fmt.Printf("command %s: %s\n", r.ID, formatCounts(r.Counts))
	if r.Reason != "" {
		fmt.Println("stopped:", r.Reason)
	}
}

// finishCommand prints a report, and returns an error unless the command succeeded. If the caller did not wait,
// missing results are no error.
func finishCommand(c *cli.Command, r *fleetclient.Report, waited bool) error {
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
		printReport(r)
	}
	verdict := r.Verdict()
	if !waited && verdict == fleetclient.VerdictTimedOut {
		verdict = fleetclient.VerdictSucceeded
	}
	switch verdict {
	case fleetclient.VerdictPartial:
		return &outcomeError{outcome: outcomePartial}
	case fleetclient.VerdictTimedOut:
		return &outcomeError{outcome: outcomeTimedOut}
	case fleetclient.VerdictUnreachable:
		return &outcomeError{outcome: outcomeUnreachable}
	default:
		return nil
	}
}
