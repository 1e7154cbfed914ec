package frame

import (
	"strconv"

	"milletbarrow/monotime"
)

// This file has the caller's side of the codec, for the load generator and tests.

// OutgoingInvocation is an invocation to be written by its caller. Zero values of ExpectedWork, Tenant and Retry are
// left out.
type OutgoingInvocation struct {
	Operation     string
	ID            string // 16 hex digits
	Tenant        string
	ArrivedAt     int64           // Unix time in milliseconds
	CallerTimeout monotime.Micros // how long the caller waits, from ArrivedAt
	Retry         bool
	ExpectedWork  monotime.Micros // on one core
	MemoryKB      float64
	Priority      float64 // 0 to below 1
	Body          []byte
}

// Decimal places of the numbers in an invocation.
const (
	millisPlaces   = 3
	memoryPlaces   = 1
	priorityPlaces = 4
)

// AppendInvocation appends an invocation's frame.
func AppendInvocation(to []byte, stream uint32, inv *OutgoingInvocation) []byte {
	to, start := begin(to, KindInvocation, stream)
	fields := beginFields(to)
	var digits [maxDigits]byte
	decimals := func(x float64, places int) []byte {
		return strconv.AppendFloat(digits[:0], x, 'f', places, floatBits)
	}
	millis := func(span monotime.Micros) []byte {
		return decimals(float64(span)/float64(monotime.Millisecond), millisPlaces)
	}
	fields.add(fieldOperation, []byte(inv.Operation))
	fields.add(fieldID, []byte(inv.ID))
	fields.add(fieldArrivedAt, strconv.AppendInt(digits[:0], inv.ArrivedAt, decimal))
	if inv.Tenant != "" {
		fields.add(fieldTenant, []byte(inv.Tenant))
	}
	fields.add(fieldCallerTimeout, millis(inv.CallerTimeout))
	if inv.Retry {
		fields.add(fieldRetry, []byte(trueValue))
	}
	if inv.ExpectedWork > 0 {
		fields.add(fieldExpectedWork, millis(inv.ExpectedWork))
	}
	fields.add(fieldMemory, decimals(inv.MemoryKB, memoryPlaces))
	fields.add(fieldPriority, decimals(inv.Priority, priorityPlaces))
	return end(append(fields.frame, inv.Body...), start)
}

// Answer is a backend's answer to one invocation.
type Answer struct {
	Code       Code
	RetryAfter monotime.Micros // how long to send nothing to this backend; 0: no advice
	DontRetry  bool            // do not retry on another backend either
	Body       []byte          // a slice of the payload
}

// ReadAnswer decodes the payload of an answer's frame. An error is ErrTruncated or a *FieldError.
func ReadAnswer(p []byte) (answer Answer, err error) {
	const codeSize = 1
	if len(p) < codeSize+countSize {
		return answer, ErrTruncated
	}
	answer.Code = Code(p[0])
	answer.Body, err = eachField(p[codeSize:], func(name, value []byte) (err error) {
		switch string(name) {
		case fieldRetryAfter:
			answer.RetryAfter, err = wholeMillis(value)
		case fieldDontRetry:
			answer.DontRetry = true
		}
		return err
	})
	return answer, err
}

// wholeMillis parses a time in whole milliseconds.
func wholeMillis(value []byte) (monotime.Micros, error) {
	const bits = 32
	ms, err := strconv.ParseInt(string(value), decimal, bits)
	if err != nil {
		return 0, ErrNotNumber
	}
	if ms < 0 {
		return 0, ErrOutOfRange
	}
	return monotime.Micros(ms) * monotime.Millisecond, nil
}

// SplitFrame returns the header and payload of the first frame in b, and its size in bytes; 0 if the frame is not
// complete. An error is a *LengthError.
func SplitFrame(b []byte, maxLength int) (h Header, payload []byte, size int, err error) {
	if len(b) < HeaderSize {
		return h, nil, 0, nil
	}
	length, err := Length(b, maxLength)
	if err != nil {
		return h, nil, 0, err
	}
	size = LengthSize + length
	if len(b) < size {
		return h, nil, 0, nil
	}
	return ReadHeader(b), b[HeaderSize:size], size, nil
}
