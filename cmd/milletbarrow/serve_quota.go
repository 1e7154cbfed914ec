package main

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agent"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/internal/config"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// quotaLogMode lets only the owner read the log of quota use.
const quotaLogMode = 0o600

// quotaConfig reads the assignment of tenants to fleet-wide quotas from the command line, and returns nil if there is
// none.
func quotaConfig(c *cli.Command, b *config.Backend) (*dispatch.QuotaConfig, error) {
	assignments := c.StringSlice("quota")
	if len(assignments) == 0 {
		return nil, nil
	}
	tenants, quotas, err := parseQuotas(assignments)
	if err != nil {
		return nil, err
	}
	clockDrift := c.Int("trial-clock") // parts per million
	self, err := process.Of(os.Getpid())
	if err != nil {
		return nil, err
	}
	cfg := &dispatch.QuotaConfig{
		BudgetByTenant: tenants,
		Holder:         quota.New(b.Name, agent.IncarnationID(self), quotas),
		MachineClock:   process.Now,
		Clock: func() monotime.Micros {
			now := process.Now()
			return now + now/1000*monotime.Micros(clockDrift)/1000
		},
	}
	if dir := c.String("stamps"); dir != "" {
		path := filepath.Join(dir, b.Name+"."+strconv.Itoa(os.Getpid()))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_EXCL, quotaLogMode)
		if err != nil {
			return nil, asUsageError(err)
		}
		cfg.Log = quotalog.New(file, process.Now(), clockDrift)
	}
	return cfg, nil
}

// parseQuotas parses assignments of the form QUOTA=TENANT, and returns the quota of each tenant and the quotas in
// order.
func parseQuotas(assignments []string) (tenants map[string]string, quotas []string, err error) {
	if len(assignments) > quota.MaxBudgets {
		return nil, nil, usagef("--quota: found %d quotas, expected at most %d", len(assignments), quota.MaxBudgets)
	}
	tenants = map[string]string{}
	for _, assignment := range assignments {
		name, tenant, ok := strings.Cut(assignment, "=")
		if _, duplicate := tenants[tenant]; !ok || name == "" || duplicate {
			return nil, nil, usagef("--quota: found %q, expected QUOTA=TENANT, each tenant once", assignment)
		}
		tenants[tenant] = name
		quotas = append(quotas, name)
	}
	return tenants, quotas, nil
}

// logQuotaUse logs the units drawn until ctx ends. The interval is short enough to audit short spans.
func logQuotaUse(ctx context.Context, dispatcher *dispatch.Dispatcher) {
	const interval = 20 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			dispatcher.LogQuotaUse()
		case <-ctx.Done():
			return
		}
	}
}
