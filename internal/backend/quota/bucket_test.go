package quota

import (
	"testing"

	"milletbarrow/monotime"

	"pgregory.net/rapid"
)

// start is when the holders of these tests are granted their first lease.
const start monotime.Micros = 1_000_000

// grant has a holder request and apply a grant at one time.
func grant(t testing.TB, h *Holder, now monotime.Micros, g Grant) {
	t.Helper()
	g.Budget = "b"
	request := h.NewRequest(now)
	if err := h.Apply(now, LeaseResponse{Name: "n", Incarnation: "1", Number: request.Number, Grants: []Grant{g}}); err != nil {
		t.Fatal(err)
	}
}

// granted is a holder with a grant from start on.
func granted(t testing.TB, floor, extra int64, lease monotime.Micros) *Holder {
	t.Helper()
	h := New("n", "1", []string{"b"})
	grant(t, h, start, Grant{Epoch: 1, Floor: floor, Extra: extra, Lease: lease})
	return h
}

// acquireAll acquires units at one time until one is denied.
func acquireAll(h *Holder, now monotime.Micros) (units int64) {
	for h.TryAcquire(now, 0) {
		units++
	}
	return units
}

// TestUsageCounts: denials are counted, and a refunded unit that is acquired again is counted once.
func TestUsageCounts(t *testing.T) {
	h := granted(t, 4, 0, 0)
	now := start + 10*microUnits
	acquireAll(h, now)
	h.Refund(now, 0)
	acquireAll(h, now)
	if s := h.Status(now)[0]; s.Drawn != 4 || s.Denied != 2 {
		t.Errorf("drawn %d, denied %d, wanted 4 and 2", s.Drawn, s.Denied)
	}
}

// TestRefundBounds: no more can be refunded than was acquired, nor does a bucket take more than it holds.
func TestRefundBounds(t *testing.T) {
	h := granted(t, 4, 0, 0)
	if h.Refund(start, 0); h.TryAcquire(start, 0) {
		t.Error("a unit was refunded that was never acquired")
	}
	now := start + 10*microUnits
	acquireAll(h, now)
	now += 10 * microUnits // full again
	for range 3 {
		h.Refund(now, 0)
	}
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units at once, a bucket holds %d", n, BurstUnits(4))
	}
}

// TestBucketNeverOverfull: however long a holder rests between acquisitions, it acquires at most a full bucket at once.
func TestBucketNeverOverfull(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Int64Range(1, 1000).Draw(rt, "rate")
		h := granted(t, rate, 0, 0)
		now := start
		for range rapid.IntRange(1, 8).Draw(rt, "rests") {
			now += monotime.Micros(rapid.Int64Range(0, 2*bucketSize(rate)/rate).Draw(rt, "rest"))
			for range rapid.IntRange(0, 3).Draw(rt, "units") {
				h.TryAcquire(now, 0)
			}
			if tokens := h.allotments[0].tokens; tokens < 0 || tokens > bucketSize(rate) {
				rt.Fatalf("%d micro-units in a bucket of %d", tokens, bucketSize(rate))
			}
		}
	})
}

// TestBucketSize: a bucket holds some units even at a low rate, and none without one.
func TestBucketSize(t *testing.T) {
	for rate, want := range map[int64]int64{0: 0, 1: 4, 13: 4, 15: 5, 100: 30, MaxRate: 30_000_000} {
		if got := BurstUnits(rate); got != want {
			t.Errorf("rate %d: %d units, wanted %d", rate, got, want)
		}
	}
}

// TestClockBack: a clock that goes back neither adds nor takes units.
func TestClockBack(t *testing.T) {
	h := granted(t, 4, 0, 0)
	now := start + 10*microUnits
	h.Status(now)
	if n := acquireAll(h, start); n != BurstUnits(4) {
		t.Errorf("%d units after the clock went back, wanted %d", n, BurstUnits(4))
	}
	if n := acquireAll(h, now); n != 0 {
		t.Errorf("%d units more when it is back", n)
	}
}

