package executor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
	"milletbarrow/monotime"
)

// connect runs a client of the executor until the test ends.
func connect(t *testing.T, executor *fakes.ScriptedExecutor) *Client {
	t.Helper()
	violations := ratelimitlog.New(time.Hour)
	client := New(executor.Address, limits.For(1, 192, 1024), violations, func(bool, monotime.Micros) {})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		fakes.Take(t, "the end of Run", ended)
	})
	return client
}

// connectSynced runs a client of the executor until the test ends, and waits until its first connection is synced and
// the first sample has arrived.
func connectSynced(t *testing.T, executor *fakes.ScriptedExecutor) *Client {
	t.Helper()
	client := connect(t, executor)
	fakes.Take(t, "the first connection", executor.Subscribes)
	fakes.Take(t, "the first sample", client.Samples())
	return client
}

// runID returns the ID of a run in the form that the protocol requires.
func runID(n int) string { return fmt.Sprintf("%016x", n) }

// launch starts a run and waits until the executor has read it.
func launch(tb testing.TB, client *Client, executor *fakes.ScriptedExecutor, id string) *Run {
	tb.Helper()
	run := client.Launch(id, "look", []byte("body"))
	fakes.Take(tb, "the launch", executor.Launches)
	return run
}

// runOnce launches a run, calls act, and adds a line with the run's outcome to a trace.
func runOnce(tr *fakes.Trace, client *Client, executor *fakes.ScriptedExecutor, id, label string, act func()) {
	run := launch(tr, client, executor, id)
	act()
	outcome := fakes.Take(tr, "the outcome of "+label, run.Done())
	tr.Say("%s: end %d, %d bytes %.12q, runs in flight %d",
		label, outcome.End, len(outcome.Result), outcome.Result, client.runsInFlight())
}

// Behaviours of the fake executor, as arguments of With.

func answerNoSample(_, gauges *string) { *gauges = "" }

func notReady(state, _ *string) { *state = "" }

func ready(state, _ *string) { *state = "hot 1" }
