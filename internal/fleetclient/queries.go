package fleetclient

import (
	"cmp"
	"context"
	"slices"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// HostStatus is an agent's state, or why there is none.
type HostStatus struct {
	Host   string           `json:"host"`
	Error  string           `json:"error,omitempty"`
	Status *agentapi.Status `json:"status,omitempty"`
}

// Status asks all hosts; one that gives no answer is in the list with its error.
func (c *Client) Status(ctx context.Context) []HostStatus {
	all, _ := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) (HostStatus, error) {
		agent := c.agent(h.Name)
		defer agent.Close()
		s, err := agent.Status(ctx)
		if err != nil {
			return HostStatus{Host: h.Name, Error: err.Error()}, nil
		}
		return HostStatus{Host: h.Name, Status: &s}, nil
	})
	return all
}

// Entry is a line of history with its host.
type Entry struct {
	Host string `json:"host"`
	agentapi.StreamEvent
}

// History returns the latest entries of all hosts' histories that keep selects, at most so many, in the order of their
// wall clocks, which may differ between hosts. Hosts that gave no answer are in missing with their error.
func (c *Client) History(ctx context.Context, most int, keep func(Entry) bool) (all []Entry, missing map[string]string) {
	missing = map[string]string{}
	parts, errs := agentapi.FanOut(ctx, c.Bounds, c.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) ([]Entry, error) {
		agent := c.agent(h.Name)
		defer agent.Close()
		lines, err := agent.History(ctx, 0, most)
		var part []Entry
		for _, e := range lines {
			if entry := (Entry{h.Name, agentapi.StreamEvent{Entry: &e, Serial: e.Serial}}); keep(entry) {
				part = append(part, entry)
			}
		}
		return part, err
	})
	for i, h := range c.Spec.Hosts {
		if errs[i] != nil {
			missing[h.Name] = errs[i].Error()
		}
		all = append(all, parts[i]...)
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.Entry.UnixMicros, b.Entry.UnixMicros) })
	return all[max(0, len(all)-most):], missing
}
