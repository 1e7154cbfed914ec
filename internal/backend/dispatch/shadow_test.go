package dispatch

import (
	"testing"

	"milletbarrow/monotime"
)

// A shadow that is set after Open opens with the opening time and warm-up of the primary. None is started during a
// shutdown.
func TestShadowOpensLikePrimary(t *testing.T) {
	d := open(t)
	d.backend = nil // so that Open opens it again
	d.Open(true, 3*monotime.Second)
	d.SetShadow(d.settings)
	ago := Now() - d.openedAt
	if !d.moduleConfig(d.settings).JustStarted || ago < 3*monotime.Second || ago > 4*monotime.Second {
		t.Errorf("cold %t, opened %d us ago; want true, 3 s", d.startedCold, ago)
	}
	d.Admit(newInvocation("a"))
	before, _ := d.ShadowCounts()
	d.Drain(5*monotime.Second, 300*monotime.Millisecond)
	d.SetShadow(d.settings)
	d.Admit(newInvocation("b"))
	if after, ok := d.ShadowCounts(); before.Arrivals != 1 || after.Arrivals != 0 || !ok {
		t.Errorf("before the shutdown %v, while draining %v, %t", before, after, ok)
	}
}
