package dispatch

import (
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// The grace period ends as early with a delayed notice as with a timely one, and a second notice can end it earlier.
func TestGraceEndsAtEarliestEnd(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	d.Drain(5*monotime.Second, 300*monotime.Millisecond)
	resp, req := d.Admit(newInvocation("within the grace period"))
	traceResponse(tr, "within the grace period", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	d.Drain(4*monotime.Second, 0)
	resp, req = d.Admit(newInvocation("after it"))
	traceResponse(tr, "after a notice that ends it", resp, req, d)
	fakes.Until(t, "the module's grace period is over", func() bool { return Now() > d.moduleGraceEnd })
	inv := newInvocation("read late")
	inv.ArrivedAt = d.moduleGraceEnd - 20*monotime.Millisecond
	resp, req = d.Admit(inv)
	traceResponse(tr, "read late", resp, req, d)
	late := open(t)
	late.Drain(4*monotime.Second, -100*monotime.Millisecond)
	resp, req = late.Admit(newInvocation("a"))
	traceResponse(tr, "notice received after its grace period", resp, req, late)
}

// If the executor becomes ready during a graceful shutdown, no request is admitted after the grace period.
func TestGraceAppliesToLateExecutor(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := newDispatcher(t, fakes.Settings, nil)
	d.Drain(600*monotime.Millisecond, 100*monotime.Millisecond)
	start := Now()
	d.Open(false, 0)
	resp, req := d.Admit(newInvocation("a"))
	traceResponse(tr, "within the grace period", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	fakes.Until(t, "the grace period is over", func() bool { return Now() > start+100*monotime.Millisecond })
	resp, req = d.Admit(newInvocation("b"))
	traceResponse(tr, "after it", resp, req, d)
	fakes.Until(t, "the module's grace period is over", func() bool {
		return Now() > start+400*monotime.Millisecond
	})
	resp, req = d.Admit(newInvocation("c"))
	traceResponse(tr, "after the end of the module's grace period", resp, req, d)
}

// A second notice never extends the grace period, and a draining backend is unhealthy even if the module sets it
// healthy.
func TestSecondNoticeNeverExtendsGrace(t *testing.T) {
	d := open(t)
	d.Drain(5*monotime.Second, 100*monotime.Millisecond)
	end := d.graceEnd
	d.Drain(10*monotime.Second, 5*monotime.Second)
	if d.graceEnd != end {
		t.Errorf("the grace period was extended by %d us", d.graceEnd-end)
	}
	d.healthy = true
	if d.Healthy() {
		t.Error("healthy while draining")
	}
}

// The module's grace period is the configured one less the maximum delay of a notice, and never negative.
func TestModuleGraceIsShorterByNoticeDelay(t *testing.T) {
	d := open(t)
	delay := monotime.FromDuration(d.bounds.NoticeDelay)
	settings := *d.settings
	for _, test := range []struct {
		name       string
		configured monotime.Micros
		want       monotime.Micros
	}{
		{"none", 0, 0},
		{"below the delay", delay / 2, 0},
		{"the delay", delay, 0},
		{"above the delay", delay + 5, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings.Admission.DrainGrace = test.configured
			if got := d.moduleConfig(&settings).DrainGrace; got != test.want {
				t.Errorf("configured %d us: the module's grace period is %d us, want %d",
					test.configured, got, test.want)
			}
		})
	}
}

// The dispatcher itself rejects only requests that arrive between its own end of the grace period and the module's.
func TestRejectsBetweenGraceEnds(t *testing.T) {
	d := open(t)
	d.Drain(5*monotime.Second, 100*monotime.Millisecond)
	now := Now()
	d.graceEnd = now - monotime.Millisecond
	d.moduleGraceEnd = now + monotime.Millisecond
	for _, test := range []struct {
		name      string
		arrivedAt monotime.Micros
		want      bool
	}{
		{"before the dispatcher's end", d.graceEnd - 1, false},
		{"at the dispatcher's end", d.graceEnd, true},
		{"between", now, true},
		{"at the module's end", d.moduleGraceEnd, true},
		{"after the module's end", d.moduleGraceEnd + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inv := newInvocation("a")
			inv.ArrivedAt = test.arrivedAt
			readAt := now + 5*monotime.Millisecond
			if _, rejected := d.rejectEarly(readAt, &inv, d.newRequest(&inv), false); rejected != test.want {
				t.Errorf("rejected %t, want %t", rejected, test.want)
			}
		})
	}
}
