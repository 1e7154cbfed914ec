// Package frame encodes and decodes the binary frames of edge nodes. It works on byte slices and does no I/O; decoded values are
// slices of the input.
package frame

import (
	"encoding/binary"
	"math"
	"strconv"

	"milletbarrow/monotime"
)

// Kind is the type of a frame.
type Kind byte

// The frame types.
const (
	KindInvocation   Kind = 10
	KindAnswer       Kind = 11
	KindCancel       Kind = 12
	KindHealthCheck  Kind = 20
	KindHealthAnswer Kind = 21
	KindGoAway       Kind = 30
)

// Code is the result code of an answer.
type Code byte

// The result codes; a health check is answered with Succeeded for good and Errored for bad.
const (
	Succeeded Code = 1
	Throttled Code = 2
	Errored   Code = 3
)

const (
	lengthSize = 4
	headerSize = lengthSize + 1 + 4
	minLength  = headerSize - lengthSize
	maxKB      = 2000
	idSize     = 16
)

// Header is the fixed beginning of a frame.
type Header struct {
	Kind    Kind
	Stream  uint32
	Payload int // bytes that follow the header
}

// LengthSize and HeaderSize are the sizes in bytes of what Length and ReadHeader decode.
const (
	LengthSize = lengthSize
	HeaderSize = headerSize
)

// Length decodes the length of a frame: how many bytes follow the length itself. The error is a *LengthError.
func Length(b []byte, maxLength int) (int, error) {
	n := binary.BigEndian.Uint32(b)
	if n < minLength || int64(n) > int64(maxLength) {
		return 0, &LengthError{Length: n}
	}
	return int(n), nil
}

// ReadHeader decodes a header whose length was checked by Length.
func ReadHeader(b []byte) Header {
	return Header{
		Kind: Kind(b[lengthSize]), Stream: binary.BigEndian.Uint32(b[lengthSize+1:]),
		Payload: int(binary.BigEndian.Uint32(b)) - minLength,
	}
}

// Invocation is the payload of an invocation's frame, in slices of that frame.
type Invocation struct {
	Operation, ID, Tenant  []byte
	IdempotencyKey         []byte          // the same in all attempts at one piece of work; empty: not given
	At                     monotime.Micros // when it reached the host, Unix time
	Wait                   monotime.Micros // how long its caller waits from then, if HasWait
	HasWait, Retry, HasKey bool
	Work                   monotime.Micros // expected, on one core; 0 if not given
	KB, Rank               float64
	Body                   []byte
}

// fieldSet is the set of fields seen, to find those that are missing or duplicate.
type fieldSet uint16

const (
	hasClass fieldSet = 1 << iota
	hasID
	hasAt
	hasFrom
	hasTenant
	hasWait
	hasRetry
	hasCost
	hasKB
	hasRank
	hasKey
	hasOnce
	requiredFields = hasClass | hasID | hasAt | hasKB | hasRank
)

// ReadInvocation decodes the payload of an invocation's frame; its slices are of p. Unknown fields are skipped. The error is
// ErrTruncated, ErrMissingField, a *FieldError or a *BodySizeError.
func ReadInvocation(p []byte, maxBody int) (Invocation, error) {
	var inv Invocation
	seen := fieldSet(0)
	rest, err := eachField(p, func(name, value []byte) error {
		bit, err := inv.setField(name, value)
		if err == nil && seen&bit != 0 {
			err = ErrDuplicateField
		}
		seen |= bit
		return err
	})
	switch {
	case err != nil:
		return inv, err
	case seen&requiredFields != requiredFields:
		return inv, ErrMissingField
	case len(rest) > maxBody:
		return inv, &BodySizeError{Size: len(rest)}
	}
	inv.Body = rest
	return inv, nil
}

