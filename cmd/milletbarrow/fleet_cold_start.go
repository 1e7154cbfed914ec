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
		Description: "Running instances are not touched. The required minimum of each group starts first.\n" +
			"The limits are those of (cold-start ...) in the fleet's file. With the --id of a running cold start,\n" +
			"the command follows it. --decision go-on continues a halted cold start once its cause is removed.\n" +
			"--decision end lifts the limits; fleet cancel ID cancels the starts.\n\nExamples:\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --dry-run\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision go-on\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision end",
		Flags: append(
			selectionFlags(),
			&cli.StringFlag{Name: "decision", Usage: "a `DECISION` about the cold start of --id: go-on or end"},
		),
		Action: runColdStart,
	}
}

// runColdStart starts the stopped instances of a site, or with --decision decides on a halted cold start.
func runColdStart(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	if client.Spec.ColdStart == nil {
		return usagef("%s: (cold-start (quota COUNT)) is missing", c.String("fleet"))
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
		if rejected, ok := errors.AsType[*agentapi.StatusError](err); ok && rejectedRequest(rejected) {
			return quotaCallError(err)
		}
		fmt.Fprintf(os.Stderr, "quota store unreachable (%v): each host starts one instance at a time\n", err)
	}
	progressDone := make(chan struct{})
	progressContext, stop := context.WithCancel(ctx)
	go func() {
		defer close(progressDone)
		showColdStart(progressContext, c, client, request.ID)
	}()
	report := client.Execute(ctx, request, all, c.Bool("wait"))
	stop()
	<-progressDone
	return finishCommand(c, report, c.Bool("wait"))
}

// previewColdStart prints the order in which the instances would start.
func previewColdStart(c *cli.Command, r *quota.ColdStartCommand) error {
	s, err := coldstart.New(r.ID, *r.Config, r.Members)
	if err != nil {
		return asUsageError(err)
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	rows := [][]string{{"place", "instance", "host", "group", ""}}
	for i, m := range s.Members {
		reason := ""
		if i < s.Essential {
			reason = "required minimum of its group"
		}
		rows = append(rows, []string{strconv.Itoa(i + 1), string(m.Name), m.Host, string(m.Group), reason})
	}
	printTable(rows)
	fmt.Printf(
		"concurrent starts: %d initially, at most %d; running instances are not touched\nnothing was done\n",
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
		sum.Ready += g.Ready
		sum.Starting += g.Starting
		sum.Failed += g.Failed
		sum.Waiting += g.Waiting
	}
	line := fmt.Sprintf(
		"cold start %s: %d ready, %d starting, %d waiting, %d failed; %d of at most %d at once (%s)",
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
