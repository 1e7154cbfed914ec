package dispatch

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/backend/quotalog"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// fullCores are gauges with no core free and a short queue.
var fullCores = []float64{0.5, 3, 0.1, 1}

// TestCachedIDRefused: a request with the id of one whose result is cached is refused, and the result stays.
func TestCachedIDRefused(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	if resp, req := d.Admit(keyedInvocation("a", "y")); resp.Verdict != Errored || req != nil {
		t.Errorf("the same id, another key: %+v", resp)
	}
	if resp, _ := d.Admit(keyedInvocation("b", "x")); resp.Verdict != Replayed || string(resp.Result) != "r" {
		t.Errorf("a repeat of the first: %+v", resp)
	}
}

// TestOpenOnce: a second greeting of the executor leaves the module and what it knows as they are.
func TestOpenOnce(t *testing.T) {
	d := open(t)
	module, openedAt := d.backend, d.openedAt
	d.Open(true, 1_000_000)
	if d.backend != module || d.startedCold || d.openedAt != openedAt {
		t.Error("the second opening changed the dispatcher")
	}
}

// TestOpenLongAgo: the module never believes that its opening lies further back than the warm-up.
func TestOpenLongAgo(t *testing.T) {
	d := open(t)
	d.backend = nil
	d.Open(true, 3_600_000_000)
	if ago := Now() - d.openedAt; ago > d.settings.Admission.WarmUp+5_000_000 {
		t.Errorf("opened %d us ago, the warm-up takes %d", ago, d.settings.Admission.WarmUp)
	}
}

