package quota

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestAcquireWithinGrant checks that a holder acquires no unit before its first grant and, with refunds and a delayed
// response, no more than the yield of floor and lease plus a full bucket.
func TestAcquireWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := int64(rapid.IntRange(0, 500).Draw(t, "floor"))
		extra := int64(rapid.IntRange(0, 500).Draw(t, "extra"))
		lease := monotime.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "lease"))
		h := newHolder()
		now := start
		for range 3 {
			if h.TryAcquire(now, 0) {
				t.Fatal("a unit was acquired before the first grant")
			}
			now += 100 * monotime.Millisecond
		}
		request := h.NewRequest(now)
		leaseEnd := now + lease
		now += monotime.Micros(rapid.IntRange(0, 4_000_000).Draw(t, "response after"))
		grant := Grant{Budget: testBudget, Epoch: 5, Floor: floor, Extra: extra, Lease: lease}
		if err := h.Apply(now, responseTo(request, grant)); err != nil {
			t.Fatal(err)
		}
		grantedAt := now
		acquired := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "units") {
			now += monotime.Micros(rapid.IntRange(0, 60_000).Draw(t, "step"))
			if h.TryAcquire(now, 0) {
				acquired++
			}
			if acquired > 0 && rapid.IntRange(0, 3).Draw(t, "refunded") == 0 {
				h.Refund(now, 0)
				acquired--
			}
			if counted := h.Status(now)[0].Drawn; counted < acquired {
				t.Fatalf("%d units counted as acquired, want at least %d", counted, acquired)
			}
			leased := max(0, min(now, leaseEnd)-grantedAt)
			yield := (int64(now-grantedAt)*floor + int64(leased)*extra) / microUnits
			if limit := yield + BurstUnits(floor+extra) + 1; acquired > limit {
				t.Fatalf("%d units acquired, want at most %d", acquired, limit)
			}
			if s := h.Status(now)[0]; now >= leaseEnd && s.Extra != 0 {
				t.Fatalf("extra still in force %d us after the end of its lease", now-leaseEnd)
			}
		}
	})
}

// TestInvalidResponseIsRefused checks that a response that may not be applied changes nothing, and that the error wraps
// the reason.
func TestInvalidResponseIsRefused(t *testing.T) {
	h := newHolder()
	request := h.NewRequest(10)
	inForce := Grant{Budget: testBudget, Epoch: 7, Floor: 1, Extra: 5, Lease: 1000}
	if err := h.Apply(20, responseTo(request, inForce)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		change func(response *LeaseResponse, grant *Grant) // makes a valid response invalid
		reason error
		text   string
	}{
		{
			"another incarnation",
			func(response *LeaseResponse, _ *Grant) { response.Incarnation = "2" },
			ErrWrongHolder, "response for n, incarnation 2: this is n, incarnation 1",
		},
		{
			"another name",
			func(response *LeaseResponse, _ *Grant) { response.Name = "m" },
			ErrWrongHolder, "response for m, incarnation 1: this is n, incarnation 1",
		},
		{
			"unknown request",
			func(response *LeaseResponse, _ *Grant) { response.Number = 99 },
			ErrUnknownRequest, "response to request 99, which is not pending",
		},
		{
			"older epoch",
			func(_ *LeaseResponse, grant *Grant) { grant.Epoch = 6 },
			ErrStaleEpoch, "budget b: epoch 6, wanted above 7",
		},
		{
			"same epoch",
			func(_ *LeaseResponse, grant *Grant) { grant.Epoch = 7 },
			ErrStaleEpoch, "budget b: epoch 7, wanted above 7",
		},
		{
			"unknown budget",
			func(_ *LeaseResponse, grant *Grant) { grant.Budget = "c" },
			ErrUnknownBudget, `unknown budget "c"`,
		},
		{
			"negative extra",
			func(_ *LeaseResponse, grant *Grant) { grant.Extra = -9 },
			ErrOutOfBounds, "budget b: extra -9, wanted 0 to 100000000",
		},
		{
			"extra above the bound",
			func(_ *LeaseResponse, grant *Grant) { grant.Extra = MaxRate + 1 },
			ErrOutOfBounds, "budget b: extra 100000001, wanted 0 to 100000000",
		},
		{
			"negative floor",
			func(_ *LeaseResponse, grant *Grant) { grant.Floor = -1 },
			ErrOutOfBounds, "budget b: floor -1, wanted 0 to 100000000",
		},
		{
			"floor above the bound",
			func(_ *LeaseResponse, grant *Grant) { grant.Floor = MaxRate + 1 },
			ErrOutOfBounds, "budget b: floor 100000001, wanted 0 to 100000000",
		},
		{
			"negative lease",
			func(_ *LeaseResponse, grant *Grant) { grant.Lease = -1 },
			ErrOutOfBounds, "budget b: lease of -1 us, wanted at least 0",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			grant := Grant{Budget: testBudget, Epoch: 8, Floor: 1, Extra: 9, Lease: 1000}
			response := responseTo(request)
			test.change(&response, &grant)
			response.Grants = []Grant{grant}
			if err := h.Apply(30, response); !errors.Is(err, test.reason) || err.Error() != test.text {
				t.Errorf("error %v, want %s (%v)", err, test.text, test.reason)
			}
			if s := h.Status(30)[0]; s.Extra != 5 || s.Epoch != 7 {
				t.Fatalf("refused response changed the grant: %+v", s)
			}
		})
	}
}

