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

// Until Open, the dispatcher is unhealthy and throttles all requests.
func TestUnhealthyAndThrottlingUntilOpen(t *testing.T) {
	tr := fakes.NewTrace(t)
	unopened := New(&config.Settings{}, 1, limits.For(1, 192, 1024))
	resp, req := unopened.Admit(newInvocation("a"))
	traceResponse(tr, "not open", resp, req, unopened)
	tr.Say("healthy %t, next tick %t", unopened.Healthy(), unopened.Tick(nil) > 0)
	unopened.Drain(monotime.Millisecond, monotime.Millisecond)
	d := open(t)
	tr.Say("open: healthy %t", d.Healthy())
	_, req = d.Admit(newInvocation("b"))
	d.Open(true, 0) // the executor's next connection
	tr.Say("opened again: answer due %t, healthy %t", d.Complete(req, RunSucceeded, nil), d.Healthy())
}

// A second call of Open changes neither the module nor its opening time.
func TestSecondOpenChangesNothing(t *testing.T) {
	d := open(t)
	module, openedAt := d.backend, d.openedAt
	d.Open(true, monotime.Second)
	if d.backend != module || d.startedCold || d.openedAt != openedAt {
		t.Error("the second Open changed the dispatcher")
	}
}

// The module's opening time is at most the length of the warm-up in the past.
func TestOpeningIsAtMostAWarmUpAgo(t *testing.T) {
	d := open(t)
	d.backend = nil
	d.Open(true, 3_600*monotime.Second)
	if ago := Now() - d.openedAt; ago > d.settings.Admission.WarmUp+5*monotime.Second {
		t.Errorf("opened %d us ago, the warm-up takes %d", ago, d.settings.Admission.WarmUp)
	}
}

// With a warm executor, the opening time is now, regardless of when the executor started.
func TestWarmExecutorOpensNow(t *testing.T) {
	d := open(t)
	d.backend = nil
	start := Now()
	if d.Open(false, 3*monotime.Second); d.openedAt < start {
		t.Errorf("opened %d us before now", start-d.openedAt)
	}
}

// IdleTimeout is set only if the module's idle timeout is below the configured one.
func TestIdleTimeoutIsSetOnlyBelowConfigured(t *testing.T) {
	d := open(t)
	configured := d.settings.Admission.IdleTimeout
	for _, test := range []struct {
		name  string
		after monotime.Micros
		want  time.Duration
	}{
		{"as configured", configured, 0},
		{"above", configured + 1, 0},
		{"below", configured / 2, (configured / 2).Duration()},
	} {
		t.Run(test.name, func(t *testing.T) {
			d.perform(admission.CloseIdle{After: test.after})
			if got := d.IdleTimeout(); got != test.want {
				t.Errorf("IdleTimeout() = %v after CloseIdle of %d us, want %v", got, test.after, test.want)
			}
		})
	}
}
