package executor

import (
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/fakes"
)

// TestUnreadableResultInAFullBuffer: a large result without its end follows another in one write, so that the buffer is moved
// between the reading of the notice and of its result. The run that the notice names ends all the same.
func TestUnreadableResultInAFullBuffer(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Until(t, "the connection is up", l.Available)
	one, two := l.Launch("00000000000000a1", "look", nil), l.Launch("00000000000000a2", "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	fakes.Take(t, "a launch", a.Launches)
	a.Send("outcome 1 00000000000000a1 complete 3 2000\r\n" + strings.Repeat("r", 2000) + "\r\n" +
		"outcome 2 00000000000000a2 complete 3 4096\r\n" + strings.Repeat("s", 4096) + "XX")
	if end := fakes.Take(t, "the first end", one.Done()); end.End != dispatch.RunSucceeded {
		t.Errorf("the first: %+v", end)
	}
	if end := fakes.Take(t, "the second end", two.Done()); end.End != dispatch.RunErrored || l.runsInFlight() != 0 {
		t.Errorf("the second: %+v, runs left %d", end, l.runsInFlight())
	}
}

// TestSamplesNotRequestedAreIgnored: a sample that is not the one requested last, or that a former connection brings, is ignored.
func TestSamplesNotRequestedAreIgnored(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Until(t, "the connection is up", l.Available)
	fakes.Take(t, "the first sample", l.Samples())
	a.With(func(_, gauges *string) { *gauges = "" })
	fakes.Until(t, "it asks", l.RequestSample)
	run := l.Launch("00000000000000a1", "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	a.Send("sampled t2 0.1 2 0 0\r\nsampled t1 0.1 1 0 0\r\nsampled t3 0.1 3 0 0\r\n")
	a.End("00000000000000a1", "complete", "r")
	fakes.Take(t, "the end, read after the samples", run.Done())
	if gauges := fakes.Take(t, "a sample", l.Samples()); gauges[1] != 2 {
		t.Errorf("%v: of another sample", gauges)
	}
	l.takeSample(nil, notice{kind: sampled, tag: []byte(sampleTag(2)), gauges: []float64{9}})
	if len(l.Samples()) != 0 {
		t.Error("a sample of a connection that is not in use was taken")
	}
}

// TestLaunchBeforeSynced: a launch waits until all notices from before the connection have been read, and is sent then, once.
func TestLaunchBeforeSynced(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	a.With(func(state, _ *string) { *state = "" })
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	l.Launch("00000000000000a1", "look", nil)
	l.mu.Lock()
	pending := string(l.pending)
	l.mu.Unlock()
	if pending != "" || len(a.Launches) != 0 {
		t.Errorf("before the greeting: %q, %d launched", pending, len(a.Launches))
	}
	a.With(func(state, _ *string) { *state = "hot 1" })
	fakes.Take(t, "a launch", a.Launches)
}

// TestRemarkCounts: a numbered remark counts as a notice read: the next connection subscribes after it.
func TestRemarkCounts(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Take(t, "the first sample", l.Samples())
	a.Notice("aside %d a remark\r\n")
	fakes.Until(t, "it asks", l.RequestSample)
	fakes.Take(t, "a sample, read after the remark", l.Samples())
	a.Cut()
	if n := fakes.Take(t, "the next connection", a.Subscribes); n != 1 {
		t.Errorf("subscribed from %d", n)
	}
}

// TestSlowFirstGreeting: a silent connection is not replaced before the first greeting of all: the executor may start late.
func TestSlowFirstGreeting(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	a.With(func(state, _ *string) { *state = "" })
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	time.Sleep(l.bounds.ExecutorSilence * 8 / 5) // it has to last: one check of the connection falls into it
	if len(a.Subscribes) != 0 || l.silent() {
		t.Errorf("%d further links, silent %t", len(a.Subscribes), l.silent())
	}
}
