package quota

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestUsageCounts checks that denials are counted, and that a refunded unit that is acquired again is counted once.
func TestUsageCounts(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + 10*second
	acquireAll(h, now)
	h.Refund(now, 0)
	acquireAll(h, now)
	if s := h.Status(now)[0]; s.Drawn != 4 || s.Denied != 2 {
		t.Errorf("drawn %d, denied %d, want 4 and 2", s.Drawn, s.Denied)
	}
}

// TestRefundBounds checks that no more is refunded than was acquired, and that a bucket takes no more than it holds.
func TestRefundBounds(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	if h.Refund(start, 0); h.TryAcquire(start, 0) {
		t.Error("a unit was refunded that was never acquired")
	}
	now := start + 10*second
	acquireAll(h, now)
	now += 10 * second // the bucket is full again
	for range 3 {
		h.Refund(now, 0)
	}
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units at once, a bucket holds %d", n, BurstUnits(4))
	}
}

// TestBucketNeverOverfull checks that a bucket holds between 0 and its size, however long the pauses between
// acquisitions are.
func TestBucketNeverOverfull(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Int64Range(1, 1000).Draw(rt, "rate")
		h := newGrantedHolder(t, rate, 0, 0)
		now := start
		for range rapid.IntRange(1, 8).Draw(rt, "rests") {
			now += monotime.Micros(rapid.Int64Range(0, 2*bucketSize(rate)/rate).Draw(rt, "rest"))
			for range rapid.IntRange(0, 3).Draw(rt, "units") {
				h.TryAcquire(now, 0)
			}
			if tokens := h.buckets[0].tokens; tokens < 0 || tokens > bucketSize(rate) {
				rt.Fatalf("%d micro-units in a bucket of %d", tokens, bucketSize(rate))
			}
		}
	})
}

// TestBurstUnits checks that a bucket holds some units even at a low rate, and none without a rate.
func TestBurstUnits(t *testing.T) {
	for rate, want := range map[int64]int64{0: 0, 1: 4, 13: 4, 15: 5, 100: 30, MaxRate: 30_000_000} {
		if got := BurstUnits(rate); got != want {
			t.Errorf("rate %d: %d units, want %d", rate, got, want)
		}
	}
}

// TestClockBackKeepsUnits checks that a clock that goes back neither adds nor takes units.
func TestClockBackKeepsUnits(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + 10*second
	h.Status(now)
	if n := acquireAll(h, start); n != BurstUnits(4) {
		t.Errorf("%d units after the clock went back, want %d", n, BurstUnits(4))
	}
	if n := acquireAll(h, now); n != 0 {
		t.Errorf("%d units more when the clock is where it was", n)
	}
}

// TestLeaseEnd checks that the extra ends with its lease to the microsecond, and that what it left unused ends with it.
func TestLeaseEnd(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 4, 1000, lease)
	if s := h.Status(start + lease - 1)[0]; s.Extra != 1000 {
		t.Errorf("extra %d before the end", s.Extra)
	}
	if s := h.Status(start + lease)[0]; s.Extra != 0 {
		t.Errorf("extra %d at the end", s.Extra)
	}
	if n := acquireAll(h, start+lease); n != BurstUnits(4) {
		t.Errorf("%d units after the lease, the floor's bucket holds %d", n, BurstUnits(4))
	}
}

// TestLeaseEndAtResponse checks that a grant whose lease has ended when its response comes has no extra.
func TestLeaseEndAtResponse(t *testing.T) {
	const lease = 5 * second
	for _, test := range []struct {
		name string
		late monotime.Micros // time of the response after the end of the lease
		want int64           // extra
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

// TestLeaseEndAfterClockBack checks that an extra that is granted after the clock went back ends with its lease all the
// same.
func TestLeaseEndAfterClockBack(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 4, 0, 0)
	h.Status(start + 10*second)
	grantNow(t, h, start, Grant{Epoch: 2, Floor: 4, Extra: 1000, Lease: lease})
	if s := h.Status(start + lease - 1)[0]; s.Extra != 1000 {
		t.Errorf("extra %d before the end", s.Extra)
	}
	if s := h.Status(start + lease)[0]; s.Extra != 0 {
		t.Errorf("extra %d at the end", s.Extra)
	}
}

// TestExtraYieldsUpToLeaseEnd checks that what the extra yields in the last moments of its lease can be acquired after
// it, as far as the floor's bucket holds it.
func TestExtraYieldsUpToLeaseEnd(t *testing.T) {
	const lease = 5 * second
	h := newGrantedHolder(t, 100, 1000, lease)
	acquireAll(h, start+lease-20*monotime.Millisecond)
	if n := acquireAll(h, start+lease); n != 22 {
		t.Errorf("%d units of 20 ms at 1100 a second, want 22", n)
	}
}

// TestLongPauseDoesNotOverflow checks that a holder of the largest rate acquires units after a day, days and a year
// without acquisitions.
func TestLongPauseDoesNotOverflow(t *testing.T) {
	for _, pause := range []monotime.Micros{100_000 * second, 300_000 * second, 31_536_000 * second} {
		h := newGrantedHolder(t, MaxRate, 0, 0)
		if !h.TryAcquire(start+pause, 0) {
			t.Errorf("no unit can be acquired after %v", pause.Duration())
		}
	}
}

// TestNextGrantKeepsTokens checks that what the former rate has yielded until the next grant stays, as far as the new
// bucket holds it.
func TestNextGrantKeepsTokens(t *testing.T) {
	h := newGrantedHolder(t, 4, 0, 0)
	now := start + second/2
	grantNow(t, h, now, Grant{Epoch: 2, Floor: 100})
	if n := acquireAll(h, now); n != 2 {
		t.Errorf("%d units of half a second at 4, want 2", n)
	}

	h = newGrantedHolder(t, 1000, 0, 0)
	now = start + 10*second
	grantNow(t, h, now, Grant{Epoch: 2, Floor: 4})
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units at once, the new bucket holds %d", n, BurstUnits(4))
	}
}

// TestRelease checks that nothing is acquired after the release, and not at the same instant either.
func TestRelease(t *testing.T) {
	h := newGrantedHolder(t, 4, 100, 100*second)
	now := start + 10*second
	h.Status(now)
	h.Release(now)
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("%+v is still held at once", s)
	}
	if acquireAll(h, now) != 0 || acquireAll(h, now+second) != 0 {
		t.Error("a unit was acquired after the release")
	}
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("%+v is still held", s)
	}
}
