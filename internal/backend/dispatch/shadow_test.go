package dispatch

import (
	"testing"
)

// TestShadowOpensLikePrimary: a shadow set later is as cold as the executor still is; a process that shuts down starts none.
func TestShadowOpensLikePrimary(t *testing.T) {
	d := open(t)
	d.backend = nil // open it anew, cold for 3 s
	d.Open(true, 3_000_000)
	d.SetShadow(d.settings)
	if ago := Now() - d.openedAt; !d.moduleConfig(d.settings).JustStarted || ago < 3_000_000 || ago > 4_000_000 {
		t.Errorf("cold %t, opened %d us ago", d.startedCold, ago)
	}
	d.Admit(newInvocation("a"))
	c, _ := d.ShadowCounts()
	d.Drain(5_000_000, 300_000)
	d.SetShadow(d.settings)
	d.Admit(newInvocation("b"))
	if after, on := d.ShadowCounts(); c.Arrivals != 1 || after.Arrivals != 0 || !on {
		t.Errorf("%v, then %v, %t", c, after, on)
	}
}
