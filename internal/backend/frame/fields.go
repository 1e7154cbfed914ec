package frame

import (
	"encoding/binary"
	"math"
	"strconv"

	"milletbarrow/monotime"
)

// Wire names of the fields of an invocation.
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
	fieldKey            = "key" // ignored by the backend
	fieldIdempotencyKey = "once"
)

// Wire names of the fields of an answer.
const (
	fieldRetryAfter = "after" // milliseconds
	fieldDontRetry  = "last"
)

// trueValue is the value of a flag field that is set.
const trueValue = "1"

const (
	fieldCountSize  = 1 // bytes that encode the number of fields
	nameLengthSize  = 1 // bytes that encode the length of a name
	valueLengthSize = 2 // bytes that encode the length of a value
	maxNumberDigits = 32
	decimalBase     = 10
	floatBits       = 64
)

// maxMicros limits a time or duration in a field to about a thousand years. Longer ones are reduced to it.
const maxMicros = 1 << 55

// forEachField calls do for each field and returns the bytes after the last field. Any error is ErrTruncated, or a
// *FieldError that wraps the error of do.
func forEachField(p []byte, do func(name, value []byte) error) ([]byte, error) {
	if len(p) < fieldCountSize {
		return nil, ErrTruncated
	}
	count := int(p[0])
	p = p[fieldCountSize:]
	for range count {
		if len(p) < nameLengthSize || len(p) < nameLengthSize+int(p[0])+valueLengthSize {
			return nil, ErrTruncated
		}
		name := p[nameLengthSize : nameLengthSize+int(p[0])]
		p = p[nameLengthSize+len(name):]
		size := int(binary.BigEndian.Uint16(p))
		p = p[valueLengthSize:]
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

// ReadFields validates the encoding of the fields of a frame that has no body.
func ReadFields(p []byte) error {
	_, err := forEachField(p, func(_, _ []byte) error { return nil })
	return err
}

// fieldWriter appends fields to a frame and counts them.
type fieldWriter struct {
	frame       []byte
	countOffset int // index of the number of fields in frame
}

// beginFields appends a field count of 0 and returns a writer that adds fields after it.
func beginFields(to []byte) fieldWriter {
	return fieldWriter{frame: append(to, 0), countOffset: len(to)}
}

// add appends a field and increments the field count.
func (w *fieldWriter) add(name string, value []byte) {
	w.frame = append(w.frame, byte(len(name)))
	w.frame = append(w.frame, name...)
	w.frame = binary.BigEndian.AppendUint16(w.frame, uint16(len(value)))
	w.frame = append(w.frame, value...)
	w.frame[w.countOffset]++
}

// parseNumber parses decimal digits with at most one decimal point. Any error is ErrNotNumber, or ErrOutOfRange for a
// number above maximum.
func parseNumber(value []byte, maximum float64) (float64, error) {
	if len(value) == 0 || len(value) > maxNumberDigits {
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

// parseMillis parses a time or duration in milliseconds.
func parseMillis(value []byte) (monotime.Micros, error) {
	ms, err := parseNumber(value, math.Inf(1))
	return monotime.Micros(math.Round(min(ms*float64(monotime.Millisecond), maxMicros))), err
}
