package dispatch

import (
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// TestUnhealthyAndThrottlingUntilOpen: before the executor is there nothing can run, and the backend is unhealthy.
func TestUnhealthyAndThrottlingUntilOpen(t *testing.T) {
	tr := fakes.NewTrace(t)
	shut := New(&config.Settings{}, 1, limits.For(1, 192, 1024))
	resp, req := shut.Admit(newInvocation("a"))
	say(tr, "not open", resp, req, shut)
	tr.Say("good %t, next tick %t", shut.Healthy(), shut.Tick(nil) > 0)
	shut.Drain(1000, 1000)
	d := open(t)
	tr.Say("open: good %t", d.Healthy())
	_, req = d.Admit(newInvocation("b"))
	d.Open(true, 0) // the greeting of the next connection
	tr.Say("greeted again: owed %t, good %t", d.Complete(req, RunSucceeded, nil), d.Healthy())
}

// TestSecondOpenChangesNothing: a second greeting of the executor leaves the module and what it knows as they are.
func TestSecondOpenChangesNothing(t *testing.T) {
	d := open(t)
	module, openedAt := d.backend, d.openedAt
	d.Open(true, 1_000_000)
	if d.backend != module || d.startedCold || d.openedAt != openedAt {
		t.Error("the second opening changed the dispatcher")
	}
}

// TestOpeningIsAtMostAWarmUpAgo: the module never believes that its opening lies further back than the warm-up.
func TestOpeningIsAtMostAWarmUpAgo(t *testing.T) {
	d := open(t)
	d.backend = nil
	d.Open(true, 3_600_000_000)
	if ago := Now() - d.openedAt; ago > d.settings.Admission.WarmUp+5_000_000 {
		t.Errorf("opened %d us ago, the warm-up takes %d", ago, d.settings.Admission.WarmUp)
	}
}

// TestWarmExecutorOpensNow: the module opens now for an executor that has been warm for long.
func TestWarmExecutorOpensNow(t *testing.T) {
	d := open(t)
	d.backend = nil
	start := Now()
	if d.Open(false, 3_000_000); d.openedAt < start {
		t.Errorf("opened %d us before now", start-d.openedAt)
	}
}

// TestIdleTimeoutIsSetOnlyBelowConfigured: the server closes idle connections only if the module wants that sooner than the callers do it.
func TestIdleTimeoutIsSetOnlyBelowConfigured(t *testing.T) {
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
