package quota

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestUsageCountsDenialsAndNetAcquisitions checks that denials are counted, and that a unit that is refunded and
// acquired again is counted once.
func TestUsageCountsDenialsAndNetAcquisitions(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + 10*second
	acquireAll(h, now)
	h.Refund(now, 0)
	acquireAll(h, now)
	if s := h.Status(now)[0]; s.Drawn != 4 || s.Denied != 2 {
		t.Errorf("drawn %d, denied %d, want 4 and 2", s.Drawn, s.Denied)
	}
}

// TestRefundIsLimitedToAcquiredUnitsAndBucketSize checks that no more units are refunded than were acquired, and that a
// refund does not exceed the size of the bucket.
func TestRefundIsLimitedToAcquiredUnitsAndBucketSize(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	if h.Refund(start, 0); h.TryAcquire(start, 0) {
		t.Error("a unit that was never acquired was refunded")
	}
	now := start + 10*second
	acquireAll(h, now)
	now += 10 * second // the bucket is full again
	for range 3 {
		h.Refund(now, 0)
	}
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units acquired at once, want %d", n, BurstUnits(4))
	}
}

// TestBucketNeverOverfull checks for pauses of any length that the tokens of a bucket stay between 0 and its size.
func TestBucketNeverOverfull(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Int64Range(1, 1000).Draw(rt, "rate")
		h := newGrantedHolder(t, rate, 0, 0)
		now := start
		for range rapid.IntRange(1, 8).Draw(rt, "pauses") {
			now += monotime.Micros(rapid.Int64Range(0, 2*bucketSize(rate)/rate).Draw(rt, "pause"))
			for range rapid.IntRange(0, 3).Draw(rt, "units") {
				h.TryAcquire(now, 0)
			}
			if tokens := h.buckets[0].tokens; tokens < 0 || tokens > bucketSize(rate) {
				rt.Fatalf("%d micro-units in a bucket of size %d", tokens, bucketSize(rate))
			}
		}
	})
}

// TestBurstUnitsByRate checks that a bucket has a minimum size at low rates and none at rate 0.
func TestBurstUnitsByRate(t *testing.T) {
	for rate, want := range map[int64]int64{0: 0, 1: 4, 13: 4, 15: 5, 100: 30, MaxRate: 30_000_000} {
		if got := BurstUnits(rate); got != want {
			t.Errorf("rate %d: %d units, want %d", rate, got, want)
		}
	}
}

// TestClockBackNeitherAddsNorRemovesUnits checks that a backward clock step neither adds nor removes units, and that no
// time is counted twice when the clock has caught up.
func TestClockBackNeitherAddsNorRemovesUnits(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + 10*second
	h.Status(now)
	if n := acquireAll(h, start); n != BurstUnits(4) {
		t.Errorf("%d units after the backward clock step, want %d", n, BurstUnits(4))
	}
	if n := acquireAll(h, now); n != 0 {
		t.Errorf("%d more units when the clock has caught up, want 0", n)
	}
}

// TestExtraEndsWithLease checks that the extra ends exactly at the end of its lease, and that its unused units expire
// with it.
func TestExtraEndsWithLease(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 4, 1000, lease)
	if s := h.Status(start + lease - 1)[0]; s.Extra != 1000 {
		t.Errorf("extra %d just before the end of the lease, want 1000", s.Extra)
	}
	if s := h.Status(start + lease)[0]; s.Extra != 0 {
		t.Errorf("extra %d at the end of the lease, want 0", s.Extra)
	}
	if n := acquireAll(h, start+lease); n != BurstUnits(4) {
		t.Errorf("%d units after the lease, want %d, the size of the floor's bucket", n, BurstUnits(4))
	}
}

// TestExtraIsDroppedIfLeaseEndedBeforeResponse checks that a grant whose lease has ended when its response arrives has
// no extra.
func TestExtraIsDroppedIfLeaseEndedBeforeResponse(t *testing.T) {
	const lease = 5 * second
	for _, test := range []struct {
		name string
		late monotime.Micros // from the end of the lease to the response
		want int64           // extra in force
	}{
		{"before the end", -1, 1000},
		{"at the end", 0, 0},
		{"after the end", 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHolder()
			request := h.NewRequest(start)
			now := start + lease + test.late
			grant := Grant{Budget: testBudget, Epoch: 1, Floor: 4, Extra: 1000, Lease: lease}
			if err := h.Apply(now, responseTo(request, grant)); err != nil {
				t.Fatal(err)
			}
			if s := h.Status(now)[0]; s.Extra != test.want || s.Floor != 4 {
				t.Errorf("floor %d, extra %d, want 4 and %d", s.Floor, s.Extra, test.want)
			}
		})
	}
}

// TestExtraEndsWithLeaseAfterClockBack checks that an extra that is granted after a backward clock step ends with its
// lease.
func TestExtraEndsWithLeaseAfterClockBack(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 4, 0, 0)
	h.Status(start + 10*second)
	grantNow(t, h, start, Grant{Epoch: 2, Floor: 4, Extra: 1000, Lease: lease})
	if s := h.Status(start + lease - 1)[0]; s.Extra != 1000 {
		t.Errorf("extra %d just before the end of the lease, want 1000", s.Extra)
	}
	if s := h.Status(start + lease)[0]; s.Extra != 0 {
		t.Errorf("extra %d at the end of the lease, want 0", s.Extra)
	}
}

// TestExtraYieldsTokensUpToLeaseEnd checks that the tokens that the extra yields just before the end of its lease can
// be acquired after it, up to the size of the floor's bucket.
func TestExtraYieldsTokensUpToLeaseEnd(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 100, 1000, lease)
	acquireAll(h, start+lease-20*monotime.Millisecond)
	if n := acquireAll(h, start+lease); n != 22 {
		t.Errorf("%d units from 20 ms at 1100 per second, want 22", n)
	}
}

// TestLongPauseDoesNotOverflow checks that a holder of the largest rate can acquire units after pauses of one day to
// one year.
func TestLongPauseDoesNotOverflow(t *testing.T) {
	for _, pause := range []monotime.Micros{100_000 * second, 300_000 * second, 31_536_000 * second} {
		h := newGrantedHolder(t, MaxRate, 0, 0)
		if !h.TryAcquire(start+pause, 0) {
			t.Errorf("no unit can be acquired after a pause of %v", pause.Duration())
		}
	}
}

// TestNextGrantKeepsTokens checks that the next grant keeps the tokens of the previous one, up to the size of the new
// bucket.
func TestNextGrantKeepsTokens(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + second/2
	grantNow(t, h, now, Grant{Epoch: 2, Floor: 100})
	if n := acquireAll(h, now); n != 2 {
		t.Errorf("%d units from half a second at 4 per second, want 2", n)
	}

	h = newGrantedHolder(t, 1000, 0, 0)
	now = start + 10*second
	grantNow(t, h, now, Grant{Epoch: 2, Floor: 4})
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units acquired at once, want %d", n, BurstUnits(4))
	}
}

// TestReleaseEndsGrantAtOnce checks that nothing can be acquired from the time of the release on.
func TestReleaseEndsGrantAtOnce(t *testing.T) {
	h := newGrantedHolder(t, 4, 100, 100*second)
	now := start + 10*second
	h.Status(now)
	h.Release(now)
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("grant still in force at the release: %+v", s)
	}
	if acquireAll(h, now) != 0 || acquireAll(h, now+second) != 0 {
		t.Error("a unit was acquired after the release")
	}
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("grant in force again after the release: %+v", s)
	}
}
