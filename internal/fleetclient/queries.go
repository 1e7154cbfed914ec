package fleetclient

import (
	"cmp"
	"context"
	"slices"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// HostStatus is the status of one host's agent, or the error of the query.
type HostStatus struct {
	Host   string           `json:"host"`
	Error  string           `json:"error,omitempty"`
	Status *agentapi.Status `json:"status,omitempty"`
}

// Status queries the agents of all hosts. A host whose query fails is in the list with its error.
func (c *Client) Status(ctx context.Context) []HostStatus {
	query := func(ctx context.Context, host fleet.HostSpec) (HostStatus, error) {
		agent := c.agent(host.Name)
		defer agent.Close()
		status, err := agent.Status(ctx)
		if err != nil {
			return HostStatus{Host: host.Name, Error: err.Error()}, nil
		}
		return HostStatus{Host: host.Name, Status: &status}, nil
	}
	statuses, _ := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, query)
	return statuses
}

// Entry is an entry of one host's history.
type Entry struct {
	Host string `json:"host"`
	agentapi.StreamEvent
}

// History returns the latest entries of all hosts' histories for which keep returns true, at most limit of them, in the
// order of their wall-clock times, which may differ between hosts. It returns the errors of failed queries by host.
func (c *Client) History(
	ctx context.Context, limit int, keep func(Entry) bool,
) (entries []Entry, errorsByHost map[string]string) {
	query := func(ctx context.Context, host fleet.HostSpec) ([]Entry, error) {
		agent := c.agent(host.Name)
		defer agent.Close()
		history, err := agent.History(ctx, 0, limit)
		var kept []Entry
		for _, event := range history {
			entry := Entry{
				Host:        host.Name,
				StreamEvent: agentapi.StreamEvent{Entry: &event, Serial: event.Serial},
			}
			if keep(entry) {
				kept = append(kept, entry)
			}
		}
		return kept, err
	}
	histories, errs := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, query)
	errorsByHost = map[string]string{}
	for i, host := range c.Spec.Hosts {
		if errs[i] != nil {
			errorsByHost[host.Name] = errs[i].Error()
		}
		entries = append(entries, histories[i]...)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Entry.UnixMicros, b.Entry.UnixMicros) })
	return entries[max(0, len(entries)-limit):], errorsByHost
}
