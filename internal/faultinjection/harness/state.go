package harness

import (
	"context"
	"encoding/json"
	"time"
)

// State is what fleet quotas prints, as far as a trial needs it.
type State struct {
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Version int    `json:"version"`
	Budgets []struct {
		Budget  string `json:"budget"`
		Kind    string `json:"kind"`
		Whole   int64  `json:"whole"`
		InForce int64  `json:"in_force"`
		Holders []struct {
			Name  string `json:"name"`
			Host  string `json:"host"`
			Extra int64  `json:"extra"`
		} `json:"holders"`
	} `json:"budgets"`
}

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

// fullyGranted reports whether the quota store has all of each rate in force, and nothing of the count.
func (harness *Harness) fullyGranted(ctx context.Context) bool {
	s := harness.quotaState(ctx)
	if s == nil {
		return false
	}
	for _, b := range s.Budgets {
		if b.Kind == "rate" && b.InForce < b.Whole || b.Kind == "count" && b.InForce > 0 {
			return false
		}
	}
	return true
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 100 * time.Millisecond

// waitFor waits until a condition is true. The error is a *WaitError, also where the context ends first.
func (harness *Harness) waitFor(ctx context.Context, limit time.Duration, condition string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return &WaitError{condition, limit}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// pause waits for a span, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (harness *Harness) describeState(ctx context.Context) string {
	if s := harness.quotaState(ctx); s != nil {
		raw, _ := json.Marshal(s)
		return string(raw[:min(len(raw), 1500)])
	}
	return "no leader"
}
