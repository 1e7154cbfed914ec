package dispatch

import (
	"encoding/json"
	"testing"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// TestGraceEndsAtEarliestEnd: a notice heard late, or a second one, ends the grace when it was to end by the first.
func TestGraceEndsAtEarliestEnd(t *testing.T) {
	tr := fakes.NewTrace(t)
	d := open(t)
	d.Drain(5_000_000, 300_000)
	resp, req := d.Admit(newInvocation("within the grace"))
	say(tr, "within the grace", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	d.Drain(4_000_000, 0)
	resp, req = d.Admit(newInvocation("after it"))
	say(tr, "brought forward", resp, req, d)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > d.moduleGraceEnd })
	inv := newInvocation("read late")
	inv.ArrivedAt = d.moduleGraceEnd - 20_000 // it arrived before that had ended
	resp, req = d.Admit(inv)
	say(tr, "read late", resp, req, d)
	late := open(t)
	late.Drain(4_000_000, -100_000)
	resp, req = late.Admit(newInvocation("a"))
	say(tr, "heard after its grace", resp, req, late)
}

// TestGraceAppliesToLateExecutor: an executor that comes up during a graceful shutdown admits nothing after the grace.
func TestGraceAppliesToLateExecutor(t *testing.T) {
	tr := fakes.NewTrace(t)
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	d := New(&settings, 1, limits.For(1, 192, 1024))
	d.Drain(600_000, 100_000)
	start := Now()
	d.Open(false, 0)
	resp, req := d.Admit(newInvocation("a"))
	say(tr, "within the grace", resp, req, d)
	d.Complete(req, RunSucceeded, nil)
	fakes.Until(t, "the grace is over", func() bool { return Now() > start+100_000 })
	resp, req = d.Admit(newInvocation("b"))
	say(tr, "after it", resp, req, d)
	fakes.Until(t, "the module's own grace is over", func() bool { return Now() > start+400_000 })
	resp, req = d.Admit(newInvocation("c"))
	say(tr, "after that", resp, req, d)
}

// TestSecondNoticeNeverExtendsGrace: a second notice never extends the grace, and a draining backend is unhealthy whatever the module
// wants.
func TestSecondNoticeNeverExtendsGrace(t *testing.T) {
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

// TestModuleGraceIsShorterByNoticeDelay: the module's grace is shorter by the delay that a notice may have, and never negative.
func TestModuleGraceIsShorterByNoticeDelay(t *testing.T) {
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

// TestRejectsBetweenGraceEnds: the dispatcher itself rejects only what arrives between the end of the true grace and that of the
// module's.
func TestRejectsBetweenGraceEnds(t *testing.T) {
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
