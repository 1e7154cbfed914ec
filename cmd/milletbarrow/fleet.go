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
		Name: "fleet", Usage: "start, drain, inspect and stop many instances through their agents",
		Description: "Exit codes: 0 all as asked, 1 an error, 2 a file or word can't be used and nothing was changed,\n" +
			"3 some instances came out other than asked for, 4 the time ran out, 5 an agent could not be reached.",
		Commands: []*cli.Command{
			fleetCheckCommand(), orderCommand(fleet.KindStart), orderCommand(fleet.KindDrain), orderCommand(fleet.KindStop),
			orderCommand(fleet.KindRestart), rollingUpdateCommand(), steerCommand("pause"), steerCommand("resume"),
			steerCommand("cancel"), fleetStatusCommand(), fleetWatchCommand(), fleetHistoryCommand(), fleetBudgetsCommand(), coldStartCommand(),
			fleetMembersCommand(),
		},
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print facts as JSON"} }

func selectionFlags() []cli.Flag {
	return []cli.Flag{
		fleetFlag(), jsonFlag(),
		&cli.BoolFlag{Name: "all", Usage: "every instance but spares"},
		&cli.StringSliceFlag{Name: "group", Usage: "the instances of a `GROUP`"},
		&cli.StringSliceFlag{Name: "label", Usage: "the instances with a `LABEL`"},
		&cli.StringSliceFlag{Name: "host", Usage: "the instances of a `HOST`"},
		&cli.StringFlag{Name: "id", Usage: "the command's `ID`; sent again with it, it is the same command"},
		&cli.DurationFlag{Name: "within", Usage: "what has no result by then is late", Value: 5 * time.Minute},
		&cli.BoolFlag{Name: "dry-run", Usage: "print what would be done, and do nothing"},
		&cli.BoolFlag{Name: "wait", Usage: "stay until all have a result", Value: true},
		&cli.BoolFlag{Name: "quiet", Usage: "no progress"},
	}
}

// tool is what the sub-commands work with.
func tool(c *cli.Command) (*fleetclient.Client, error) {
	spec, err := readFleet(c)
	if err != nil {
		return nil, err
	}
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	host, _ := os.Hostname()
	t := &fleetclient.Client{
		Spec: spec, Bounds: limits.ForControl(), Operator: fmt.Sprintf("%s@%s", by, host),
		Caller: agentapi.NewClientFactory(limits.ForControl(), uint64(process.Now())),
	}
	if !c.Bool("quiet") {
		t.OnProgress = func(host string, l agentapi.StreamEvent) { sayLine(os.Stderr, host, l) }
	}
	return t, nil
}

func sayLine(to *os.File, host string, l agentapi.StreamEvent) {
	switch {
	case l.LostEntries > 0:
		fmt.Fprintf(to, "%s: %d lines are no longer kept\n", host, l.LostEntries)
	case l.Entry != nil:
		e := l.Entry
		fmt.Fprintf(to, "%s %-8s %-10s %-16s %s\n", time.UnixMicro(e.UnixMicros).UTC().Format("15:04:05.000"), host, e.Name, e.Event, e.Cause)
	}
}

// selected are the instances that the command line names.
func selected(c *cli.Command, t *fleetclient.Client) ([]*fleet.InstanceSpec, error) {
	all, err := t.Spec.Select(fleet.Selection{
		All: c.Bool("all"), Names: c.Args().Slice(), Groups: c.StringSlice("group"), Labels: c.StringSlice("label"),
		Hosts: c.StringSlice("host"),
	})
	return all, unusable(err)
}

func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// table writes rows in columns.
func table(rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // standard output: nowhere else to say so
}

// orderOf is the command that the flags ask for.
func orderOf(c *cli.Command, t *fleetclient.Client, kind fleet.CommandKind) (agentapi.CommandRequest, error) {
	now := time.Now()
	o := agentapi.CommandRequest{
		ID: c.String("id"), Kind: kind, RequestedBy: t.Operator, RequestedUnixMicros: now.UnixMicro(), TimeoutMicros: c.Duration("within").Microseconds(),
	}
	if o.ID == "" {
		o.ID = fleetclient.NewID(kind, now)
	}
	if err := fleet.CheckName(o.ID); err != nil {
		return o, usagef("id: %w", err)
	}
	if o.TimeoutMicros <= 0 {
		return o, usagef("within: %v is not above 0", c.Duration("within"))
	}
	return o, nil
}

// patience is for how long the tool stays with a command: agents end it by its own time.
func patience(ctx context.Context, o agentapi.CommandRequest) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(o.TimeoutMicros)*time.Microsecond+10*time.Second)
}

// counted puts counts into words, in order.
func counted(counts map[fleet.Outcome]int) string {
	words := make([]string, 0, len(counts))
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s %d", o, counts[o]))
	}
	if len(words) == 0 {
		return "no result"
	}
	return strings.Join(words, ", ")
}

// finish prints a report and ends with the code that it stands for.
func finish(c *cli.Command, r *fleetclient.Report, waited bool) error {
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
		rows := [][]string{{"instance", "host", "result", "cause"}}
		for _, h := range r.Hosts {
			if h.Command == nil {
				rows = append(rows, []string{"-", h.Host, "not taken", h.Error})
				continue
			}
			for _, n := range append(h.Command.Names, h.Command.Spares...) {
				res, over := h.Command.Results[n]
				if !over {
					res.Outcome, res.Cause = fleet.Outcome(h.Command.State), h.Command.Cause
				}
				rows = append(rows, []string{n, h.Host, string(res.Outcome), res.Cause})
			}
		}
		table(rows)
		fmt.Printf("command %s: %s\n", r.ID, counted(r.Counts))
		if r.Reason != "" {
			fmt.Println("stopped:", r.Reason)
		}
	}
	verdict := r.Verdict()
	if !waited && verdict == fleetclient.VerdictTimedOut { // nobody wanted to know
		verdict = fleetclient.VerdictSucceeded
	}
	switch verdict {
	case fleetclient.VerdictPartial:
		return &outcomeError{outcome: outcomePartial}
	case fleetclient.VerdictTimedOut:
		return &outcomeError{outcome: outcomeTimedOut}
	case fleetclient.VerdictUnreachable:
		return &outcomeError{outcome: outcomeUnreachable}
	}
	return nil
}
