package fleetclient

import (
	"context"
	"errors"
	"net/http"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// HostError reports a call to one host's agent that failed without a decision of the quota leader.
type HostError struct {
	Host string
	Err  error
}

// Error returns the host and the cause.
func (e *HostError) Error() string { return e.Host + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HostError) Unwrap() error { return e.Err }

// callAny calls the agents in turn until one succeeds or rejects the call with a 4xx status: every agent forwards the
// call to the same quota leader. If no agent does, the error joins a *HostError for each host.
func (c *Client) callAny(call func(*agentapi.Client) error) error {
	var errs []error
	for _, host := range c.Spec.Hosts {
		agent := c.agent(host.Name)
		err := call(agent)
		agent.Close()
		if err == nil || isRejection(err) {
			return err
		}
		errs = append(errs, &HostError{Host: host.Name, Err: err})
	}
	return errors.Join(errs...)
}

// isRejection reports whether an error is a response with a 4xx status.
func isRejection(err error) bool {
	response, ok := errors.AsType[*agentapi.StatusError](err)
	return ok && response.Status >= http.StatusBadRequest && response.Status < http.StatusInternalServerError
}

// Budgets returns the state of the fleet's quotas.
func (c *Client) Budgets(ctx context.Context) (agentapi.Budgets, error) {
	var budgets agentapi.Budgets
	err := c.callAny(func(agent *agentapi.Client) error {
		var err error
		budgets, err = agent.Budgets(ctx)
		return err
	})
	return budgets, err
}

// WriteOff declares that a holder no longer uses any of its quota leases and permits.
func (c *Client) WriteOff(ctx context.Context, name string) error {
	return c.callAny(func(agent *agentapi.Client) error { return agent.WriteOff(ctx, name, c.Operator) })
}

// ColdStart sends a command that starts, resumes or ends a cold start to the quota leader.
func (c *Client) ColdStart(ctx context.Context, command quota.ColdStartCommand) error {
	return c.callAny(func(agent *agentapi.Client) error { return agent.ColdStart(ctx, command) })
}

// HostMembers is one agent's view of the cluster members, or the error of the query.
type HostMembers struct {
	Host  string              `json:"host"`
	Error string              `json:"error,omitempty"`
	Seen  []membership.Member `json:"seen,omitempty"`
}

// Members queries every agent's view of the cluster members. A host whose query fails is in the list with its error.
func (c *Client) Members(ctx context.Context) []HostMembers {
	query := func(ctx context.Context, host fleet.HostSpec) (HostMembers, error) {
		agent := c.agent(host.Name)
		defer agent.Close()
		seen, err := agent.Members(ctx)
		if err != nil {
			return HostMembers{Host: host.Name, Error: err.Error()}, nil
		}
		return HostMembers{Host: host.Name, Seen: seen}, nil
	}
	members, _ := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, query)
	return members
}
