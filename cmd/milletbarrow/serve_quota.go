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
)

// quotaConfig reads from the command line which tenants draw from which fleet-wide quotas; nil where none does.
func quotaConfig(c *cli.Command, b *config.Backend) (*dispatch.QuotaConfig, error) {
	words := c.StringSlice("quota")
	if len(words) == 0 {
		return nil, nil
	}
	if len(words) > quota.MaxBudgets {
		return nil, usagef("--quota: %d budgets, at most %d can be drawn from", len(words), quota.MaxBudgets)
	}
	s := &dispatch.QuotaConfig{Tenants: map[string]string{}, MachineClock: process.Now}
	var budgets []string
	for _, w := range words {
		budget, tenant, ok := strings.Cut(w, "=")
		if _, twice := s.Tenants[tenant]; !ok || budget == "" || twice {
			return nil, usagef("--quota: found %q, wanted BUDGET=TENANT, each tenant once", w)
		}
		s.Tenants[tenant] = budget
		budgets = append(budgets, budget)
	}
	ppm := c.Int("trial-clock")
	s.Clock = func() quota.Micros {
		now := process.Now()
		return quota.Micros(now + now/1000*int64(ppm)/1000)
	}
	me, err := process.Of(os.Getpid())
	if err != nil {
		return nil, err
	}
	s.Holder = quota.New(b.Name, agent.IncarnationID(me), budgets)
	if dir := c.String("stamps"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, b.Name+"."+strconv.Itoa(os.Getpid())), os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o600)
		if err != nil {
			return nil, unusable(err)
		}
		s.Log = quotalog.New(f, process.Now(), ppm)
	}
	return s, nil
}

// logQuotaUse writes down what is drawn, often enough for an audit of short spans, until ctx ends.
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
