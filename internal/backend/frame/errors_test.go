package frame

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

// TestErrorsAreTyped: callers can tell what is wrong with a frame, and with which field.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Length(binary.BigEndian.AppendUint32(nil, 4), 262_144)
	if length := new(LengthError); !errors.As(err, &length) || length.Length != 4 {
		t.Errorf("a length below that of a header: %v", err)
	}
	complete := fakes.EncodeFields(defaultFields()...)
	_, err = ReadInvocation([]byte(complete+strings.Repeat("x", maxBody+1)), maxBody)
	if size := new(BodySizeError); !errors.As(err, &size) || size.Size != maxBody+1 {
		t.Errorf("a body beyond the maximum: %v", err)
	}
	if _, err := ReadInvocation([]byte(complete[:40]), maxBody); !errors.Is(err, ErrTruncated) {
		t.Errorf("a truncated frame: %v", err)
	}
	if _, err := ReadInvocation([]byte(fakes.EncodeFields(defaultFields("class=")...)), maxBody); !errors.Is(err, ErrMissingField) {
		t.Errorf("a missing field: %v", err)
	}
	for _, c := range []struct {
		field string
		want  error
		edits []string
	}{
		{"id", ErrInvalidID, []string{"id=12"}}, {"at", ErrNotNumber, []string{"at=soon"}}, {"kb", ErrOutOfRange, []string{"kb=0"}},
		{"rank", ErrOutOfRange, []string{"rank=1"}},
	} {
		frame := []byte(fakes.EncodeFields(defaultFields(c.edits...)...))
		_, err := ReadInvocation(frame, maxBody)
		clear(frame) // the error outlives the buffer that the frame was read into
		if field := new(FieldError); !errors.As(err, &field) || field.Field != c.field || !errors.Is(err, c.want) {
			t.Errorf("%v: %v, want field %s, %v", c.edits, err, c.field, c.want)
		}
	}
	twice := fakes.EncodeFields(append(defaultFields(), "wait=9")...)
	if _, err := ReadInvocation([]byte(twice), maxBody); !errors.Is(err, ErrDuplicateField) {
		t.Errorf("a field twice: %v", err)
	}
}

// TestReadInvocationAllocations: a valid frame is read without any allocation.
func TestReadInvocationAllocations(t *testing.T) {
	frame := []byte(fakes.EncodeFields(defaultFields()...) + "body")
	if n := testing.AllocsPerRun(100, func() {
		if _, err := ReadInvocation(frame, maxBody); err != nil {
			t.Fatal(err)
		}
	}); n > 0 {
		t.Errorf("%v allocations for a valid frame", n)
	}
}
