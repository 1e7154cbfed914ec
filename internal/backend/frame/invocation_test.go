package frame

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

// Each field of an invocation is decoded, invalid values are rejected, and required fields must be present.
func TestReadInvocationDecodesOrRejectsFields(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, test := range []struct {
		name  string
		edits []string
	}{
		{"default", nil},
		{"retry", []string{"retry=1"}},
		{"key", []string{"key=7f3a9c21e0b4d655"}},
		{"no expected work", []string{"cost="}},
		{"no tenant", []string{"tenant="}},
		{"unknown field", []string{"unknown=value"}},
		{"wait of zero", []string{"wait=0"}},
		{"huge wait", []string{"wait=99999999999999999999"}},
		{"no class", []string{"class="}},
		{"no id", []string{"id="}},
		{"no at", []string{"at="}},
		{"no wait", []string{"wait="}},
		{"no kb", []string{"kb="}},
		{"no rank", []string{"rank="}},
		{"short id", []string{"id=12"}},
		{"id with a line end", []string{"id=0123456789abcd\r\n"}},
		{"at is no number", []string{"at=soon"}},
		{"negative wait", []string{"wait=-5"}},
		{"hexadecimal wait", []string{"wait=0x5"}},
		{"wait with two points", []string{"wait=1.2.3"}},
		{"rank of one", []string{"rank=1"}},
		{"rank is NaN", []string{"rank=NaN"}},
		{"no memory", []string{"kb=0"}},
		{"too much memory", []string{"kb=2000"}},
		{"from is no number", []string{"from=x"}},
		{"cost is no number", []string{"cost=1e3"}},
	} {
		payload := []byte(invocationFields(test.edits...) + "the body")
		tr.Say("%s: %s", test.name, formatInvocation(ReadInvocation(payload, maxBody)))
	}
	twice := []byte(fakes.EncodeFields(append(defaultFields(), "wait=9")...))
	tr.Say("duplicate field: %s", formatInvocation(ReadInvocation(twice, maxBody)))
	complete := invocationFields()
	for _, size := range []int{0, maxBody, maxBody + 1} {
		payload := []byte(complete + strings.Repeat("x", size))
		tr.Say("body of %d: %.71s", size, formatInvocation(ReadInvocation(payload, maxBody)))
	}
	truncated := map[string]int{}
	for n := range len(complete) {
		_, err := ReadInvocation([]byte(complete[:n]), maxBody)
		truncated[fmt.Sprint(err)]++
	}
	tr.Say("truncated at each byte of %d: %v", len(complete), truncated)
}

// The error of an invalid invocation has its cause and the name of the field.
func TestReadInvocationReportsFieldAndCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		edit  string
		field string
		want  error
	}{
		{"missing field", "class=", "class", ErrMissingField},
		{"invalid ID", "id=12", "id", ErrInvalidID},
		{"not a number", "at=soon", "at", ErrNotNumber},
		{"no memory", "kb=0", "kb", ErrOutOfRange},
		{"priority out of range", "rank=1", "rank", ErrOutOfRange},
	} {
		t.Run(test.name, func(t *testing.T) {
			payload := []byte(invocationFields(test.edit))
			_, err := ReadInvocation(payload, maxBody)
			clear(payload) // the error must not refer to the payload, whose buffer is reused
			var field *FieldError
			if !errors.As(err, &field) || field.Field != test.field || !errors.Is(err, test.want) {
				t.Errorf("%v, want field %s, %v", err, test.field, test.want)
			}
		})
	}
	twice := []byte(fakes.EncodeFields(append(defaultFields(), "wait=9")...))
	if _, err := ReadInvocation(twice, maxBody); !errors.Is(err, ErrDuplicateField) {
		t.Errorf("a duplicate field: %v, want ErrDuplicateField", err)
	}
	complete := invocationFields()
	if _, err := ReadInvocation([]byte(complete[:40]), maxBody); !errors.Is(err, ErrTruncated) {
		t.Errorf("a truncated payload: %v, want ErrTruncated", err)
	}
	_, err := ReadInvocation([]byte(complete+strings.Repeat("x", maxBody+1)), maxBody)
	var size *BodySizeError
	if !errors.As(err, &size) || size.Size != maxBody+1 || size.Limit != maxBody {
		t.Errorf("a body above the maximum: %v, want a *BodySizeError", err)
	}
}

// A valid invocation is decoded without allocations.
func TestReadInvocationAllocatesNothing(t *testing.T) {
	payload := []byte(invocationFields() + "body")
	if n := testing.AllocsPerRun(100, func() {
		if _, err := ReadInvocation(payload, maxBody); err != nil {
			t.Fatal(err)
		}
	}); n > 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

// ReadInvocation does not modify the payload, and an accepted invocation is within the limits of the protocol.
func FuzzReadInvocation(f *testing.F) {
	complete := invocationFields("retry=1", "key=k")
	f.Add([]byte(complete + "body"))
	f.Add([]byte(complete[:40]))
	f.Add([]byte{255, 0, 0, 0})
	f.Fuzz(func(t *testing.T, payload []byte) {
		before := slices.Clone(payload)
		inv, err := ReadInvocation(payload, maxBody)
		if !bytes.Equal(payload, before) {
			t.Fatal("the payload was changed")
		}
		if err != nil {
			return
		}
		validTimes := inv.ArrivedAt >= 0 && inv.CallerTimeout >= 0 && inv.ExpectedWork >= 0
		validNumbers := inv.MemoryKB > 0 && inv.MemoryKB < 2000 && inv.Priority >= 0 && inv.Priority < 1
		validBody := len(inv.Body) <= maxBody && bytes.HasSuffix(payload, inv.Body)
		if !isInvocationID(inv.ID) || !validTimes || !validNumbers || !validBody {
			t.Fatalf("accepted: %s", formatInvocation(inv, err))
		}
	})
}