// TestLeaseEnd: the extra ends with its lease to the microsecond, and what it left unused ends with it.
func TestLeaseEnd(t *testing.T) {
	const lease = 5 * microUnits
	h := granted(t, 4, 1000, lease)
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

// TestLeaseEndAtResponse: a grant whose lease ends as its response comes has no extra.
func TestLeaseEndAtResponse(t *testing.T) {
	const lease = 5 * microUnits
	for late, want := range map[monotime.Micros]int64{-1: 1000, 0: 0, 1: 0} {
		h := New("n", "1", []string{"b"})
		request := h.NewRequest(start)
		now := start + lease + late
		grants := []Grant{{Budget: "b", Epoch: 1, Floor: 4, Extra: 1000, Lease: lease}}
		if err := h.Apply(now, LeaseResponse{Name: "n", Incarnation: "1", Number: request.Number, Grants: grants}); err != nil {
			t.Fatal(err)
		}
		if s := h.Status(now)[0]; s.Extra != want || s.Floor != 4 {
			t.Errorf("%d us after the lease: floor %d, extra %d, wanted 4 and %d", late, s.Floor, s.Extra, want)
		}
	}
}

// TestLeaseEndAfterClockBack: an extra that is granted after the clock went back ends with its lease all the same.
func TestLeaseEndAfterClockBack(t *testing.T) {
	const lease = 5 * microUnits
	h := granted(t, 4, 0, 0)
	h.Status(start + 10*microUnits)
	grant(t, h, start, Grant{Epoch: 2, Floor: 4, Extra: 1000, Lease: lease})
	if s := h.Status(start + lease - 1)[0]; s.Extra != 1000 {
		t.Errorf("extra %d before the end", s.Extra)
	}
	if s := h.Status(start + lease)[0]; s.Extra != 0 {
		t.Errorf("extra %d at the end", s.Extra)
	}
}

// TestExtraYieldsUpToLeaseEnd: what the extra yields in the last moments of its lease can be acquired after it, as far as
// the floor's bucket holds it.
func TestExtraYieldsUpToLeaseEnd(t *testing.T) {
	const lease = 5 * microUnits
	h := granted(t, 100, 1000, lease)
	acquireAll(h, start+lease-20_000)
	if n := acquireAll(h, start+lease); n != 22 {
		t.Errorf("%d units of 20 ms at 1100 a second, wanted 22", n)
	}
}

// TestLongRest: a holder of the largest rate that rests for a day and more acquires as before.
func TestLongRest(t *testing.T) {
	for _, rest := range []monotime.Micros{100_000_000_000, 300_000_000_000, 31_536_000_000_000} {
		h := granted(t, MaxRate, 0, 0)
		if !h.TryAcquire(start+rest, 0) {
			t.Errorf("nothing to acquire after %d us", rest)
		}
	}
}

// TestRequestNumbers: each request has a higher number than all before it.
func TestRequestNumbers(t *testing.T) {
	h := New("n", "1", nil)
	last := uint64(0)
	for range 3 * maxPending {
		if n := h.NewRequest(start).Number; n <= last {
			t.Fatalf("request %d after %d", n, last)
		} else {
			last = n
		}
	}
}

// TestNextGrant: what the old rate has yielded until the next grant stays, as far as the new bucket holds it.
func TestNextGrant(t *testing.T) {
	h := granted(t, 4, 0, 0)
	now := start + microUnits/2
	grant(t, h, now, Grant{Epoch: 2, Floor: 100})
	if n := acquireAll(h, now); n != 2 {
		t.Errorf("%d units of half a second at 4, wanted 2", n)
	}

	h = granted(t, 1000, 0, 0)
	now = start + 10*microUnits
	grant(t, h, now, Grant{Epoch: 2, Floor: 4})
	if n := acquireAll(h, now); n != BurstUnits(4) {
		t.Errorf("%d units at once, the new bucket holds %d", n, BurstUnits(4))
	}
}

// TestRelease: nothing is acquired after the release, at the same instant neither.
func TestRelease(t *testing.T) {
	h := granted(t, 4, 100, 100*microUnits)
	now := start + 10*microUnits
	h.Status(now)
	h.Release(now)
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("%+v is still held at once", s)
	}
	if acquireAll(h, now) != 0 || acquireAll(h, now+microUnits) != 0 {
		t.Error("a unit was acquired after the release")
	}
	if s := h.Status(now)[0]; s.Floor != 0 || s.Extra != 0 || s.Until != now {
		t.Errorf("%+v is still held", s)
	}
}
