// Package frame reads and writes the binary frames of edge nodes. It works on byte slices and does no I/O;
// what it reads are slices of what it was given.
package frame

import (
	"encoding/binary"
	"math"
	"strconv"

	"milletbarrow/admission"
)

// Kind is the type of a frame.
type Kind byte

// The types that exist.
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

// The codes of answers; a health check is answered by Succeeded for good and Errored for bad.
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
	Payload int // bytes that follow the head
}

// LengthSize and HeaderSize are how many bytes Length and ReadHeader need.
const (
	LengthSize = lengthSize
	HeaderSize = headerSize
)

// Length reads the border of a frame: how many bytes follow the length itself.
func Length(b []byte, maxLength int) (int, error) {
	n := binary.BigEndian.Uint32(b)
	if n < minLength || int64(n) > int64(maxLength) {
		return 0, &LengthError{Length: n}
	}
	return int(n), nil
}

// ReadHeader reads a head whose length has been found sound.
func ReadHeader(b []byte) Header {
	return Header{
		Kind: Kind(b[lengthSize]), Stream: binary.BigEndian.Uint32(b[lengthSize+1:]),
		Payload: int(binary.BigEndian.Uint32(b)) - minLength,
	}
}

// Invocation is the content of an invocation's frame, in slices of that frame.
type Invocation struct {
	Operation, ID, Tenant  []byte
	IdempotencyKey         []byte           // the same in all attempts at one piece of work; empty: not given
	At                     admission.Micros // when it reached the machine, Unix time
	Wait                   admission.Micros // its caller waits so long from then, if HasWait
	HasWait, Retry, HasKey bool
	Work                   admission.Micros // expected, on one core; 0 if not given
	KB, Rank               float64
	Body                   []byte
}

// fieldSet marks the fields seen, to find those that are missing or stand twice.
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

// ReadInvocation reads the payload of an invocation's frame. Fields that it does not know are skipped. Its slices are of p.
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

// setField reads one field and returns its bit; 0 for a field that is not known.
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

// ReadFields checks the fields of a frame that has nothing else.
func ReadFields(p []byte) error {
	_, err := eachField(p, func(_, _ []byte) error { return nil })
	return err
}

// eachField calls do for each field and returns what follows the last.
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

// number reads plain decimal digits with at most one point; what is beyond most is out of range.
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

// millis reads a time in milliseconds; longer ones than a million years are cut to that.
func millis(b []byte) (admission.Micros, error) {
	x, err := number(b, math.Inf(1))
	return admission.Micros(math.Round(min(x*1000, 1<<55))), err
}

// AppendAnswer writes an answer. After tells the edge node to keep away for so long, last to try no other
// backend; zero values are left out. Times go out in whole milliseconds, rounded up.
func AppendAnswer(to []byte, stream uint32, code Code, after admission.Micros, last bool, body []byte) []byte {
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

// AppendError tells of an error that belongs to no invocation.
func AppendError(to []byte, text string) []byte {
	return AppendAnswer(to, 0, Errored, 0, false, []byte(text))
}

// AppendHealthAnswer answers a health check.
func AppendHealthAnswer(to []byte, stream uint32, good bool) []byte {
	code := Errored
	if good {
		code = Succeeded
	}
	to, start := begin(to, KindHealthAnswer, stream)
	return end(append(to, byte(code), 0), start)
}

// AppendGoAway asks for no further invocation on a connection.
func AppendGoAway(to []byte) []byte {
	to, start := begin(to, KindGoAway, 0)
	return end(to, start)
}

func begin(to []byte, kind Kind, stream uint32) ([]byte, int) {
	start := len(to)
	to = append(to, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint32(to, stream), start
}

func end(to []byte, start int) []byte {
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-lengthSize))
	return to
}

func appendField(to []byte, name string, value []byte) []byte {
	to = append(append(to, byte(len(name))), name...)
	return append(binary.BigEndian.AppendUint16(to, uint16(len(value))), value...)
}
