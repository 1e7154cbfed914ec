package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
)

func fleetQuotasCommand() *cli.Command {
	return &cli.Command{
		Name:  "quotas",
		Usage: "show the holders of the fleet's quotas and their shares, or write off a lost holder",
		Description: "Any agent forwards the request to the leader of the quota store. Examples:\n" +
			"   milletbarrow fleet quotas --fleet fleet.sx\n" +
			"   milletbarrow fleet quotas --fleet fleet.sx --write-off n3     (its host is lost for good,\n" +
			"                                                                 its process runs no more)",
		Flags: []cli.Flag{fleetFlag(), jsonFlag(), &cli.StringFlag{
			Name:  "write-off",
			Usage: "release the leases of the holder with this `NAME`; its process must not be running",
		}},
		Action: showQuotas,
	}
}

// showQuotas prints the holders of each quota and their shares, or writes off a lost holder.
func showQuotas(ctx context.Context, c *cli.Command) error {
	client, err := newFleetClient(c)
	if err != nil {
		return err
	}
	if client.Spec.Quotas == nil {
		return usagef("%s: the fleet has no quotas", c.String("fleet"))
	}
	if name := c.String("write-off"); name != "" {
		if err := client.WriteOff(ctx, name); err != nil {
			return quotaCallError(err)
		}
		fmt.Printf("%s: all leases are released\n", name)
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

// quotaCallError classifies the error of a quota call: rejected by an agent, or no agent reachable.
func quotaCallError(err error) error {
	if r, ok := errors.AsType[*agentapi.StatusError](err); ok && rejectedRequest(r) {
		return asUsageError(err)
	}
	return &outcomeError{outcome: outcomeUnreachable, cause: err}
}

// rejectedRequest reports whether an agent rejected a request as invalid (HTTP status 4xx).
func rejectedRequest(e *agentapi.StatusError) bool {
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

// printQuotas prints the leader, then each quota with its holders, then the cold starts.
func printQuotas(b *agentapi.Budgets) {
	fmt.Printf(
		"quota store: leader %s, members %v, term %d, config version %d\n",
		b.Leader,
		b.Members,
		b.Term,
		b.Version,
	)
	if b.GrowthFrozen {
		fmt.Println("grants do not grow: leases that the quota store has lost may still be in force")
	}
	rows := [][]string{{
		"quota", "holder", "host", "floor", "extra", "expires in", "demand", "drawn", "denied", "acquisition",
	}}
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
				strconv.FormatInt(u.ReservedFloors, 10),
				"",
				"",
				"",
				"",
				"",
				"",
			},
		)
		for _, h := range u.Holders {
			rows = append(rows, holderRow(u.Kind, &h))
		}
	}
	printTable(rows)
	for _, r := range b.ColdStarts {
		fmt.Println(coldStartLine(&r))
	}
}

// holderRow returns the row of one holder of a quota.
func holderRow(kind quota.Kind, h *quota.HolderUsage) []string {
	if kind == quota.Concurrency {
		return []string{"", string(h.Name), h.Host, "", "1", "", "", "", "", h.AcquireID}
	}
	decimal := func(n int64) string { return strconv.FormatInt(n, 10) }
	expiresIn := "-"
	if h.Remaining > 0 {
		expiresIn = (time.Duration(h.Remaining) * time.Microsecond).Round(printedResolution).String()
	}
	return []string{
		"",
		string(h.Name),
		h.Host,
		decimal(h.Floor),
		decimal(h.Extra),
		expiresIn,
		decimal(h.Demand),
		decimal(h.Drawn),
		decimal(h.Denied),
		"",
	}
}
