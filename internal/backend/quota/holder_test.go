package quota

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAcquireWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor, extra := int64(rapid.IntRange(0, 500).Draw(t, "floor")), int64(rapid.IntRange(0, 500).Draw(t, "extra"))
		lease := Micros(rapid.IntRange(1, 3_000_000).Draw(t, "lease"))
		h := New("n", "1", []string{"b"})
		now := Micros(1_000_000)
		for range 3 {
			if h.TryAcquire(now, 0) {
				t.Fatal("drawn before anything was granted")
			}
			now += 100_000
		}
		a := h.NewRequest(now)
		asked := now
		now += Micros(rapid.IntRange(0, 4_000_000).Draw(t, "answered after"))
		if err := h.Apply(now, LeaseResponse{Name: "n", Incarnation: "1", Number: a.Number, Grants: []Grant{{"b", 5, floor, extra, lease}}}); err != nil {
			t.Fatal(err)
		}
		// What is drawn from here never passes what floor and lease allow, a bucket ahead apart.
		began, drawn := now, int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "draws") {
			now += Micros(rapid.IntRange(0, 60_000).Draw(t, "step"))
			if h.TryAcquire(now, 0) {
				drawn++
			}
			if drawn > 0 && rapid.IntRange(0, 3).Draw(t, "given back") == 0 {
				h.Refund(now, 0)
				drawn--
			}
			if counted := h.Status(now)[0].Drawn; counted < drawn {
				t.Fatalf("%d counted as drawn, %d were", counted, drawn)
			}
			leased := max(0, min(now, asked+lease)-began)
			most := (int64(now-began)*floor+int64(leased)*extra)/microUnits + BurstUnits(floor+extra) + 1
			if drawn > most {
				t.Fatalf("drew %d, at most %d are allowed", drawn, most)
			}
			if v := h.Status(now)[0]; now >= asked+lease && v.Extra != 0 {
				t.Fatalf("extra in force %d us after its lease", now-asked-lease)
			}
		}
	})
}

func TestRefusedResponses(t *testing.T) {
	h := New("n", "1", []string{"b"})
	first := h.NewRequest(10)
	part := func(epoch uint64, extra int64) []Grant { return []Grant{{"b", epoch, 1, extra, 1000}} }
	if err := h.Apply(20, LeaseResponse{"n", "1", first.Number, part(7, 5), ""}); err != nil {
		t.Fatal(err)
	}
	for name, a := range map[string]LeaseResponse{
		"another incarnation": {"n", "2", first.Number, part(8, 9), ""},
		"an older epoch":      {"n", "1", first.Number, part(6, 9), ""},
		"the same epoch":      {"n", "1", first.Number, part(7, 9), ""},
		"never asked":         {"n", "1", 99, part(8, 9), ""},
		"another budget":      {"n", "1", first.Number, []Grant{{"c", 8, 1, 9, 1000}}, ""},
		"below nothing":       {"n", "1", first.Number, []Grant{{"b", 8, 1, -9, 1000}}, ""},
		"more than counts":    {"n", "1", first.Number, []Grant{{"b", 8, MaxRate + 1, 9, 1000}}, ""},
		"another name":        {"m", "1", first.Number, part(8, 9), ""},
		"a floor below 0":     {"n", "1", first.Number, []Grant{{"b", 8, -1, 9, 1000}}, ""},
		"too large extra":     {"n", "1", first.Number, []Grant{{"b", 8, 1, MaxRate + 1, 1000}}, ""},
		"a lease below 0":     {"n", "1", first.Number, []Grant{{"b", 8, 1, 9, -1}}, ""},
	} {
		if err := h.Apply(30, a); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
	if v := h.Status(30)[0]; v.Extra != 5 || v.Epoch != 7 {
		t.Fatalf("changed by what was refused: %+v", v)
	}
	for range maxPending + 1 {
		h.NewRequest(40)
	}
	if err := h.Apply(50, LeaseResponse{"n", "1", first.Number, part(8, 9), ""}); err == nil {
		t.Error("an answer to a forgotten ask was taken")
	}
	if h.Release(60); h.TryAcquire(2_000_000, 0) {
		t.Error("drawn after all was given back")
	}
}

func BenchmarkTryAcquire(b *testing.B) {
	h := New("n", "1", []string{"b"})
	a := h.NewRequest(1)
	if err := h.Apply(2, LeaseResponse{"n", "1", a.Number, []Grant{{"b", 1, 1000, 1000, 1 << 40}}, ""}); err != nil {
		b.Fatal(err)
	}
	now := Micros(3)
	b.ReportAllocs()
	for b.Loop() {
		now += 600
		h.TryAcquire(now, 0)
	}
}
