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
		Name: "cold-start", Usage: "bring a site up again: what is down starts at the pace that what comes back allows",
		ArgsUsage: "[instance ...]",
		Description: "What serves stays as it is. The least of each group comes first; terms are those of (rise ...) in the file. Given again with the\n" +
			"same --id it joins what goes on, whichever tool began it.\n\nExamples:\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --dry-run\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision go-on     (after it stopped, once its cause is mended)\n" +
			"   milletbarrow fleet cold-start --fleet fleet.sx --all --id ID --decision end       (nobody is held back any more; fleet cancel ID ends the starts)",
		Flags:  append(selectionFlags(), &cli.StringFlag{Name: "decision", Usage: "a `WORD` about the rise of --id: go-on or end"}),
		Action: runColdStart,
	}
}

func runColdStart(ctx context.Context, c *cli.Command) error {
	t, err := tool(c)
	if err != nil {
		return err
	}
	if t.Spec.ColdStart == nil {
		return usagef("%s: has no (rise (budget COUNT))", c.String("fleet"))
	}
	all, err := selected(c, t)
	if err != nil {
		return err
	}
	o, err := orderOf(c, t, fleet.KindColdStart)
	if err != nil {
		return err
	}
	o.Budget = t.Spec.ColdStartQuota
	r := quota.ColdStartCommand{Limit: o.Budget, ID: o.ID, By: t.Operator, Action: c.String("decision")}
	if r.Action != "" {
		if err := t.ColdStart(ctx, r); err != nil {
			return budgetsFailed(err)
		}
		fmt.Printf("%s: %s\n", o.ID, r.Action)
		return nil
	}
	r.Config = t.Spec.ColdStart
	for _, in := range all {
		r.Members = append(r.Members, coldstart.Member{Name: in.Name, Group: in.Group, Host: in.Host})
	}
	if c.Bool("dry-run") {
		return previewRise(c, &r)
	}
	ctx, cancel := patience(ctx, o)
	defer cancel()
	if err := t.ColdStart(ctx, r); err != nil {
		if no, ok := errors.AsType[*agentapi.StatusError](err); ok && no.Status/100 == 4 {
			return budgetsFailed(err)
		}
		fmt.Fprintf(os.Stderr, "the ledger can't be reached (%v): each host goes on by one start at a time\n", err)
	}
	shown := make(chan struct{})
	showing, stop := context.WithCancel(ctx)
	go func() {
		defer close(shown)
		showRise(showing, c, t, o.ID)
	}()
	report := t.Execute(ctx, o, all, c.Bool("wait"))
	stop()
	<-shown
	return finish(c, report, c.Bool("wait"))
}

// previewRise prints who would come first.
func previewRise(c *cli.Command, r *quota.ColdStartCommand) error {
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
		rows = append(rows, []string{strconv.Itoa(i + 1), m.Name, m.Host, m.Group, word})
	}
	table(rows)
	fmt.Printf("%d at once to begin with, %d at the most; those that are up stay so\nnothing was done\n", r.Config.InitialConcurrent, r.Config.MaxConcurrent)
	return nil
}

// showRise tells how a rise stands whenever that changes.
func showRise(ctx context.Context, c *cli.Command, t *fleetclient.Client, id string) {
	if c.Bool("quiet") || c.Bool("json") || !c.Bool("wait") {
		return
	}
	for last := ""; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		b, err := t.Budgets(ctx)
		if err != nil {
			continue
		}
		for _, r := range b.ColdStarts {
			if r.ID != id {
				continue
			}
			if now := riseLine(&r); now != last {
				fmt.Fprintln(os.Stderr, now)
				last = now
			}
		}
	}
}

// riseLine is one rise in a line.
func riseLine(r *quota.ColdStartStatus) string {
	var sum coldstart.GroupStatus
	for _, g := range r.Groups {
		sum.Ready, sum.Starting, sum.Failed, sum.Waiting = sum.Ready+g.Ready, sum.Starting+g.Starting, sum.Failed+g.Failed, sum.Waiting+g.Waiting
	}
	line := fmt.Sprintf("rise %s: %d warm, %d starting, %d waiting, %d failing; %d of %d at once (%s)", r.ID, sum.Ready, sum.Starting, sum.Waiting, sum.Failed, r.Concurrency, r.MaxConcurrent, r.Reason)
	if r.HaltReason != "" {
		line += "; stopped: " + r.HaltReason
	}
	return line
}
