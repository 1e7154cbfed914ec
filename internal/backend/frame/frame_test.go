package frame

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

const maxBody = 2048

func format(inv Invocation, err error) string {
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprintf("%s %s %s at %d wait %d retry %t keyed %t work %d kb %g rank %g body %.20q", inv.Operation, inv.ID,
		inv.Tenant, inv.At, inv.Wait, inv.Retry, inv.HasKey, inv.Work, inv.KB, inv.Rank, inv.Body)
}

func defaultFields(edits ...string) []string {
	return fakes.DefaultFields(0xa1, append([]string{"at=1764576000123"}, edits...)...)
}

func TestInvocations(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, c := range []struct {
		name  string
		edits []string
	}{
		{"as usual", nil}, {"retry", []string{"retry=1"}}, {"a key", []string{"key=7f3a9c21e0b4d655"}},
		{"no expected work", []string{"cost="}}, {"no tenant", []string{"tenant="}}, {"an unknown field", []string{"hue=red"}},
		{"wait of zero", []string{"wait=0"}}, {"huge wait", []string{"wait=99999999999999999999"}},
		{"no class", []string{"class="}}, {"no id", []string{"id="}}, {"no at", []string{"at="}},
		{"no wait", []string{"wait="}}, {"no kb", []string{"kb="}}, {"no rank", []string{"rank="}},
		{"short id", []string{"id=12"}}, {"id that would break a line", []string{"id=0123456789abcd\r\n"}},
		{"at is no number", []string{"at=soon"}}, {"negative wait", []string{"wait=-5"}}, {"wait of hex", []string{"wait=0x5"}},
		{"wait with two points", []string{"wait=1.2.3"}}, {"rank of one", []string{"rank=1"}}, {"rank is NaN", []string{"rank=NaN"}},
		{"no memory", []string{"kb=0"}}, {"too much memory", []string{"kb=2000"}}, {"from is no number", []string{"from=x"}},
		{"cost is no number", []string{"cost=1e3"}},
	} {
		tr.Say("%s: %s", c.name, format(ReadInvocation([]byte(fakes.EncodeFields(defaultFields(c.edits...)...)+"the body"), maxBody)))
	}
	twice := fakes.EncodeFields(append(defaultFields(), "wait=9")...)
	tr.Say("a field twice: %s", format(ReadInvocation([]byte(twice), maxBody)))
	complete := fakes.EncodeFields(defaultFields()...)
	for _, size := range []int{0, maxBody, maxBody + 1} {
		tr.Say("body of %d: %.60s", size, format(ReadInvocation([]byte(complete+strings.Repeat("x", size)), maxBody)))
	}
	cut := map[string]int{}
	for n := range len(complete) {
		_, err := ReadInvocation([]byte(complete[:n]), maxBody)
		cut[fmt.Sprint(err)]++
	}
	tr.Say("cut at every byte of %d: %v", len(complete), cut)
}

func TestLengthsAndAnswers(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, n := range []uint32{0, 4, 5, 262_144, 262_145, 1<<32 - 1} {
		size, err := Length(binary.BigEndian.AppendUint32(nil, n), 262_144)
		tr.Say("length %d: %d %v", n, size, err)
	}
	tr.Say("%x", AppendAnswer(nil, 7, Succeeded, 0, false, []byte("result")))
	tr.Say("%x", AppendAnswer(nil, 7, Throttled, 250_001, true, nil))
	tr.Say("%x", AppendAnswer(nil, 8, Errored, 0, false, nil))
	tr.Say("%x", AppendHealthAnswer(nil, 3, true))
	tr.Say("%x", AppendHealthAnswer(nil, 3, false))
	tr.Say("%x", AppendGoAway(nil))
	tr.Say("%x", AppendError([]byte("before"), "odd"))
	tr.Say("%+v", ReadHeader([]byte(fakes.EncodeFrame(12, 9, "ab"))))
	tr.Say("fields alone: %v, cut short: %v", ReadFields([]byte(fakes.EncodeFields("a=b"))), ReadFields([]byte{1, 1, 'a', 0}))
}

// FuzzReadInvocation: an accepted invocation is a slice of its payload and within the bounds of the protocol.
func FuzzReadInvocation(f *testing.F) {
	complete := fakes.EncodeFields(defaultFields("retry=1", "key=k")...)
	f.Add([]byte(complete + "body"))
	f.Add([]byte(complete[:40]))
	f.Add([]byte{255, 0, 0, 0})
	f.Fuzz(func(t *testing.T, p []byte) {
		before := slices.Clone(p)
		inv, err := ReadInvocation(p, maxBody)
		if !bytes.Equal(p, before) {
			t.Fatal("the payload was changed")
		}
		if err != nil {
			return
		}
		if !isID(inv.ID) || inv.At < 0 || inv.Wait < 0 || inv.Work < 0 || !(inv.KB > 0 && inv.KB < 2000) ||
			!(inv.Rank >= 0 && inv.Rank < 1) || len(inv.Body) > maxBody || !bytes.HasSuffix(p, inv.Body) {
			t.Fatalf("accepted: %s", format(inv, err))
		}
	})
}
