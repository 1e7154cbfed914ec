package executor

import (
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// The outcomes of runs that ended without a connection arrive on the next one, once each, and launches that the
// executor has not read are sent there.
func TestRunsSurviveLostConnection(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connect(t, executor)
	tr.Say("subscribe %d", fakes.Take(t, "the first connection", executor.Subscribes))
	fakes.Until(t, "the connection is synced", client.Available)
	first := launch(t, client, executor, runID(0xa1))
	second := launch(t, client, executor, runID(0xa2))
	executor.End(runID(0xa1), "complete", "first")
	tr.Say("%q", fakes.Take(t, "the first outcome", first.Done()).Result)
	executor.Cut()
	executor.End(runID(0xa2), "complete", "second")
	tr.Say("%q", fakes.Take(t, "the second outcome", second.Done()).Result)
	tr.Say("subscribe %d", fakes.Take(t, "the second connection", executor.Subscribes))

	executor.With(notReady)
	executor.Cut()
	tr.Say("available after a short loss: %t", client.Available())
	fakes.Until(t, "the loss is longer than ExecutorAbsence", func() bool { return !client.Available() })
	third := client.Launch(runID(0xa3), "look", nil)
	tr.Say("subscribe %d, the executor is not ready", fakes.Take(t, "the third connection", executor.Subscribes))
	executor.With(ready)
	tr.Say("launched once it is: %+v", fakes.Take(t, "the launch", executor.Launches))
	executor.End(runID(0xa3), "complete", "third")
	result := fakes.Take(t, "the third outcome", third.Done()).Result
	tr.Say("%q, runs in flight %d", result, client.runsInFlight())
}

// Connections break within a notice or a result, with commands unread, or before the greeting; notices arrive twice
// under one number, with remarks between. Each run ends once, with its own result.
func TestRunsEndOnceDespiteBrokenConnectionsAndRepeatedNotices(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	id := func(n int) string { return runID(0xc0 + n) }
	runOnce(tr, client, executor, id(1), "cut within its notice", func() {
		executor.Send("outcome 1 " + id(1) + " comp")
		executor.Cut()
		executor.End(id(1), "complete", "first")
	})
	runOnce(tr, client, executor, id(2), "cut within its result", func() {
		executor.Send("outcome 2 " + id(2) + " complete 3 6\r\nsec")
		executor.Cut()
		executor.End(id(2), "complete", "second")
	})
	other := launch(t, client, executor, id(9))
	runOnce(tr, client, executor, id(3), "repeated, with remarks", func() {
		executor.End(id(3), "complete", "third")
		executor.Notice("aside %d between\r\n")
		executor.Send("outcome 3 " + id(9) + " complete 3 5\r\nwrong\r\naside 4 between\r\naside 4 between\r\n")
	})
	runOnce(tr, client, executor, id(4), "its launch unread", func() {
		executor.Forget(id(4))
		executor.Cut()
		tr.Say("launched again: %v", fakes.Take(t, "the launch", executor.Launches))
		executor.End(id(4), "complete", "fourth")
	})
	runOnce(tr, client, executor, id(5), "cut again before the greeting", func() {
		for len(executor.Subscribes) > 0 {
			<-executor.Subscribes
		}
		executor.With(notReady)
		for range 3 {
			executor.Cut()
			tr.Say("subscribe %d", fakes.Take(t, "a connection", executor.Subscribes))
		}
		executor.End(id(5), "complete", "fifth")
		executor.With(ready)
	})
	executor.End(id(9), "complete", "its own")
	result := fakes.Take(t, "the outcome of the other run", other.Done()).Result
	tr.Say("the other run: %q, unread launches %d", result, len(executor.Launches))
}

// Until the executor at a new address has greeted, launches are sent on the connection in use. If that ends first,
// the new one replaces it. Two successive changes of the address leave one connection.
func TestConnectionInUseServesUntilNextIsGreeted(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	move := func() (cut func()) {
		cut = executor.Move()
		client.SetAddress(executor.Address)
		fakes.Take(t, "a new connection", executor.Subscribes)
		return cut
	}

	executor.With(notReady)
	move()
	first := client.Launch(runID(0xd1), "look", nil)
	tr.Say("before the greeting: %v", fakes.Take(t, "the launch on the connection in use", executor.Launches))
	executor.With(ready)
	fakes.Take(t, "the first sample of the new connection", client.Samples())
	executor.End(runID(0xd1), "complete", "first")
	result := fakes.Take(t, "the first outcome", first.Done()).Result
	tr.Say("%q, launched again %d times", result, len(executor.Launches))

	executor.With(notReady)
	move()
	cutBetween := move()
	cutBetween() // it was never greeted
	second := client.Launch(runID(0xd2), "look", nil)
	executor.With(ready)
	tr.Say("two moves: %v", fakes.Take(t, "the launch", executor.Launches))
	executor.End(runID(0xd2), "complete", "second")
	tr.Say("%q", fakes.Take(t, "the second outcome", second.Done()).Result)
	fakes.Take(t, "the first sample of the new connection", client.Samples())

	executor.With(notReady)
	cutInUse := move()
	cutInUse() // before the new one is greeted
	third := client.Launch(runID(0xd3), "look", nil)
	executor.With(ready)
	tr.Say("the connection in use ends first: %v", fakes.Take(t, "the launch", executor.Launches))
	executor.End(runID(0xd3), "complete", "third")
	result = fakes.Take(t, "the third outcome", third.Done()).Result
	tr.Say("%q, runs in flight %d", result, client.runsInFlight())
}

// If the new address refuses connections, runs continue on the connection in use, and a change back to the former
// address leaves one connection.
func TestRefusedAddressLeavesConnectionInUse(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	runWhileAvailable := func(id string) {
		run := launch(t, client, executor, id)
		executor.End(id, "complete", id)
		outcome := fakes.Take(t, "the outcome", run.Done())
		if string(outcome.Result) != id || !client.Available() {
			t.Errorf("run %s: %+v, available %t", id, outcome, client.Available())
		}
	}
	client.SetAddress("127.0.0.1:1")
	runWhileAvailable(runID(1))
	client.SetAddress(executor.Address)
	fakes.Take(t, "the new connection", executor.Subscribes)
	fakes.Take(t, "its first sample", client.Samples())
	runWhileAvailable(runID(2))
}

// A synced connection that stays open without input is replaced; runs continue.
func TestSilentConnectionIsReplaced(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	run := launch(t, client, executor, runID(1))
	executor.With(answerNoSample)
	fakes.Until(t, "another connection is opened", func() bool {
		client.RequestSample()
		return len(executor.Subscribes) == 1
	})
	executor.With(func(_, gauges *string) { *gauges = "0.1 0 0 0" })
	fakes.Until(t, "the new connection is synced", func() bool {
		client.RequestSample()
		return len(client.Samples()) > 0
	})
	executor.End(runID(1), "complete", "r")
	checkEndedOnce(t, executor, run)
}

// A connection that is accepted and not greeted is replaced if the executor has sent a greeting before, whether it is
// the only connection or there is another one without input. A run that is launched meanwhile is sent once.
func TestConnectionWithoutGreetingIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name       string
		reconnects func(*Client, *fakes.ScriptedExecutor)
	}{
		{"alone", func(_ *Client, executor *fakes.ScriptedExecutor) { executor.Cut() }},
		{"beside another", func(client *Client, executor *fakes.ScriptedExecutor) {
			executor.Move()
			client.SetAddress(executor.Address)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			executor := fakes.NewScriptedExecutor(t)
			client := connectSynced(t, executor)
			executor.With(notReady)
			test.reconnects(client, executor)
			fakes.Take(t, "a connection that is not greeted", executor.Subscribes)
			run := client.Launch(runID(1), "look", nil)
			fakes.Until(t, "another connection is opened", func() bool {
				client.RequestSample()
				return len(executor.Subscribes) > 0
			})
			<-executor.Subscribes
			executor.With(ready)
			fakes.Take(t, "the launch", executor.Launches)
			executor.End(runID(1), "complete", "r")
			checkEndedOnce(t, executor, run)
		})
	}
}

