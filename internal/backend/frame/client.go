package frame

import (
	"strconv"

	"milletbarrow/monotime"
)

// This file implements the caller's side of the codec, for the load generator and tests.

// OutgoingInvocation is an invocation for a caller to encode. Zero values of ExpectedWork, Tenant and Retry are
// omitted.
type OutgoingInvocation struct {
	Operation     string
	ID            string // 16 hex digits
	Tenant        string
	ArrivedAt     int64           // Unix time in milliseconds
	CallerTimeout monotime.Micros // how long the caller waits for the answer, from ArrivedAt
	Retry         bool
	ExpectedWork  monotime.Micros // CPU time on one core
	MemoryKB      float64
	Priority      float64 // 0 to below 1
	Body          []byte
}

// Decimal places of the encoded numbers of an invocation.
const (
	millisPlaces   = 3
	memoryPlaces   = 1
	priorityPlaces = 4
)

// AppendInvocation appends the frame of an invocation.
func AppendInvocation(to []byte, stream uint32, inv *OutgoingInvocation) []byte {
	to, start := beginFrame(to, KindInvocation, stream)
	fields := beginFields(to)
	var digits [maxNumberDigits]byte
	decimals := func(x float64, places int) []byte {
		return strconv.AppendFloat(digits[:0], x, 'f', places, floatBits)
	}
	millis := func(span monotime.Micros) []byte {
		return decimals(float64(span)/float64(monotime.Millisecond), millisPlaces)
	}
	fields.add(fieldOperation, []byte(inv.Operation))
	fields.add(fieldID, []byte(inv.ID))
	fields.add(fieldArrivedAt, strconv.AppendInt(digits[:0], inv.ArrivedAt, decimalBase))
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
	return endFrame(append(fields.frame, inv.Body...), start)
}

// Answer is a backend's answer to one invocation.
type Answer struct {
	Code       Code
	RetryAfter monotime.Micros // how long not to send invocations to this backend; 0: not given
	DontRetry  bool            // do not retry on another backend either
	Body       []byte          // a subslice of the payload
}

// ReadAnswer decodes the payload of an answer's frame. Any error is ErrTruncated or a *FieldError.
func ReadAnswer(p []byte) (answer Answer, err error) {
	const codeSize = 1
	if len(p) < codeSize+fieldCountSize {
		return answer, ErrTruncated
	}
	answer.Code = Code(p[0])
	answer.Body, err = forEachField(p[codeSize:], func(name, value []byte) (err error) {
		switch string(name) {
		case fieldRetryAfter:
			answer.RetryAfter, err = parseWholeMillis(value)
		case fieldDontRetry:
			answer.DontRetry = true
		}
		return err
	})
	return answer, err
}

// parseWholeMillis parses a duration in whole milliseconds.
func parseWholeMillis(value []byte) (monotime.Micros, error) {
	const bits = 32
	ms, err := strconv.ParseInt(string(value), decimalBase, bits)
	if err != nil {
		return 0, ErrNotNumber
	}
	if ms < 0 {
		return 0, ErrOutOfRange
	}
	return monotime.Micros(ms) * monotime.Millisecond, nil
}

// SplitFrame returns the header and payload of the first frame in b, and its size in bytes; the size is 0 if the frame
// is incomplete. Any error is a *LengthError.
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
