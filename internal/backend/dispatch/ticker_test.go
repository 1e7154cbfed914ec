package dispatch

import (
	"bytes"
	"log"
	"log/slog"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// Ticks continue without samples, and requests are answered by their deadline.
func TestTicksGoOnWithoutSamples(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	requested := 0
	requestSample := func() bool {
		requested++
		return true
	}
	stop := startTicks(t, d, requestSample, nil)
	inv := newInvocation("a")
	inv.CallerTimeout = 300 * monotime.Millisecond
	_, req := d.Admit(inv)
	resp := fakes.Take(t, "the final response", req.FinalResponse())
	latest := inv.ArrivedAt + inv.CallerTimeout + d.settings.Admission.AnswerSlack
	tr.Say("verdict %d, in time %t", resp.Verdict, Now() < latest)
	stop()
	tr.Say("sample requested %t", requested > 0)
}

// A sample that arrives too late for its tick is used by the next tick if there is no newer sample.
func TestLateSampleIsUsedByNextTick(t *testing.T) {
	sampled := make(chan []float64, 1)
	sampled <- []float64{0.5, 7, 0.1, 1}
	requestSample := func() bool { return true }
	if got := queueGaugeOfFirstSample(t, open(t), requestSample, sampled); got != 7 {
		t.Errorf("queue gauge %v, want 7", got)
	}
}

// A sample received after a stall is discarded, and another one is requested.
func TestSampleIsRequestedAgainAfterStall(t *testing.T) {
	d := open(t)
	d.bounds.SampleTimeout = 10 * time.Second
	sampled := make(chan []float64, 1)
	requests := 0
	requestSample := func() bool {
		requests++
		if requests == 1 {
			start := Now()
			stalled := monotime.FromDuration(d.bounds.StallThreshold + 20*time.Millisecond)
			fakes.Until(t, "the process has been stalled", func() bool { return Now() > start+stalled })
			sampled <- []float64{0.5, 7, 0.1, 1}
			return true
		}
		d.bounds.StallThreshold = time.Minute // so that load on the test machine does not cause another stall
		select {
		case sampled <- []float64{0.5, 8, 0.1, 1}:
		default:
		}
		return true
	}
	got := queueGaugeOfFirstSample(t, d, requestSample, sampled)
	if got != 8 || requests < 2 {
		t.Errorf("queue gauge %v after %d requests, want 8 after 2 or more", got, requests)
	}
}

// Without new samples, the latest gauges remain valid for SampleMaxAge and are then unknown.
func TestOldGaugesBecomeUnknown(t *testing.T) {
	d := open(t)
	d.Tick(fullCores)
	d.gaugesAt = Now()
	if d.updateGauges(d.gaugesAt+1, nil); len(d.gauges) == 0 {
		t.Error("the latest gauges are unknown before SampleMaxAge")
	}
	old := d.gaugesAt + monotime.FromDuration(d.bounds.SampleMaxAge) + 1
	if d.updateGauges(old, nil); len(d.gauges) != 0 {
		t.Errorf("the gauges are known after SampleMaxAge: %v", d.gauges)
	}
}

// The next tick is in the future even if the module sets no timer.
func TestNextTickIsInTheFuture(t *testing.T) {
	d := open(t)
	disableModule(d)
	start := Now()
	if next := d.Tick(fullCores); next <= start {
		t.Errorf("next tick %d us after this one", next-start)
	}
}

// A request that the module has dropped is answered once it is overdue. A request that was answered before gets no
// second answer.
func TestOverdueRequestIsAnswered(t *testing.T) {
	d := open(t)
	_, lost := d.Admit(newInvocation("lost"))
	_, abandoned := d.Admit(newInvocation("abandoned"))
	d.Abandon(abandoned)
	disableModule(d)
	var logged bytes.Buffer
	defer log.SetOutput(log.Writer())
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, nil)))
	overdue := max(lost.deadline, abandoned.deadline) + d.settings.Admission.AnswerSlack
	d.answerOverdue(lost.deadline - 1)
	if len(lost.responses) != 0 {
		t.Error("answered before its deadline")
	}
	d.answerOverdue(overdue)
	if resp := fakes.Take(t, "the final response", lost.responses); resp.Verdict != Errored {
		t.Errorf("the lost request: %+v, want verdict Errored", resp)
	}
	event := `msg="overdue request answered with an error"`
	if n := strings.Count(logged.String(), event); n != 1 || d.counts.Errored != 1 {
		t.Errorf("%d answered, %d logged; want 1, 1:\n%s", d.counts.Errored, n, logged.String())
	}
}

// Each tick answers overdue requests.
func TestTickAnswersOverdueRequests(t *testing.T) {
	d := open(t)
	_, lost := d.Admit(newInvocation("lost"))
	disableModule(d)
	lost.deadline -= 10 * monotime.Second
	d.Tick(fullCores)
	if len(lost.responses) != 1 {
		t.Error("the overdue request is not answered")
	}
}

// TestSignalAfterStallMayBeAsOldAsTheStall guards against counting a shutdown from the end of a stall: a signal that
// came while the process stood still is handled when it goes on, before or after its first tick.
func TestSignalAfterStallMayBeAsOldAsTheStall(t *testing.T) {
	d := open(t)
	d.bounds.StallThreshold = time.Second // so that load on the test machine causes no stall
	const stall, sinceTick = 5 * monotime.Second, 100 * monotime.Millisecond
	start := Now()
	d.Tick(nil)
	if delay := d.MaxSignalDelay(); delay != 0 {
		t.Errorf("without a stall: %v, want 0", delay)
	}
	d.lastTick = start - stall
	if delay := d.MaxSignalDelay(); delay < stall.Duration() {
		t.Errorf("before the first tick after a stall of %v: %v", stall.Duration(), delay)
	}
	d.Tick(nil)
	if delay := d.MaxSignalDelay(); delay < stall.Duration() {
		t.Errorf("after the first tick after a stall of %v: %v", stall.Duration(), delay)
	}
	d.stallEnd -= monotime.FromDuration(d.bounds.StallThreshold) + sinceTick
	if delay := d.MaxSignalDelay(); delay != 0 {
		t.Errorf("long after a stall: %v, want 0", delay)
	}
}

// TestNoSignalDelayBeforeOpen checks that the time before the first tick is no stall.
func TestNoSignalDelayBeforeOpen(t *testing.T) {
	d := newDispatcher(t, fakes.Settings, nil)
	if delay := d.MaxSignalDelay(); delay != 0 {
		t.Errorf("%v, want 0", delay)
	}
}