// TestResponseToOldRequestIsRefused checks that a response is refused once more than maxPending later requests were
// made.
func TestResponseToOldRequestIsRefused(t *testing.T) {
	h := newHolder()
	request := h.NewRequest(10)
	for range maxPending + 1 {
		h.NewRequest(40)
	}
	grant := Grant{Budget: testBudget, Epoch: 8, Floor: 1, Extra: 9, Lease: 1000}
	if err := h.Apply(50, responseTo(request, grant)); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("error %v, want %v", err, ErrUnknownRequest)
	}
}

// TestNothingIsAcquiredAfterRelease checks that the floor yields no units after the release.
func TestNothingIsAcquiredAfterRelease(t *testing.T) {
	h := newHolder()
	grantNow(t, h, 10, Grant{Epoch: 7, Floor: 1, Extra: 5, Lease: 1000})
	if h.Release(60); h.TryAcquire(2*second, 0) {
		t.Error("a unit was acquired after the release")
	}
}

// TestResponseIsRefusedCompletely checks that no grant of a response is applied if one of them may not be.
func TestResponseIsRefusedCompletely(t *testing.T) {
	h := New(testName, testIncarnation, []string{"a", "b"})
	valid := Grant{Budget: "a", Epoch: 1, Floor: 1, Extra: 9, Lease: 1000}
	unknown := Grant{Budget: "c", Epoch: 1, Floor: 1, Extra: 9, Lease: 1000}
	if err := h.Apply(20, responseTo(h.NewRequest(10), valid, unknown)); !errors.Is(err, ErrUnknownBudget) {
		t.Fatal(err)
	}
	if s := h.Status(20)[0]; s.Epoch != 0 || s.Floor != 0 || s.Extra != 0 {
		t.Errorf("refused response was partly applied: %+v", s)
	}
}

// TestRequestNumbersGrow checks that each request has a higher number than the one before it, also after requests are
// no longer pending.
func TestRequestNumbersGrow(t *testing.T) {
	h := New(testName, testIncarnation, nil)
	last := uint64(0)
	for range 3 * maxPending {
		number := h.NewRequest(start).Number
		if number <= last {
			t.Fatalf("request number %d follows %d", number, last)
		}
		last = number
	}
}

func BenchmarkTryAcquire(b *testing.B) {
	const interval = 600 // microseconds
	h := newHolder()
	grant := Grant{Budget: testBudget, Epoch: 1, Floor: 1000, Extra: 1000, Lease: 1 << 40}
	if err := h.Apply(2, responseTo(h.NewRequest(1), grant)); err != nil {
		b.Fatal(err)
	}
	now := monotime.Micros(3)
	b.ReportAllocs()
	for b.Loop() {
		now += interval
		h.TryAcquire(now, 0)
	}
}
