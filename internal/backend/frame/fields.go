package frame

import (
	"encoding/binary"
	"math"
	"strconv"

	"milletbarrow/monotime"
)

// Names of the fields of an invocation.
const (
	fieldOperation      = "class"
	fieldID             = "id"
	fieldArrivedAt      = "at" // Unix time in milliseconds
	fieldEdgeNode       = "from"
	fieldTenant         = "tenant"
	fieldCallerTimeout  = "wait" // milliseconds
	fieldRetry          = "retry"
	fieldExpectedWork   = "cost" // milliseconds
	fieldMemory         = "kb"
	fieldPriority       = "rank"
	fieldKey            = "key" // not used by the backend
	fieldIdempotencyKey = "once"
)

// Names of the fields of an answer.
const (
	fieldRetryAfter = "after" // milliseconds
	fieldDontRetry  = "last"
)

// trueValue is the value of a field that is a flag.
const trueValue = "1"

const (
	countSize      = 1 // bytes of the number of fields
	nameLengthSize = 1 // bytes of the length of a name
	valueSizeSize  = 2 // bytes of the length of a value
	maxDigits      = 32
	decimal        = 10
	floatBits      = 64
)

// maxMicros is the longest time that a field can state, about a thousand years. Longer ones are cut off there.
const maxMicros = 1 << 55

// eachField calls do for each field and returns the bytes after the last one. An error is ErrTruncated, or a
// *FieldError that wraps the error of do.
func eachField(p []byte, do func(name, value []byte) error) ([]byte, error) {
	if len(p) < countSize {
		return nil, ErrTruncated
	}
	count := int(p[0])
	p = p[countSize:]
	for range count {
		if len(p) < nameLengthSize || len(p) < nameLengthSize+int(p[0])+valueSizeSize {
			return nil, ErrTruncated
		}
		name := p[nameLengthSize : nameLengthSize+int(p[0])]
		p = p[nameLengthSize+len(name):]
		size := int(binary.BigEndian.Uint16(p))
		p = p[valueSizeSize:]
		if len(p) < size {
			return nil, ErrTruncated
		}
		if err := do(name, p[:size]); err != nil {
			return nil, &FieldError{Field: string(name), Err: err}
		}
		p = p[size:]
	}
	return p, nil
}

// ReadFields checks the fields of a frame that has no body.
func ReadFields(p []byte) error {
	_, err := eachField(p, func(_, _ []byte) error { return nil })
	return err
}

// fieldWriter appends fields to a frame and counts them.
type fieldWriter struct {
	frame   []byte
	countAt int // index of the number of fields
}

// beginFields appends a number of fields of 0.
func beginFields(to []byte) fieldWriter { return fieldWriter{frame: append(to, 0), countAt: len(to)} }

// add appends a field.
func (w *fieldWriter) add(name string, value []byte) {
	w.frame = append(w.frame, byte(len(name)))
	w.frame = append(w.frame, name...)
	w.frame = binary.BigEndian.AppendUint16(w.frame, uint16(len(value)))
	w.frame = append(w.frame, value...)
	w.frame[w.countAt]++
}

// number parses decimal digits with at most one point. An error is ErrNotNumber, or ErrOutOfRange for a number above
// maximum.
func number(value []byte, maximum float64) (float64, error) {
	if len(value) == 0 || len(value) > maxDigits {
		return 0, ErrNotNumber
	}
	for _, char := range value {
		if (char < '0' || char > '9') && char != '.' {
			return 0, ErrNotNumber
		}
	}
	x, err := strconv.ParseFloat(string(value), floatBits)
	if err != nil {
		return 0, ErrNotNumber
	}
	if x > maximum {
		return 0, ErrOutOfRange
	}
	return x, nil
}

// millis parses a time in milliseconds.
func millis(value []byte) (monotime.Micros, error) {
	ms, err := number(value, math.Inf(1))
	return monotime.Micros(math.Round(min(ms*float64(monotime.Millisecond), maxMicros))), err
}
