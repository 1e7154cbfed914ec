package frame

import (
	"strconv"

	"milletbarrow/monotime"
)

// Code is the result code of an answer.
type Code byte

// The result codes. The answer to a health check is Succeeded for good and Errored for bad.
const (
	Succeeded Code = 1
	Throttled Code = 2
	Errored   Code = 3
)

// maxInteger is the number of digits of the longest integer.
const maxInteger = 20

// AppendAnswer appends an answer. retryAfter is the Retry-After of this backend, which is rounded up to whole
// milliseconds; dontRetry asks the edge node not to retry on another backend either. Zero values are left out.
func AppendAnswer(
	to []byte, stream uint32, code Code, retryAfter monotime.Micros, dontRetry bool, body []byte,
) []byte {
	to, start := begin(to, KindAnswer, stream)
	fields := beginFields(append(to, byte(code)))
	if retryAfter > 0 {
		var digits [maxInteger]byte
		ms := (retryAfter + monotime.Millisecond - 1) / monotime.Millisecond
		fields.add(fieldRetryAfter, strconv.AppendInt(digits[:0], int64(ms), decimal))
	}
	if dontRetry {
		fields.add(fieldDontRetry, []byte(trueValue))
	}
	return end(append(fields.frame, body...), start)
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
	fields := beginFields(append(to, byte(code)))
	return end(fields.frame, start)
}
