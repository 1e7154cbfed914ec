package executor

import (
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

// A run ends with the outcome and the result that the executor sends for its ID, however they are split into segments.
func TestRunEndsWithItsOutcome(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	largest := strings.Repeat("r", client.bounds.ResultSize)
	for n, test := range []struct {
		label string
		act   func(id string)
	}{
		{"complete", func(id string) { executor.End(id, "complete", "result\r\n") }},
		{"empty result", func(id string) { executor.End(id, "complete", "") }},
		{"largest result", func(id string) { executor.End(id, "complete", largest) }},
		{"result too long", func(id string) { executor.End(id, "complete", strings.Repeat("r", 9000)) }},
		{"error", func(id string) { executor.End(id, "error", "") }},
		{"unknown", func(id string) { executor.End(id, "unknown", "") }},
		{"cancelled", func(id string) { executor.End(id, "cancelled", "") }},
		{"refusal", func(id string) { executor.Send("refusal launch " + id + "\r\n") }},
		{"in pieces", func(id string) {
			for _, char := range "outcome 8 " + id + " complete 3 4\r\nabcd\r\n" {
				executor.Send(string(char))
			}
		}},
		{"after the outcome of an unknown run", func(id string) {
			executor.End(runID(99), "complete", "x")
			executor.Notice("aside %d a remark\r\n")
			executor.End(id, "complete", "mine")
		}},
	} {
		id := runID(n + 1)
		runOnce(tr, client, executor, id, test.label, func() { test.act(id) })
	}
}

// A launch is sent once the connection is synced, not before.
func TestLaunchWaitsUntilSynced(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	executor.With(notReady)
	client := connect(t, executor)
	fakes.Take(t, "the first connection", executor.Subscribes)
	client.Launch(runID(1), "look", nil)
	client.mu.Lock()
	pending := string(client.unsent)
	client.mu.Unlock()
	if pending != "" || len(executor.Launches) != 0 {
		t.Errorf("before the greeting: commands %q, %d launches; want none", pending, len(executor.Launches))
	}
	executor.With(ready)
	fakes.Take(t, "the launch", executor.Launches)
}

// A sample that does not arrive is requested again after SampleMaxAge. If the first one then arrives late, it is not
// delivered as the second. RequestSample never blocks.
func TestLateSampleIsRequestedAgain(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	executor.With(answerNoSample)
	requested := 0
	for range 1000 {
		if client.RequestSample() {
			requested++
		}
	}
	tr.Say("requested %d times while a sample is pending", requested)
	fakes.Until(t, "another sample is requested", client.RequestSample)
	fakes.Until(t, "the executor has read both requests", func() bool { return executor.Samples() == 3 })
	executor.Send("sampled t2 0.1 1 0 0\r\nsampled t3 0.1 2 0 0\r\n")
	tr.Say("%v", fakes.Take(t, "a sample", client.Samples()))
	executor.With(func(_, gauges *string) { *gauges = "0.5 7 0.1 1" })
	executor.Cut()
	tr.Say("on the next connection: %v", fakes.Take(t, "a sample", client.Samples()))
}

// A sample other than the one requested last, or on a connection that is not in use, is ignored.
func TestUnrequestedSamplesAreIgnored(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	executor.With(answerNoSample)
	fakes.Until(t, "the second sample is requested", client.RequestSample)
	run := launch(t, client, executor, runID(1))
	executor.Send("sampled t2 0.1 2 0 0\r\nsampled t1 0.1 1 0 0\r\nsampled t3 0.1 3 0 0\r\n")
	executor.End(runID(1), "complete", "r")
	fakes.Take(t, "the outcome, which is read after the samples", run.Done())
	if gauges := fakes.Take(t, "a sample", client.Samples()); gauges[1] != 2 {
		t.Errorf("sample %v, want the second", gauges)
	}
	client.handleSample(nil, message{kind: sampled, tag: []byte(sampleTag(2)), gauges: []float64{9}})
	if len(client.Samples()) != 0 {
		t.Error("a sample on a connection that is not in use was delivered")
	}
}
