package agent

import (
	"context"
	"net/http"
	"strings"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Cluster gives access to the state that the agents of a fleet share: the replicated quota store and the membership.
// It is implemented by cluster/node. Its methods may be called concurrently.
type Cluster interface {
	// Do sends a command to the leader, which applies it. After an error the command may or may not have been applied.
	Do(context.Context, quota.Command) (quota.Result, error)
	// Status returns the state of the quotas at the leader.
	Status(context.Context) (quota.Status, error)
	// SetConfig proposes a new configuration and the set of hosts that replicate the quota store.
	SetConfig(c *quota.Config, hosts []string)
	// Stage returns this agent's role in the quota store.
	Stage() string
	// Members returns the agents that this one considers alive.
	Members() []membership.Member
	// Events returns the channel of quota store events to be recorded in the history.
	Events() <-chan quota.Event
}

// Budgets returns the state of the quotas at the leader, and this agent's role in the quota store.
func (a *Agent) Budgets(ctx context.Context) (agentapi.Budgets, error) {
	if a.options.Cluster == nil {
		return agentapi.Budgets{}, errNoQuotas
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Bounds.CallTimeout)
	defer cancel()
	b := agentapi.Budgets{Host: a.options.Host, Stage: a.options.Cluster.Stage()}
	status, err := a.options.Cluster.Status(ctx)
	if err != nil {
		return b, unavailable(err.Error())
	}
	b.Status = status
	return b, nil
}

// WriteOff revokes the leases and permits of a holder in the quota store, at an operator's request. It returns a
// *WriteOffError if the quota store rejects the write-off; other errors are *agentapi.StatusError.
func (a *Agent) WriteOff(ctx context.Context, name, by string) error {
	command := &quota.WriteOffCommand{Name: quota.InstanceName(name), By: by}
	rejection, err := a.applyQuotaCommand(ctx, quota.Command{WriteOff: command})
	if err == nil && rejection != "" {
		return &WriteOffError{Holder: name, Reason: rejection}
	}
	return err
}

// ColdStart starts or changes a cold start of the fleet. Errors are *agentapi.StatusError.
func (a *Agent) ColdStart(ctx context.Context, c quota.ColdStartCommand) error {
	rejection, err := a.applyQuotaCommand(ctx, quota.Command{ColdStart: &c})
	if err == nil && rejection != "" {
		return &agentapi.StatusError{Status: http.StatusConflict, Text: rejection}
	}
	return err
}

// applyQuotaCommand sends a command to the leader. rejection is the reason why the quota store rejected the command;
// empty if it was applied.
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

// Members returns the agents that this one considers alive; nil without a cluster.
func (a *Agent) Members() []membership.Member {
	if a.options.Cluster == nil {
		return nil
	}
	return a.options.Cluster.Members()
}

// recordClusterEvents appends the pending events of the quota store to the history.
func (a *Agent) recordClusterEvents() {
	for {
		select {
		case event := <-a.options.Cluster.Events():
			err := a.call(func(now monotime.Micros) {
				a.addHistory(fleet.HistoryEvent{
					At:    now,
					Name:  event.Name,
					Event: strings.TrimSpace(string(event.Limit) + " " + event.Kind),
					Cause: event.Cause,
				})
			})
			if err != nil {
				return
			}
		default:
			return
		}
	}
}
