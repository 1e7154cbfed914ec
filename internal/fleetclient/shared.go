package fleetclient

import (
	"context"
	"errors"
	"fmt"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// any asks one agent after the other until one answers; they all hand on to the same leader.
func (t *Client) any(ctx context.Context, ask func(*agentapi.Client) error) error {
	var errs []error
	for _, h := range t.Spec.Hosts {
		c := t.client(h.Name)
		err := ask(c)
		c.Close()
		if r, no := errors.AsType[*agentapi.StatusError](err); err == nil || no && r.Status/100 == 4 {
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", h.Name, err))
	}
	return errors.Join(errs...)
}

// Budgets asks how the fleet's budgets stand.
func (t *Client) Budgets(ctx context.Context) (b agentapi.Budgets, err error) {
	return b, t.any(ctx, func(c *agentapi.Client) (err error) { b, err = c.Budgets(ctx); return err })
}

// WriteOff says that what a name has of budgets is in force no more.
func (t *Client) WriteOff(ctx context.Context, name string) error {
	return t.any(ctx, func(c *agentapi.Client) error { return c.WriteOff(ctx, name, t.Operator) })
}

// ColdStart begins a rise at the ledger, or says a word about one.
func (t *Client) ColdStart(ctx context.Context, r quota.ColdStartCommand) error {
	return t.any(ctx, func(c *agentapi.Client) error { return c.Rise(ctx, r) })
}

// HostMembers is one agent's judgement of all, or why there is none.
type HostMembers struct {
	Host  string              `json:"host"`
	Error string              `json:"error,omitempty"`
	Seen  []membership.Member `json:"seen,omitempty"`
}

// Members asks every agent whom it thinks to be there.
func (t *Client) Members(ctx context.Context) []HostMembers {
	all, _ := agentapi.FanOut(ctx, t.Bounds, t.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) (HostMembers, error) {
		c := t.client(h.Name)
		defer c.Close()
		seen, err := c.Members(ctx)
		if err != nil {
			return HostMembers{Host: h.Name, Error: err.Error()}, nil
		}
		return HostMembers{Host: h.Name, Seen: seen}, nil
	})
	return all
}
