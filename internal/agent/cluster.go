package agent

import (
	"context"
	"net/http"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
)

// Cluster is what the agents of a fleet share: the replicated quota store and the membership. cluster/node implements
// it. Its methods may be called from any goroutine.
type Cluster interface {
	// Do has the leader apply a command. After an error it may or may not have been applied.
	Do(context.Context, quota.Command) (quota.Result, error)
	// Status asks the leader how the quotas stand.
	Status(context.Context) (quota.Status, error)
	// SetConfig proposes a changed configuration and the hosts that keep the quota store.
	SetConfig(*quota.Config, []string)
	// Stage says how this agent takes part in the quota store.
	Stage() string
	Members() []membership.Member
	// Events are to be written into the history.
	Events() <-chan quota.Event
}

// Budgets asks the leader how the quotas stand.
func (a *Agent) Budgets(ctx context.Context) (agentapi.Budgets, error) {
	if a.options.Cluster == nil {
		return agentapi.Budgets{}, errNoQuotas
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Bounds.CallTimeout)
	defer cancel()
	b := agentapi.Budgets{Host: a.options.Host, Stage: a.options.Cluster.Stage()}
	var err error
	if b.Status, err = a.options.Cluster.Status(ctx); err != nil {
		return b, unavailable(err.Error())
	}
	return b, nil
}

// WriteOff has the quota store end what a name holds, on an operator's command. Errors are *agentapi.StatusError and, where
// the quota store rejects it, *WriteOffError.
func (a *Agent) WriteOff(ctx context.Context, name, by string) error {
	command := &quota.WriteOffCommand{Name: quota.InstanceName(name), By: by}
	rejection, err := a.applyQuotaCommand(ctx, quota.Command{WriteOff: command})
	if err == nil && rejection != "" {
		return &WriteOffError{Holder: name, Reason: rejection}
	}
	return err
}

// Rise begins or changes a cold start of the fleet.
func (a *Agent) Rise(ctx context.Context, c quota.ColdStartCommand) error {
	rejection, err := a.applyQuotaCommand(ctx, quota.Command{ColdStart: &c})
	if err == nil && rejection != "" {
		return &agentapi.StatusError{Status: http.StatusConflict, Text: rejection}
	}
	return err
}

// applyQuotaCommand has the leader apply a command and returns why it was rejected; empty: it was not.
func (a *Agent) applyQuotaCommand(ctx context.Context, c quota.Command) (rejection string, err error) {
	if a.options.Cluster == nil {
		return "", errNoQuotas
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Bounds.CallTimeout)
	defer cancel()
	result, err := a.options.Cluster.Do(ctx, c)
	if err != nil {
		return "", unavailable(err.Error())
	}
	return result.Rejection, nil
}

// Members returns the agents that this one believes to be alive; nil without a cluster.
func (a *Agent) Members() []membership.Member {
	if a.options.Cluster == nil {
		return nil
	}
	return a.options.Cluster.Members()
}
