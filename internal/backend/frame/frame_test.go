package frame

import (
	"encoding/binary"
	"errors"
	"testing"

	"milletbarrow/internal/fakes"
)

// Lengths and headers are decoded, and answers are encoded, as the protocol specifies.
func TestLengthsAndAnswersMatchProtocol(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, n := range []uint32{0, 4, 5, maxLength, maxLength + 1, 1<<32 - 1} {
		length, err := Length(binary.BigEndian.AppendUint32(nil, n), maxLength)
		tr.Say("length %d: %d %v", n, length, err)
	}
	tr.Say("%x", AppendAnswer(nil, 7, Succeeded, 0, false, []byte("result")))
	tr.Say("%x", AppendAnswer(nil, 7, Throttled, 250_001, true, nil))
	tr.Say("%x", AppendAnswer(nil, 8, Errored, 0, false, nil))
	tr.Say("%x", AppendHealthAnswer(nil, 3, true))
	tr.Say("%x", AppendHealthAnswer(nil, 3, false))
	tr.Say("%x", AppendGoAway(nil))
	tr.Say("%x", AppendError([]byte("before"), "odd"))
	tr.Say("%+v", ReadHeader([]byte(fakes.EncodeFrame(12, 9, "ab"))))
	tr.Say("fields without a body: %v, truncated: %v",
		ReadFields([]byte(fakes.EncodeFields("a=b"))), ReadFields([]byte{1, 1, 'a', 0}))
}

// A length below that of a header is a *LengthError.
func TestLengthBelowHeaderIsRefused(t *testing.T) {
	_, err := Length(binary.BigEndian.AppendUint32(nil, 4), maxLength)
	var length *LengthError
	if !errors.As(err, &length) || length.Length != 4 {
		t.Errorf("%v, want a *LengthError of 4", err)
	}
}
