package frame

import (
	"bytes"
	"testing"

	"milletbarrow/monotime"

	"pgregory.net/rapid"
)

// TestCallerAndBackendAgree: a backend reads what a caller has written, and the other way round; no part of a frame is mistaken
// for a complete one.
func TestCallerAndBackendAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := OutgoingInvocation{
			Operation: rapid.StringMatching(`[a-z-]{1,20}`).Draw(t, "operation"), ID: rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id"),
			Tenant: rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "tenant"), At: rapid.Int64Range(0, 3e13).Draw(t, "at"),
			Wait: monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "wait")), Retry: rapid.Bool().Draw(t, "retry"),
			Work: monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "work")), KB: 20, Rank: 0.25, Body: rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body"),
		}
		text := AppendInvocation(nil, 7, &a)
		for cut := range len(text) {
			if _, _, size, err := SplitFrame(text[:cut], 262_144); size != 0 || err != nil {
				t.Fatalf("cut at %d: took %d, %v", cut, size, err)
			}
		}
		h, p, size, err := SplitFrame(append(text, "more"...), 262_144)
		if err != nil || size != len(text) || h.Kind != KindInvocation || h.Stream != 7 {
			t.Fatalf("%+v, took %d of %d, %v", h, size, len(text), err)
		}
		in, err := ReadInvocation(p, 2<<10)
		if err != nil {
			t.Fatal(err)
		}
		if string(in.Operation) != a.Operation || string(in.ID) != a.ID || string(in.Tenant) != a.Tenant || in.At != monotime.Micros(a.At)*1000 ||
			in.Wait != a.Wait || in.Retry != a.Retry || in.Work != a.Work || in.Rank != a.Rank || !bytes.Equal(in.Body, a.Body) {
			t.Fatalf("wrote %+v, read %+v", a, in)
		}
		after := monotime.Micros(rapid.Int64Range(0, 1e6).Draw(t, "after")) * 1000
		last := rapid.Bool().Draw(t, "last")
		_, p, _, err = SplitFrame(AppendAnswer(nil, 7, Throttled, after, last, a.Body), 262_144)
		if err != nil {
			t.Fatal(err)
		}
		if ans, err := ReadAnswer(p); err != nil || ans.Code != Throttled || ans.After != after || ans.Last != last || !bytes.Equal(ans.Body, a.Body) {
			t.Fatalf("%+v, %v", ans, err)
		}
	})
}

// FuzzReadAnswer: no input makes ReadAnswer panic.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte{1, 0})
	f.Add([]byte{2, 1, 5, 'a', 'f', 't', 'e', 'r', 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, p []byte) {
		if a, err := ReadAnswer(p); err == nil && len(a.Body) > len(p) {
			t.Error("a body longer than the frame")
		}
	})
}
