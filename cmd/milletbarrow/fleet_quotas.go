package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
)

func fleetQuotasCommand() *cli.Command {
	return &cli.Command{
		Name:  "quotas",
		Usage: "show who holds how much of the fleet's quotas, or write off a lost holder",
		Description: "Any agent forwards the request to the leader of the quota store. Examples:\n   milletbarrow fleet quotas --fleet fleet.sx\n" +
			"   milletbarrow fleet quotas --fleet fleet.sx --write-off n3     (its host is lost for good, its process runs no more)",
		Flags: []cli.Flag{fleetFlag(), jsonFlag(), &cli.StringFlag{
			Name:  "write-off",
			Usage: "release the leases of the holder with this `NAME`; its process must not be running",
		}},
		Action: showQuotas,
	}
}

// showQuotas prints the holders of each quota and their shares, or writes a lost holder off.
func showQuotas(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	if client.Spec.Quotas == nil {
		return usagef("%s: has no budgets", c.String("fleet"))
	}
	if name := c.String("write-off"); name != "" {
		if err := client.WriteOff(ctx, name); err != nil {
			return quotaCallError(err)
		}
		fmt.Printf("%s holds nothing any more\n", name)
		return nil
	}
	b, err := client.Budgets(ctx)
	if err != nil {
		return quotaCallError(err)
	}
	if c.Bool("json") {
		return printJSON(b)
	}
	printQuotas(&b)
	return nil
}

// quotaCallError says why a call about quotas failed: it was refused, or no agent that could answer was reached.
func quotaCallError(err error) error {
	if r, ok := errors.AsType[*agentapi.StatusError](err); ok && r.Status/100 == 4 {
		return unusable(err)
	}
	return &outcomeError{outcome: outcomeUnreachable, cause: err}
}

func printQuotas(b *agentapi.Budgets) {
	fmt.Printf("ledger: %s leads %v, term %d, terms of version %d\n", b.Leader, b.Members, b.Term, b.Version)
	if b.GrowthFrozen {
		fmt.Println("nothing grows now: shares may be in force that this ledger was made to forget")
	}
	rows := [][]string{{"budget", "holder", "host", "floor", "extra", "until", "wants", "drawn", "denied", "for"}}
	num := func(n int64) string { return strconv.FormatInt(n, 10) }
	for _, u := range b.Limits {
		unit := "/s"
		if u.Kind == quota.Concurrency {
			unit = ""
		}
		rows = append(
			rows,
			[]string{
				string(u.Limit),
				fmt.Sprintf("%d of %d%s", u.InForce, u.Total, unit),
				"",
				num(u.ReservedFloors),
				"",
				"",
				"",
				"",
				"",
				"",
			},
		)
		for _, h := range u.Holders {
			if u.Kind == quota.Concurrency {
				rows = append(rows, []string{"", string(h.Name), h.Host, "", "1", "", "", "", "", h.AcquireID})
				continue
			}
			until := "-"
			if h.Remaining > 0 {
				until = (time.Duration(h.Remaining) * time.Microsecond).Round(100 * time.Millisecond).String()
			}
			rows = append(
				rows,
				[]string{
					"",
					string(h.Name),
					h.Host,
					num(h.Floor),
					num(h.Extra),
					until,
					num(h.Demand),
					num(h.Drawn),
					num(h.Denied),
					"",
				},
			)
		}
	}
	printTable(rows)
	for _, r := range b.ColdStarts {
		fmt.Println(coldStartLine(&r))
	}
}
