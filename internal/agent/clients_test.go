package agent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// TestConcurrentClientsShareCommand checks over the agent's socket that two clients that submit the same command get
// one command, that a client that follows it and reconnects receives every history entry once, and that invalid
// requests are rejected.
func TestConcurrentClientsShareCommand(t *testing.T) {
	trace := fakes.NewTrace(t)
	h := newTestHost(t, "a", "b")
	h.startAgent(nil)
	bounds := limits.ForControl()
	address := "unix:" + h.dir + "/a.sock"
	l, err := agentapi.Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = agentapi.Serve(ctx, l, h.agent, bounds) }()
	clients := agentapi.NewClientFactory(bounds, 1)
	client := clients.Client(address)
	defer client.Close()

	submitTwice(t, client, h.names)
	command := followWithReconnects(t, client, "same")
	trace.Say("%s: %d commands, results %s %s",
		command.State, len(h.agent.Commands()), command.Results["a"].Outcome, command.Results["b"].Outcome)
	traceRejections(t, trace, client, h.names)

	_, err = clients.Client("unix:" + h.dir + "/none.sock").Status(ctx)
	_, unreachable := errors.AsType[*agentapi.UnreachableError](err)
	trace.Say("no agent listens: unreachable %t", unreachable)

	raw := jsonhttp.Client(address, bounds)
	for _, test := range []struct {
		name   string
		path   string
		body   any
		status int
	}{
		{"unknown version", "/v2/commands", nil, http.StatusNotFound},
		{"unknown field", "/v1/commands", map[string]any{"id": "x", "weight": 3}, http.StatusBadRequest},
	} {
		err := jsonhttp.Call(ctx, raw, http.MethodPost, test.path, test.body, nil, 0)
		if status, ok := errors.AsType[*jsonhttp.StatusError](err); !ok || status.Code != test.status {
			t.Errorf("%s: %v, want status %d", test.name, err, test.status)
		}
	}
	if _, err := agentapi.Listen(t.Context(), address); err == nil {
		t.Error("a second agent can listen on the same address")
	}
}

// submitTwice submits the command "same" concurrently for two requesters.
func submitTwice(t *testing.T, client *agentapi.Client, names []string) {
	t.Helper()
	request := func(by string) agentapi.CommandRequest {
		return agentapi.CommandRequest{
			ID:            "same",
			Kind:          fleet.KindStart,
			Instances:     names,
			RequestedBy:   by,
			TimeoutMicros: (30 * time.Second).Microseconds(),
		}
	}
	first, second := request("one"), request("two")
	second.RequestedUnixMicros = time.Now().Add(-time.Hour).UnixMicro() // this requester's wall clock is wrong
	var submits sync.WaitGroup
	for _, r := range []agentapi.CommandRequest{first, second} {
		submits.Go(func() {
			if _, err := client.Submit(t.Context(), r); err != nil {
				t.Errorf("%s: %v", r.RequestedBy, err)
			}
		})
	}
	submits.Wait()
}

// followWithReconnects follows a command to its end and reconnects after each history entry. It fails the test unless
// each entry arrives once and in order.
func followWithReconnects(t *testing.T, client *agentapi.Client, id string) *fleet.Command {
	t.Helper()
	var serials []uint64
	after := uint64(0)
	var ended *fleet.Command
	for ended == nil {
		err := client.Follow(t.Context(), id, after, func(event agentapi.StreamEvent) bool {
			if event.Entry != nil {
				after = event.Serial
				serials = append(serials, after)
				return false
			}
			ended = event.Command
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !slices.IsSorted(serials) || len(slices.Compact(slices.Clone(serials))) != len(serials) {
		t.Errorf("entries arrived out of order or more than once: %v", serials)
	}
	return ended
}

// traceRejections submits invalid requests and adds the errors to a trace. The command "same" must have ended.
func traceRejections(t *testing.T, trace *fakes.Trace, client *agentapi.Client, names []string) {
	t.Helper()
	const timeout = 1_000_000
	for _, request := range []agentapi.CommandRequest{
		{ID: "same", Kind: fleet.KindDrain, Instances: names, TimeoutMicros: timeout},
		{ID: "x", Kind: "dance", Instances: names, TimeoutMicros: timeout},
		{ID: "x", Kind: fleet.KindDrain, Instances: []string{"z"}, TimeoutMicros: timeout},
		{ID: "x", Kind: fleet.KindDrain, Instances: names},
		{ID: "../x", Kind: fleet.KindDrain, Instances: names, TimeoutMicros: timeout},
		{ID: "x", Kind: fleet.KindRollingUpdate, Instances: names, TimeoutMicros: timeout},
	} {
		_, err := client.Submit(t.Context(), request)
		trace.Say("%v", err)
	}
	_, err := client.Command(t.Context(), "nothing")
	trace.Say("%v", err)
	_, err = client.Steer(t.Context(), "same", "pause", "test")
	trace.Say("%v", err)
}