// TestOldGaugesDropped: without samples the gauges hold for a while, and then are unknown.
func TestOldGaugesDropped(t *testing.T) {
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

// silenceModule replaces the module by one that answers nothing and sets no timer.
func silenceModule(d *Dispatcher) { d.backend = &admission.Backend{} }

// TestNextTick: the next tick lies in the future though the module sets no timer.
func TestNextTick(t *testing.T) {
	d := open(t)
	silenceModule(d)
	start := Now()
	if next := d.Tick(fullCores); next <= start {
		t.Errorf("next tick %d us after this one", next-start)
	}
}

// TestOverdueAnswered: a request that the module has lost is answered once its deadline is well past, and one that has
// been answered is left alone.
func TestOverdueAnswered(t *testing.T) {
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

// TestRespondOnce: a request gets one final response and starts once.
func TestRespondOnce(t *testing.T) {
	d := open(t)
	_, req := d.Admit(newInvocation("a"))
	d.perform(admission.Start{ID: "a"})
	if d.counts.Started != 1 || len(req.responses) != 0 {
		t.Errorf("started %d times", d.counts.Started)
	}
	d.respond(req, Response{Verdict: Abandoned})
	d.respond(req, Response{Verdict: Errored})
	if len(req.responses) != 1 || d.counts.Errored != 0 || d.counts.Abandoned != 1 {
		t.Errorf("%d final responses, %+v", len(req.responses), d.counts)
	}
}

// TestLaterNotice: a second notice never extends the grace, and a draining backend is unhealthy whatever the module
// wants.
func TestLaterNotice(t *testing.T) {
	d := open(t)
	d.Drain(5_000_000, 100_000)
	end := d.graceEnd
	d.Drain(10_000_000, 5_000_000)
	if d.graceEnd != end {
		t.Errorf("the grace was extended by %d us", d.graceEnd-end)
	}
	d.healthy = true
	if d.Healthy() {
		t.Error("healthy while draining")
	}
}

// TestIdleTimeout: the server closes idle connections only if the module wants that sooner than the callers do it.
func TestIdleTimeout(t *testing.T) {
	d := open(t)
	configured := d.settings.Admission.IdleTimeout
	for after, want := range map[monotime.Micros]time.Duration{
		configured: 0, configured + 1: 0, configured / 2: time.Duration(configured/2) * time.Microsecond,
	} {
		d.perform(admission.CloseIdle{After: after})
		if got := d.IdleTimeout(); got != want {
			t.Errorf("after %d us: %v, wanted %v", after, got, want)
		}
	}
}

// runUntilSampled runs the ticks until the first sampled one is over, and returns its gauges.
func runUntilSampled(t *testing.T, d *Dispatcher, requestSample func() bool, sampled chan []float64) float64 {
	done, over := make(chan struct{}), make(chan struct{})
	go func() { d.RunTicks(done, requestSample, sampled); close(over) }()
	fakes.Until(t, "a sampled tick", func() bool {
		c, _ := d.Counts()
		return c.Ticks > c.Unsampled
	})
	close(done)
	fakes.Take(t, "the end of the ticks", over)
	return d.gauges[1]
}

// TestLateSampleUsed: a sample that came after its tick serves the next, if no newer one comes.
func TestLateSampleUsed(t *testing.T) {
	sampled := make(chan []float64, 1)
	sampled <- []float64{0.5, 7, 0.1, 1}
	if got := runUntilSampled(t, open(t), func() bool { return true }, sampled); got != 7 {
		t.Errorf("gauge %v", got)
	}
}

// TestSampleOfBeforeSuspension: a sample that was waited for while the process was suspended is requested again.
func TestSampleOfBeforeSuspension(t *testing.T) {
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

// shedSecondOperation puts a policy in force that sheds every request of the second operation.
func shedSecondOperation(t *testing.T, d *Dispatcher) {
	t.Helper()
	policy := policyOf(t, `(ladder l (level no-post (shed (operations post)) (enter (queue 900)) (exit (queue 800))))`)
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	if err := d.OverrideLevel("no-post", time.Minute, "test", false); err != nil {
		t.Fatal(err)
	}
	d.Tick([]float64{0.1, 0, 0.1, 1})
}

// TestRepeatNotShed: a level that sheds an operation leaves the repeats of what has run to their results.
func TestRepeatNotShed(t *testing.T) {
	d := openKeyed(t, "5000", nil)
	_, first := d.Admit(keyedInvocation("a", "x"))
	d.Complete(first, RunSucceeded, []byte("r"))
	shedSecondOperation(t, d)
	if resp, _ := d.Admit(keyedInvocation("b", "y")); resp.Verdict != Throttled {
		t.Fatalf("new work is not shed: %+v", resp)
	}
	resp, _ := d.Admit(keyedInvocation("c", "x"))
	if status, _ := d.DegradationStatus(); resp.Verdict != Replayed || status.Shed != 1 {
		t.Errorf("the repeat: %+v, %d shed", resp, status.Shed)
	}
}

// TestShedAcquiresNoUnit: a request that a level sheds acquires no unit of its tenant's budget.
func TestShedAcquiresNoUnit(t *testing.T) {
	d := withQuota(t, open(t))
	shedSecondOperation(t, d)
	inv := newInvocation("a")
	inv.Operation = 1
	d.Admit(inv)
	if s := d.QuotaStatus()[0]; s.Drawn != 0 || s.Denied != 0 {
		t.Errorf("%d acquired, %d denied", s.Drawn, s.Denied)
	}
	inv = newInvocation("b")
	inv.Tenant = 1 << 20 // beyond the deployment's tenants
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("an unknown tenant's standing is %v", standing)
	}
	inv.Tenant = -1
	if standing := d.acquireUnit(&inv, &Request{}); standing != admission.QuotaUnknown {
		t.Errorf("no tenant's standing is %v", standing)
	}
}

// TestUnknownTenantOfBudget: a budget of a tenant that the deployment lacks is refused.
func TestUnknownTenantOfBudget(t *testing.T) {
	d := withQuota(t, open(t))
	err := d.SetQuotas(QuotaConfig{Holder: d.quotas.holder, Tenants: map[string]string{"nobody": "b"}})
	const want = "draw: map[nobody:b] has a tenant that the deployment does not have; its tenants are [acme zenith]"
	if unknown := (*UnknownTenantError)(nil); !errors.As(err, &unknown) || err.Error() != want {
		t.Errorf("%v, wanted %s", err, want)
	}
}

// TestModulePanic: a panic of the module is an error that has its value, and wraps it if that is an error itself.
func TestModulePanic(t *testing.T) {
	d := open(t)
	err := d.decide(Now(), admission.Arrived{ID: "a", Operation: 99}) // the module indexes its operations with it
	var panicked *PanicError
	if cause := runtime.Error(nil); !errors.As(err, &panicked) || !errors.As(err, &cause) || cause.Error() != err.Error() {
		t.Errorf("%#v", err)
	}
	if err := error(&PanicError{Value: "text"}); err.Error() != "text" || errors.Unwrap(err) != nil {
		t.Errorf("%#v", err)
	}
	if d.counts.Panics != 1 {
		t.Errorf("%d panics counted", d.counts.Panics)
	}
}

// TestQueuedWantCores: the queue signal counts the requests that wait here with those on the executor's cores.
func TestQueuedWantCores(t *testing.T) {
	d := open(t)
	since := Now()
	fakes.Until(t, "the module reads the gauges", func() bool { d.Tick(fullCores); return Now() > since+50_000 })
	shedSecondOperation(t, d)
	left := make(chan struct{})
	inv := newInvocation("a")
	inv.CallerLeft = left
	response := repeat(t, d, inv)
	d.mu.Lock()
	queued := d.queued()
	d.updateLevel(admission.Reading{OnCores: 3, CoreUse: 0.5, MemoryShare: 0.1})
	d.mu.Unlock()
	close(left)
	fakes.Take(t, "the response", response)
	want := float64(3+queued) / float64(d.settings.Admission.Cores)
	if status, _ := d.DegradationStatus(); queued != 1 || status.Signals[degradation.Queue] != want {
		t.Errorf("%d queued, the signal is %v, wanted %v", queued, status.Signals[degradation.Queue], want)
	}
}

// TestPolicyReplaced: another policy leaves the level in force, and what was counted, as they are.
func TestPolicyReplaced(t *testing.T) {
	d := open(t)
	shedSecondOperation(t, d)
	d.degradation.shedCount = 3
	policy := d.degradation.policy
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	if status, _ := d.DegradationStatus(); status.Level != "no-post" || status.Shed != 3 || len(status.Changes) != 1 {
		t.Errorf("%+v", status)
	}
}

// TestChangesBounded: only a bounded number of the latest changes is stored.
func TestChangesBounded(t *testing.T) {
	d := open(t)
	shedSecondOperation(t, d)
	for n := range 3 * maxRecentChanges {
		d.degradation.recordChange(degradation.Change{At: monotime.Micros(n)})
	}
	status, _ := d.DegradationStatus()
	latest := fmt.Sprintf("%d: %v", 3*maxRecentChanges-1, degradation.Change{})
	if n := len(status.Changes); n != maxRecentChanges || status.Changes[n-1] != latest {
		t.Errorf("%d changes, the latest %q", n, status.Changes[n-1])
	}
}

// TestUseLoggedBeforeRelease: what was acquired until the release is recorded before it.
func TestUseLoggedBeforeRelease(t *testing.T) {
	d := withQuota(t, open(t))
	var records strings.Builder
	d.quotas.machineClock = func() monotime.Micros { return 7 }
	d.quotas.log = quotalog.New(&records, 5, 0)
	_, req := d.Admit(newInvocation("a"))
	d.Complete(req, RunSucceeded, nil)
	d.ReleaseQuotas()
	if want := "clock 5 0\ndrew 5 7 b 1\nhave 7 b 1 0 0 0\n"; records.String() != want {
		t.Errorf("got\n%swanted\n%s", records.String(), want)
	}
}

// TestWarmExecutorsPast: the module opens now for an executor that has been warm for long.
func TestWarmExecutorsPast(t *testing.T) {
	d := open(t)
	d.backend = nil
	start := Now()
	if d.Open(false, 3_000_000); d.openedAt < start {
		t.Errorf("opened %d us before now", start-d.openedAt)
	}
}

// TestModuleGrace: the module's grace is shorter by the delay that a notice may have, and never negative.
func TestModuleGrace(t *testing.T) {
	d := open(t)
	late := monotime.FromDuration(d.bounds.NoticeDelay)
	settings := *d.settings
	for grace, want := range map[monotime.Micros]monotime.Micros{0: 0, late / 2: 0, late: 0, late + 5: 5} {
		settings.Admission.DrainGrace = grace
		if got := d.moduleConfig(&settings).DrainGrace; got != want {
			t.Errorf("grace %d: the module's is %d, wanted %d", grace, got, want)
		}
	}
}

// TestQueuedSurvivesDuplicateID: a request in the queue still runs after others of its id came and their callers left.
func TestQueuedSurvivesDuplicateID(t *testing.T) {
	d := open(t)
	since := Now()
	fakes.Until(t, "the module reads the gauges", func() bool { d.Tick(fullCores); return Now() > since+50_000 })
	response := repeat(t, d, newInvocation("a"))
	for range 50 { // the answer and the caller's leaving are there at once: either may be seen first
		again := newInvocation("a")
		again.CallerLeft = leftCaller
		if resp, _ := d.Admit(again); resp.Verdict != Errored {
			t.Fatalf("%+v", resp)
		}
	}
	fakes.Until(t, "the first is answered", func() bool { d.Tick([]float64{0.1, 0, 0.1, 1}); return len(response) > 0 })
	if resp := <-response; resp.Verdict != Admitted {
		t.Errorf("the first: %+v", resp)
	}
}

// TestTickAnswersOverdue: each tick answers what is overdue.
func TestTickAnswersOverdue(t *testing.T) {
	d := open(t)
	_, lost := d.Admit(newInvocation("lost"))
	silenceModule(d)
	lost.deadline -= 10_000_000
	d.Tick(fullCores)
	if len(lost.responses) != 1 {
		t.Error("it is not answered")
	}
}

// TestOwnGrace: the dispatcher itself rejects only what arrives between the end of the true grace and that of the
// module's.
func TestOwnGrace(t *testing.T) {
	d := open(t)
	d.Drain(5_000_000, 100_000)
	now := Now()
	d.graceEnd, d.moduleGraceEnd = now-1000, now+1000
	for after, want := range map[monotime.Micros]bool{-1001: false, -1000: true, 0: true, 1000: true, 1001: false} {
		inv := newInvocation("a")
		inv.ArrivedAt = now + after
		if _, rejected := d.rejectEarly(now+5000, &inv, d.newRequest(&inv), false); rejected != want {
			t.Errorf("arrived %d us after now: rejected %t", after, rejected)
		}
	}
}
