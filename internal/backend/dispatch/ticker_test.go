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

// TestTicksGoOnWithoutSamples: ticks never wait for the executor; what is due is answered though no sample comes.
func TestTicksGoOnWithoutSamples(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	done, over := make(chan struct{}), make(chan struct{})
	requested := 0
	go func() { d.RunTicks(done, func() bool { requested++; return true }, nil); close(over) }()
	inv := newInvocation("a")
	inv.CallerTimeout = 300_000
	_, req := d.Admit(inv)
	resp := fakes.Take(t, "the final response", req.FinalResponse())
	tr.Say("verdict %d, in time %t", resp.Verdict, Now() < inv.ArrivedAt+inv.CallerTimeout+d.settings.Admission.AnswerSlack)
	close(done)
	fakes.Take(t, "the end of the ticks", over)
	tr.Say("asked %t", requested > 0)
}

// TestLateSampleIsUsedByNextTick: a sample that came after its tick serves the next, if no newer one comes.
func TestLateSampleIsUsedByNextTick(t *testing.T) {
	sampled := make(chan []float64, 1)
	sampled <- []float64{0.5, 7, 0.1, 1}
	if got := runUntilSampled(t, open(t), func() bool { return true }, sampled); got != 7 {
		t.Errorf("gauge %v", got)
	}
}

// TestSampleIsRequestedAgainAfterStall: a sample that was waited for while the process was suspended is requested again.
func TestSampleIsRequestedAgainAfterStall(t *testing.T) {
	d := open(t)
	d.bounds.SampleTimeout = 10 * time.Second
	sampled := make(chan []float64, 1)
	requests := 0
	got := runUntilSampled(t, d, func() bool {
		if requests++; requests == 1 {
			time.Sleep(d.bounds.StallThreshold + 20*time.Millisecond)
			sampled <- []float64{0.5, 7, 0.1, 1}
		} else {
			d.bounds.StallThreshold = time.Minute // whatever the machine does to this test now
			select {
			case sampled <- []float64{0.5, 8, 0.1, 1}:
			default:
			}
		}
		return true
	}, sampled)
	if got != 8 || requests < 2 {
		t.Errorf("gauge %v after %d requests", got, requests)
	}
}

// TestOldGaugesBecomeUnknown: without samples the gauges hold for a while, and then are unknown.
func TestOldGaugesBecomeUnknown(t *testing.T) {
	d := open(t)
	d.Tick(fullCores)
	d.gaugesAt = Now()
	if d.updateGauges(d.gaugesAt+1, nil); len(d.gauges) == 0 {
		t.Error("the gauges of the latest sample are dropped")
	}
	old := d.gaugesAt + monotime.FromDuration(d.bounds.SampleMaxAge) + 1
	if d.updateGauges(old, nil); len(d.gauges) != 0 {
		t.Errorf("old gauges are passed on: %v", d.gauges)
	}
}

// TestNextTickIsInTheFuture: the next tick lies in the future though the module sets no timer.
func TestNextTickIsInTheFuture(t *testing.T) {
	d := open(t)
	silenceModule(d)
	start := Now()
	if next := d.Tick(fullCores); next <= start {
		t.Errorf("next tick %d us after this one", next-start)
	}
}

// TestOverdueRequestIsAnswered: a request that the module has lost is answered once its deadline is well past, and one that has
// been answered is left alone.
func TestOverdueRequestIsAnswered(t *testing.T) {
	d := open(t)
	_, lost := d.Admit(newInvocation("lost"))
	_, abandoned := d.Admit(newInvocation("abandoned"))
	d.Abandon(abandoned)
	silenceModule(d)
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
		t.Errorf("the lost one: %+v", resp)
	}
	if n := strings.Count(logged.String(), "msg=overdue"); n != 1 || d.counts.Errored != 1 {
		t.Errorf("%d answered, %d logged, wanted one each:\n%s", d.counts.Errored, n, logged.String())
	}
}

// TestTickAnswersOverdueRequests: each tick answers what is overdue.
func TestTickAnswersOverdueRequests(t *testing.T) {
	d := open(t)
	_, lost := d.Admit(newInvocation("lost"))
	silenceModule(d)
	lost.deadline -= 10_000_000
	d.Tick(fullCores)
	if len(lost.responses) != 1 {
		t.Error("it is not answered")
	}
}
