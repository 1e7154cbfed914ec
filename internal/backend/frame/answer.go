package frame

import (
	"strconv"

	"milletbarrow/monotime"
)

// Code is the result code of an answer.
type Code byte

// The result codes. The answer to a health check is Succeeded for healthy and Errored for unhealthy.
const (
	Succeeded Code = 1
	Throttled Code = 2
	Errored   Code = 3
)

// maxIntegerDigits is the maximum length of a 64-bit integer in decimal digits, with its sign.
const maxIntegerDigits = 20

// AppendAnswer appends an answer. retryAfter is the Retry-After of this backend, rounded up to whole milliseconds.
// dontRetry tells the edge node not to retry on another backend either. Zero values are omitted.
func AppendAnswer(
	to []byte, stream uint32, code Code, retryAfter monotime.Micros, dontRetry bool, body []byte,
) []byte {
	to, start := beginFrame(to, KindAnswer, stream)
	fields := beginFields(append(to, byte(code)))
	if retryAfter > 0 {
		var digits [maxIntegerDigits]byte
		ms := (retryAfter + monotime.Millisecond - 1) / monotime.Millisecond
		fields.add(fieldRetryAfter, strconv.AppendInt(digits[:0], int64(ms), decimalBase))
	}
	if dontRetry {
		fields.add(fieldDontRetry, []byte(trueValue))
	}
	return endFrame(append(fields.frame, body...), start)
}

// AppendError appends an error of the connection, on stream 0.
func AppendError(to []byte, text string) []byte {
	return AppendAnswer(to, 0, Errored, 0, false, []byte(text))
}

// AppendHealthAnswer appends the answer to a health check.
func AppendHealthAnswer(to []byte, stream uint32, healthy bool) []byte {
	code := Errored
	if healthy {
		code = Succeeded
	}
	to, start := beginFrame(to, KindHealthAnswer, stream)
	fields := beginFields(append(to, byte(code)))
	return endFrame(fields.frame, start)
}
