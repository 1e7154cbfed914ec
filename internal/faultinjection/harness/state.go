package harness

import (
	"context"
	"encoding/json"
	"time"
)

// State holds the fields of fleet quotas --json that a trial needs.
type State struct {
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Version int    `json:"version"`
	Quotas  []struct {
		Name    string `json:"budget"`
		Kind    string `json:"kind"`
		Total   int64  `json:"whole"`
		InForce int64  `json:"in_force"`
		Holders []struct {
			Name  string `json:"name"`
			Host  string `json:"host"`
			Extra int64  `json:"extra"`
		} `json:"holders"`
	} `json:"budgets"`
}

// quotaState returns the state of the quota store, or nil if it does not answer or has no leader.
func (harness *Harness) quotaState(ctx context.Context) *State {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	out, err := harness.Tool(ctx, "quotas", "--json")
	var s State
	if err != nil || json.Unmarshal(out, &s) != nil || s.Leader == "" {
		return nil
	}
	return &s
}

// fullyGranted reports whether every rate quota is fully granted and no unit of a count quota is in use.
func (harness *Harness) fullyGranted(ctx context.Context) bool {
	s := harness.quotaState(ctx)
	if s == nil {
		return false
	}
	for _, quota := range s.Quotas {
		if quota.Kind == "rate" && quota.InForce < quota.Total || quota.Kind == "count" && quota.InForce > 0 {
			return false
		}
	}
	return true
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 100 * time.Millisecond

// waitFor waits until a condition is true. The error is a *WaitError, even if the context ends first.
func (harness *Harness) waitFor(ctx context.Context, limit time.Duration, condition string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return &WaitError{condition, limit}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// describeState returns the state of the quota store as JSON, truncated, for the reasons of a verdict.
func (harness *Harness) describeState(ctx context.Context) string {
	if s := harness.quotaState(ctx); s != nil {
		raw, _ := json.Marshal(s)
		return string(raw[:min(len(raw), 1500)])
	}
	return "no leader"
}