// checkEndedOnce checks that a run ends with the result r and is not launched again.
func checkEndedOnce(t *testing.T, executor *fakes.ScriptedExecutor, run *Run) {
	t.Helper()
	outcome := fakes.Take(t, "the outcome", run.Done())
	if string(outcome.Result) != "r" || len(executor.Launches) != 0 {
		t.Errorf("%+v, launched again %d times; want result r, 0", outcome, len(executor.Launches))
	}
}

// A silent connection is not replaced before the first greeting on any connection: the executor may start late.
func TestConnectionIsNotReplacedBeforeFirstGreeting(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	executor.With(notReady)
	client := connect(t, executor)
	fakes.Take(t, "the first connection", executor.Subscribes)
	start := time.Now()
	fakes.Until(t, "the connection has been checked for silence", func() bool {
		return time.Since(start) > client.bounds.ExecutorSilence*8/5
	})
	if len(executor.Subscribes) != 0 || client.isUnresponsive() {
		t.Errorf("%d further connections, silent %t; want 0, false", len(executor.Subscribes), client.isUnresponsive())
	}
}

// A connection on which each sample arrives too late to be delivered is not silent.
func TestConnectionWithLateSamplesIsNotReplaced(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	executor.With(answerNoSample)
	start := time.Now()
	fakes.Until(t, "late samples have arrived for longer than ExecutorSilence", func() bool {
		client.RequestSample()
		executor.Send("sampled t1 0.1 1 0 0\r\n")
		return time.Since(start) > client.bounds.ExecutorSilence*3/2
	})
	if len(executor.Subscribes) > 0 {
		t.Error("another connection was opened")
	}
}
