package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// State is what fleet budgets tells, as far as a trial needs it.
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

func (g *Harness) budgets(ctx context.Context) *State {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	out, err := g.Tool(ctx, "budgets", "--json")
	var s State
	if err != nil || json.Unmarshal(out, &s) != nil || s.Leader == "" {
		return nil
	}
	return &s
}

// fullyGranted tells whether the quota store has all of each rate in force, and nothing of the count.
func (g *Harness) fullyGranted(ctx context.Context) bool {
	s := g.budgets(ctx)
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

// until waits for a condition.
func (g *Harness) until(ctx context.Context, most time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(most); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("no %s within %v", what, most)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (g *Harness) describeState(ctx context.Context) string {
	if s := g.budgets(ctx); s != nil {
		raw, _ := json.Marshal(s)
		return string(raw[:min(len(raw), 1500)])
	}
	return "no leader"
}
