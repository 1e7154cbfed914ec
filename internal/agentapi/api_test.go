package agentapi

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// TestClientMethodsPassArgumentsAndResults checks that each client method calls the corresponding method of the
// manager with its arguments and returns its result.
func TestClientMethodsPassArgumentsAndResults(t *testing.T) {
	m := newFakeManager()
	m.commands["a/b c"] = &fleet.Command{ID: "a/b c"}
	address, _ := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	ctx := t.Context()
	if s, err := c.Status(ctx); err != nil || s.Host != "h1" || s.LastSerial != 7 {
		t.Errorf("status: %+v %v", s, err)
	}
	request := CommandRequest{
		ID:            "c1",
		Kind:          fleet.KindDrain,
		Instances:     []string{"a"},
		RequestedBy:   "me",
		TimeoutMicros: 5,
		Immediate:     true,
	}
	if got, err := c.Submit(ctx, request); err != nil || got.ID != "c1" || got.Kind != fleet.KindDrain {
		t.Errorf("submit: %+v %v", got, err)
	}
	if diff := cmp.Diff([]CommandRequest{request}, m.requests); diff != "" {
		t.Error(diff)
	}
	if got, err := c.Command(ctx, "a/b c"); err != nil || got.ID != "a/b c" {
		t.Errorf("command: %+v %v", got, err)
	}
	if _, err := c.Command(ctx, "none"); !errors.Is(err, fleet.ErrUnknownCommand) {
		t.Errorf("unknown command: %v", err)
	}
	if all, err := c.Commands(ctx); err != nil || len(all) != 2 || all[0].ID != "c2" {
		t.Errorf("commands: %+v %v", all, err)
	}
	if _, err := c.Steer(ctx, "c?1", "pause", "me & you"); err != nil {
		t.Errorf("steer: %v", err)
	}
	if all, err := c.History(ctx, 3, 9); err != nil || len(all) != 1 || all[0].Serial != 4 {
		t.Errorf("history: %+v %v", all, err)
	}
	if b, err := c.Budgets(ctx); err != nil || b.Host != "h1" || b.Stage != "leads" {
		t.Errorf("budgets: %+v %v", b, err)
	}
	if all, err := c.Members(ctx); err != nil || len(all) != 1 {
		t.Errorf("members: %+v %v", all, err)
	}
	if err := c.WriteOff(ctx, "n/1", "me"); err != nil {
		t.Errorf("write off: %v", err)
	}
	if err := c.ColdStart(ctx, quota.ColdStartCommand{}); err != nil {
		t.Errorf("cold start: %v", err)
	}
	wantCalls := []string{
		"steer c?1 pause me & you",
		"history 3 9",
		"budgets",
		"write off n/1 me",
		fmt.Sprintf("cold start %+v", quota.ColdStartCommand{}),
	}
	if diff := cmp.Diff(wantCalls, m.calls); diff != "" {
		t.Error(diff)
	}
}
