package quota

import (
	"errors"
	"testing"

	"milletbarrow/monotime"

	"pgregory.net/rapid"
)

// TestAcquireWithinGrant: a holder never acquires more than floor and lease allow, a full bucket apart.
func TestAcquireWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor, extra := int64(rapid.IntRange(0, 500).Draw(t, "floor")), int64(rapid.IntRange(0, 500).Draw(t, "extra"))
		lease := monotime.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "lease"))
		h := New("n", "1", []string{"b"})
		now := monotime.Micros(1_000_000)
		for range 3 {
			if h.TryAcquire(now, 0) {
				t.Fatal("a unit was acquired before the first grant")
			}
			now += 100_000
		}
		request := h.NewRequest(now)
		requestedAt := now
		now += monotime.Micros(rapid.IntRange(0, 4_000_000).Draw(t, "response after"))
		if err := h.Apply(now, LeaseResponse{Name: "n", Incarnation: "1", Number: request.Number, Grants: []Grant{{"b", 5, floor, extra, lease}}}); err != nil {
			t.Fatal(err)
		}
		grantedAt, acquired := now, int64(0)
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
				t.Fatalf("%d counted as acquired, %d were", counted, acquired)
			}
			leased := max(0, min(now, requestedAt+lease)-grantedAt)
			limit := (int64(now-grantedAt)*floor+int64(leased)*extra)/microUnits + BurstUnits(floor+extra) + 1
			if acquired > limit {
				t.Fatalf("acquired %d, at most %d are allowed", acquired, limit)
			}
			if s := h.Status(now)[0]; now >= requestedAt+lease && s.Extra != 0 {
				t.Fatalf("extra in force %d us after its lease", now-requestedAt-lease)
			}
		}
	})
}

// TestRefusedResponses: a response that may not be applied changes nothing, and the error has the reason.
func TestRefusedResponses(t *testing.T) {
	h := New("n", "1", []string{"b"})
	first := h.NewRequest(10)
	grants := func(epoch uint64, extra int64) []Grant { return []Grant{{"b", epoch, 1, extra, 1000}} }
	if err := h.Apply(20, LeaseResponse{"n", "1", first.Number, grants(7, 5), ""}); err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		name     string
		response LeaseResponse
		reason   error
		text     string
	}{
		{"another incarnation", LeaseResponse{"n", "2", first.Number, grants(8, 9), ""}, ErrWrongHolder, "life: the answer is for n 2, this is n 1"},
		{"another name", LeaseResponse{"m", "1", first.Number, grants(8, 9), ""}, ErrWrongHolder, "life: the answer is for m 1, this is n 1"},
		{"an older epoch", LeaseResponse{"n", "1", first.Number, grants(6, 9), ""}, ErrStaleEpoch, "epoch: 6 of b is not newer than 7"},
		{"the same epoch", LeaseResponse{"n", "1", first.Number, grants(7, 9), ""}, ErrStaleEpoch, "epoch: 7 of b is not newer than 7"},
		{"never requested", LeaseResponse{"n", "1", 99, grants(8, 9), ""}, ErrUnknownRequest, "number: 99 is none of the latest asks"},
		{"another budget", LeaseResponse{"n", "1", first.Number, []Grant{{"c", 8, 1, 9, 1000}}, ""}, ErrUnknownBudget,
			`budget: "c" is not drawn from here`},
		{"an extra below 0", LeaseResponse{"n", "1", first.Number, []Grant{{"b", 8, 1, -9, 1000}}, ""}, ErrOutOfBounds,
			"budget b: floor 1, extra -9 or lease 1000 is out of bounds"},
		{"too large a floor", LeaseResponse{"n", "1", first.Number, []Grant{{"b", 8, MaxRate + 1, 9, 1000}}, ""}, ErrOutOfBounds,
			"budget b: floor 100000001, extra 9 or lease 1000 is out of bounds"},
		{"a floor below 0", LeaseResponse{"n", "1", first.Number, []Grant{{"b", 8, -1, 9, 1000}}, ""}, ErrOutOfBounds,
			"budget b: floor -1, extra 9 or lease 1000 is out of bounds"},
		{"too large an extra", LeaseResponse{"n", "1", first.Number, []Grant{{"b", 8, 1, MaxRate + 1, 1000}}, ""}, ErrOutOfBounds,
			"budget b: floor 1, extra 100000001 or lease 1000 is out of bounds"},
		{"a lease below 0", LeaseResponse{"n", "1", first.Number, []Grant{{"b", 8, 1, 9, -1}}, ""}, ErrOutOfBounds,
			"budget b: floor 1, extra 9 or lease -1 is out of bounds"},
	} {
		if err := h.Apply(30, row.response); !errors.Is(err, row.reason) || err.Error() != row.text {
			t.Errorf("%s: %v, wanted %s", row.name, err, row.text)
		}
	}
	if s := h.Status(30)[0]; s.Extra != 5 || s.Epoch != 7 {
		t.Fatalf("changed by what was refused: %+v", s)
	}
	for range maxPending + 1 {
		h.NewRequest(40)
	}
	if err := h.Apply(50, LeaseResponse{"n", "1", first.Number, grants(8, 9), ""}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("a response to a forgotten request: %v", err)
	}
	if h.Release(60); h.TryAcquire(2_000_000, 0) {
		t.Error("a unit was acquired after the release")
	}
}

// TestRefusedAsAWhole: one grant that may not be applied keeps all grants of its response from being applied.
func TestRefusedAsAWhole(t *testing.T) {
	h := New("n", "1", []string{"a", "b"})
	request := h.NewRequest(10)
	grants := []Grant{{"a", 1, 1, 9, 1000}, {"c", 1, 1, 9, 1000}}
	if err := h.Apply(20, LeaseResponse{"n", "1", request.Number, grants, ""}); !errors.Is(err, ErrUnknownBudget) {
		t.Fatal(err)
	}
	if s := h.Status(20)[0]; s.Epoch != 0 || s.Floor != 0 || s.Extra != 0 {
		t.Errorf("half of a refused response was applied: %+v", s)
	}
}

func BenchmarkTryAcquire(b *testing.B) {
	h := New("n", "1", []string{"b"})
	a := h.NewRequest(1)
	if err := h.Apply(2, LeaseResponse{"n", "1", a.Number, []Grant{{"b", 1, 1000, 1000, 1 << 40}}, ""}); err != nil {
		b.Fatal(err)
	}
	now := monotime.Micros(3)
	b.ReportAllocs()
	for b.Loop() {
		now += 600
		h.TryAcquire(now, 0)
	}
}
