package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
)

func coldStartCommand() *cli.Command {
	return &cli.Command{
		Name:      "cold-start",
		Usage:     "start all stopped instances of a site, at the pace that the registry and the dependencies allow",
		ArgsUsage: "[instance ...]",
		Description: "Running instances are not touched. The required minimum of each group starts first. The limits are those of\n" +
			"(cold-start ...) in the fleet's file. With the --id of a cold start that goes on, the command follows that.\n\nExamples:\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --dry-run\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision go-on     (continue after a stop, once its cause is removed)\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision end       (end the limits; fleet cancel ID cancels the starts)",
		Flags: append(
			selectionFlags(),
			&cli.StringFlag{Name: "decision", Usage: "a `DECISION` about the cold start of --id: go-on or end"},
		),
		Action: runColdStart,
	}
}

func runColdStart(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	if client.Spec.ColdStart == nil {
		return usagef("%s: has no (cold-start (quota COUNT))", c.String("fleet"))
	}
	all, err := selectInstances(c, client)
	if err != nil {
		return err
	}
	request, err := newCommandRequest(c, client, fleet.KindColdStart)
	if err != nil {
		return err
	}
	request.Budget = client.Spec.ColdStartQuota
	r := quota.ColdStartCommand{
		Limit:  quota.LimitName(request.Budget),
		ID:     request.ID,
		By:     client.Operator,
		Action: c.String("decision"),
	}
	if r.Action != "" {
		if err := client.ColdStart(ctx, r); err != nil {
			return quotaCallError(err)
		}
		fmt.Printf("%s: %s\n", request.ID, r.Action)
		return nil
	}
	r.Config = client.Spec.ColdStart
	for _, in := range all {
		r.Members = append(r.Members, coldstart.Member{
			Name: coldstart.MemberName(in.Name), Group: coldstart.GroupName(in.Group), Host: in.Host,
		})
	}
	if c.Bool("dry-run") {
		return previewColdStart(c, &r)
	}
	ctx, cancel := withCommandTimeout(ctx, request)
	defer cancel()
	if err := client.ColdStart(ctx, r); err != nil {
		if no, ok := errors.AsType[*agentapi.StatusError](err); ok && no.Status/100 == 4 {
			return quotaCallError(err)
		}
		fmt.Fprintf(os.Stderr, "the ledger can't be reached (%v): each host goes on by one start at a time\n", err)
	}
	shown := make(chan struct{})
	showing, stop := context.WithCancel(ctx)
	go func() {
		defer close(shown)
		showColdStart(showing, c, client, request.ID)
	}()
	report := client.Execute(ctx, request, all, c.Bool("wait"))
	stop()
	<-shown
	return finishCommand(c, report, c.Bool("wait"))
}

// previewColdStart prints in which order instances would start.
func previewColdStart(c *cli.Command, r *quota.ColdStartCommand) error {
	s, err := coldstart.New(r.ID, *r.Config, r.Members)
	if err != nil {
		return unusable(err)
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	rows := [][]string{{"place", "instance", "host", "group", ""}}
	for i, m := range s.Members {
		word := ""
		if i < s.Essential {
			word = "the least of its group"
		}
		rows = append(rows, []string{strconv.Itoa(i + 1), string(m.Name), m.Host, string(m.Group), word})
	}
	printTable(rows)
	fmt.Printf(
		"%d at once to begin with, %d at the most; those that are up stay so\nnothing was done\n",
		r.Config.InitialConcurrent,
		r.Config.MaxConcurrent,
	)
	return nil
}

// showColdStart prints the progress of a cold start whenever it changes, until ctx ends.
func showColdStart(ctx context.Context, c *cli.Command, client *fleetclient.Client, id string) {
	if c.Bool("quiet") || c.Bool("json") || !c.Bool("wait") {
		return
	}
	for last := ""; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		b, err := client.Budgets(ctx)
		if err != nil {
			continue
		}
		for _, r := range b.ColdStarts {
			if r.ID != id {
				continue
			}
			if now := coldStartLine(&r); now != last {
				fmt.Fprintln(os.Stderr, now)
				last = now
			}
		}
	}
}

// coldStartLine describes the progress of a cold start in one line.
func coldStartLine(r *quota.ColdStartStatus) string {
	var sum coldstart.GroupStatus
	for _, g := range r.Groups {
		sum.Ready, sum.Starting, sum.Failed, sum.Waiting = sum.Ready+g.Ready, sum.Starting+g.Starting, sum.Failed+g.Failed, sum.Waiting+g.Waiting
	}
	line := fmt.Sprintf(
		"rise %s: %d warm, %d starting, %d waiting, %d failing; %d of %d at once (%s)",
		r.ID,
		sum.Ready,
		sum.Starting,
		sum.Waiting,
		sum.Failed,
		r.Concurrency,
		r.MaxConcurrent,
		r.Reason,
	)
	if r.HaltReason != "" {
		line += "; stopped: " + r.HaltReason
	}
	return line
}
