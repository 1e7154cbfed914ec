package fleetclient

import (
	"context"
	"errors"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// HostError reports an agent that gave no answer that counts.
type HostError struct {
	Host string
	Err  error
}

func (e *HostError) Error() string { return e.Host + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HostError) Unwrap() error { return e.Err }

// askAny asks one agent after the other until one answers; they all forward to the same leader. An answer of a 4xx
// status is one; else the error joins a *HostError for each.
func (c *Client) askAny(ask func(*agentapi.Client) error) error {
	var errs []error
	for _, h := range c.Spec.Hosts {
		agent := c.agent(h.Name)
		err := ask(agent)
		agent.Close()
		if r, no := errors.AsType[*agentapi.StatusError](err); err == nil || no && r.Status/100 == 4 {
			return err
		}
		errs = append(errs, &HostError{Host: h.Name, Err: err})
	}
	return errors.Join(errs...)
}

// Budgets returns how the fleet's quotas stand.
func (c *Client) Budgets(ctx context.Context) (b agentapi.Budgets, err error) {
	err = c.askAny(func(agent *agentapi.Client) error {
		var err error
		b, err = agent.Budgets(ctx)
		return err
	})
	return b, err
}

// WriteOff declares that what a holder has of the quotas is in force no more.
func (c *Client) WriteOff(ctx context.Context, name string) error {
	return c.askAny(func(agent *agentapi.Client) error { return agent.WriteOff(ctx, name, c.Operator) })
}

// ColdStart begins a cold start at the quota leader, or resumes or ends one.
func (c *Client) ColdStart(ctx context.Context, r quota.ColdStartCommand) error {
	return c.askAny(func(agent *agentapi.Client) error { return agent.ColdStart(ctx, r) })
}

// HostMembers is one agent's view of the members, or why there is none.
type HostMembers struct {
	Host  string              `json:"host"`
	Error string              `json:"error,omitempty"`
	Seen  []membership.Member `json:"seen,omitempty"`
}

// Members asks every agent which members it sees.
func (c *Client) Members(ctx context.Context) []HostMembers {
	all, _ := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) (HostMembers, error) {
		agent := c.agent(h.Name)
		defer agent.Close()
		seen, err := agent.Members(ctx)
		if err != nil {
			return HostMembers{Host: h.Name, Error: err.Error()}, nil
		}
		return HostMembers{Host: h.Name, Seen: seen}, nil
	})
	return all
}
