package frame

import (
	"strconv"

	"milletbarrow/monotime"
)

// This file is the caller's side of the codec, for the load generator and tests.

// OutgoingInvocation is an invocation as its caller writes it. Zero values of Work, Tenant and Retry are left out.
type OutgoingInvocation struct {
	Operation, ID, Tenant string
	At                    int64 // Unix time, milliseconds
	Wait                  monotime.Micros
	Retry                 bool
	Work                  monotime.Micros
	KB, Rank              float64
	Body                  []byte
}

// AppendInvocation writes an invocation's frame.
func AppendInvocation(to []byte, stream uint32, a *OutgoingInvocation) []byte {
	to, start := begin(to, KindInvocation, stream)
	to = append(to, 0)
	count := len(to) - 1
	field := func(name string, value []byte) {
		to = appendField(to, name, value)
		to[count]++
	}
	var digits [32]byte
	millis := func(us monotime.Micros) []byte { return strconv.AppendFloat(digits[:0], float64(us)/1000, 'f', 3, 64) }
	field("class", []byte(a.Operation))
	field("id", []byte(a.ID))
	field("at", strconv.AppendInt(digits[:0], a.At, 10))
	if a.Tenant != "" {
		field("tenant", []byte(a.Tenant))
	}
	field("wait", millis(a.Wait))
	if a.Retry {
		field("retry", []byte("1"))
	}
	if a.Work > 0 {
		field("cost", millis(a.Work))
	}
	field("kb", strconv.AppendFloat(digits[:0], a.KB, 'f', 1, 64))
	field("rank", strconv.AppendFloat(digits[:0], a.Rank, 'f', 4, 64))
	return end(append(to, a.Body...), start)
}

// Answer is a backend's answer to one invocation.
type Answer struct {
	Code  Code
	After monotime.Micros // Retry-After: send nothing to this backend for so long
	Last  bool            // and do not retry elsewhere either
	Body  []byte          // a slice of the payload
}

// ReadAnswer decodes the payload of an answer's frame. The error is ErrTruncated or a *FieldError.
func ReadAnswer(p []byte) (a Answer, err error) {
	if len(p) < 2 {
		return a, ErrTruncated
	}
	a.Code = Code(p[0])
	a.Body, err = eachField(p[1:], func(name, value []byte) error {
		switch string(name) {
		case "after":
			ms, err := strconv.ParseInt(string(value), 10, 32)
			if err != nil || ms < 0 {
				return &retryAfterError{string(value)}
			}
			a.After = monotime.Micros(ms) * 1000
		case "last":
			a.Last = true
		}
		return nil
	})
	return a, err
}

// SplitFrame returns the header and payload of the first frame in b, and its size in bytes; 0 if the frame is not complete. The
// error is a *LengthError or ErrNoHeader.
func SplitFrame(b []byte, maxLength int) (h Header, payload []byte, size int, err error) {
	if len(b) < HeaderSize {
		return h, nil, 0, nil
	}
	n, err := Length(b, maxLength)
	if err != nil {
		return h, nil, 0, err
	}
	if n < HeaderSize-LengthSize {
		return h, nil, 0, ErrNoHeader
	}
	if len(b) < LengthSize+n {
		return h, nil, 0, nil
	}
	return ReadHeader(b), b[HeaderSize : LengthSize+n], LengthSize + n, nil
}