// setField decodes one field and returns its bit; 0 for an unknown field.
func (inv *Invocation) setField(name, value []byte) (bit fieldSet, err error) {
	switch string(name) {
	case "class":
		bit, inv.Operation = hasClass, value
	case "id":
		bit, inv.ID = hasID, value
		if !isID(value) {
			err = ErrInvalidID
		}
	case "at":
		bit = hasAt
		inv.At, err = millis(value)
	case "from":
		bit = hasFrom
		_, err = number(value, math.MaxUint32)
	case "tenant":
		bit, inv.Tenant = hasTenant, value
	case "wait":
		bit, inv.HasWait = hasWait, true
		inv.Wait, err = millis(value)
	case "retry":
		bit = hasRetry
		inv.Retry = string(value) == "1"
	case "cost":
		bit = hasCost
		inv.Work, err = millis(value)
	case "kb":
		bit = hasKB
		if inv.KB, err = number(value, maxKB); err == nil && (inv.KB == 0 || inv.KB == maxKB) {
			err = ErrOutOfRange
		}
	case "rank":
		bit = hasRank
		if inv.Rank, err = number(value, 1); err == nil && inv.Rank == 1 {
			err = ErrOutOfRange
		}
	case "key":
		bit, inv.HasKey = hasKey, true
	case "once":
		bit, inv.IdempotencyKey = hasOnce, value
	}
	return bit, err
}

// ReadFields checks the fields of a frame that has no body.
func ReadFields(p []byte) error {
	_, err := eachField(p, func(_, _ []byte) error { return nil })
	return err
}

// eachField calls do for each field and returns the bytes after the last one.
func eachField(p []byte, do func(name, value []byte) error) ([]byte, error) {
	if len(p) < 1 {
		return nil, ErrTruncated
	}
	count, p := int(p[0]), p[1:]
	for range count {
		if len(p) < 1 || len(p) < 1+int(p[0])+2 {
			return nil, ErrTruncated
		}
		name := p[1 : 1+int(p[0])]
		p = p[1+len(name):]
		size := int(binary.BigEndian.Uint16(p))
		if len(p) < 2+size {
			return nil, ErrTruncated
		}
		if err := do(name, p[2:2+size]); err != nil {
			return nil, &FieldError{Field: string(name), Err: err}
		}
		p = p[2+size:]
	}
	return p, nil
}

func isID(b []byte) bool {
	for _, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(b) == idSize
}

// number parses decimal digits with at most one point. The error is ErrNotNumber, or ErrOutOfRange beyond maximum.
func number(b []byte, maximum float64) (float64, error) {
	if len(b) == 0 || len(b) > 32 {
		return 0, ErrNotNumber
	}
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, ErrNotNumber
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	if err != nil {
		return 0, ErrNotNumber
	}
	if x > maximum {
		return 0, ErrOutOfRange
	}
	return x, nil
}

// millis parses a time in milliseconds; longer ones than about a thousand years are cut to that.
func millis(b []byte) (monotime.Micros, error) {
	x, err := number(b, math.Inf(1))
	return monotime.Micros(math.Round(min(x*1000, 1<<55))), err
}

// AppendAnswer appends an answer. after is the Retry-After of this backend, in whole milliseconds, rounded up; last tells the edge
// node not to retry elsewhere either. Zero values are left out.
func AppendAnswer(to []byte, stream uint32, code Code, after monotime.Micros, last bool, body []byte) []byte {
	to, start := begin(to, KindAnswer, stream)
	to = append(to, byte(code), 0)
	count := len(to) - 1
	if after > 0 {
		var digits [20]byte
		to = appendField(to, "after", strconv.AppendInt(digits[:0], int64((after+999)/1000), 10))
		to[count]++
	}
	if last {
		to = appendField(to, "last", []byte("1"))
		to[count]++
	}
	return end(append(to, body...), start)
}

// AppendError appends an error that belongs to no stream.
func AppendError(to []byte, text string) []byte {
	return AppendAnswer(to, 0, Errored, 0, false, []byte(text))
}

// AppendHealthAnswer appends the answer to a health check.
func AppendHealthAnswer(to []byte, stream uint32, good bool) []byte {
	code := Errored
	if good {
		code = Succeeded
	}
	to, start := begin(to, KindHealthAnswer, stream)
	return end(append(to, byte(code), 0), start)
}

// AppendGoAway appends a frame that asks for no more invocations on its connection.
func AppendGoAway(to []byte) []byte {
	to, start := begin(to, KindGoAway, 0)
	return end(to, start)
}

// begin appends a header without its length, and returns where the frame starts.
func begin(to []byte, kind Kind, stream uint32) ([]byte, int) {
	start := len(to)
	to = append(to, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint32(to, stream), start
}

// end sets the length of the frame that starts there.
func end(to []byte, start int) []byte {
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-lengthSize))
	return to
}

func appendField(to []byte, name string, value []byte) []byte {
	to = append(append(to, byte(len(name))), name...)
	return append(binary.BigEndian.AppendUint16(to, uint16(len(value))), value...)
}
