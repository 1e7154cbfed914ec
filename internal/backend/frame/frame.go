// Package frame encodes and decodes the binary frames of the protocol between edge nodes and backends. It works on byte
// slices and does no I/O; decoded values are subslices of the input.
//
// A frame consists of a length, a kind, a stream number and a payload. The length is the number of bytes that follow
// it. Payloads of invocations, answers and health checks contain a list of fields, each a name and a value: see
// fields.go. Integers are big-endian.
package frame

import (
	"encoding/binary"
)

// Kind is the type of a frame.
type Kind byte

// The kinds of frames.
const (
	KindInvocation   Kind = 10
	KindAnswer       Kind = 11
	KindCancel       Kind = 12
	KindHealthCheck  Kind = 20
	KindHealthAnswer Kind = 21
	KindGoAway       Kind = 30
)

// Sizes of the parts of a header, in bytes.
const (
	// LengthSize is the size of the length, which Length decodes.
	LengthSize = 4

	// HeaderSize is the size of the header, including the length, which ReadHeader decodes.
	HeaderSize = LengthSize + kindSize + streamSize

	kindSize   = 1
	streamSize = 4
	minLength  = HeaderSize - LengthSize
)

// Header is the fixed-size header of a frame.
type Header struct {
	Kind    Kind
	Stream  uint32 // 0: the frame applies to the connection
	Payload int    // number of bytes after the header
}

// Length decodes the length of a frame: the number of bytes after the length itself. Any error is a *LengthError.
func Length(b []byte, maxLength int) (int, error) {
	n := binary.BigEndian.Uint32(b)
	if n < minLength || int64(n) > int64(maxLength) {
		return 0, &LengthError{Length: n}
	}
	return int(n), nil
}

// ReadHeader decodes a header. The length must have been validated by Length.
func ReadHeader(b []byte) Header {
	return Header{
		Kind:    Kind(b[LengthSize]),
		Stream:  binary.BigEndian.Uint32(b[LengthSize+kindSize:]),
		Payload: int(binary.BigEndian.Uint32(b)) - minLength,
	}
}

// AppendGoAway appends a frame that tells the edge node to send no more invocations on the connection.
func AppendGoAway(to []byte) []byte {
	to, start := beginFrame(to, KindGoAway, 0)
	return endFrame(to, start)
}

// beginFrame appends a header with a length of 0, and returns the index at which the frame starts.
func beginFrame(to []byte, kind Kind, stream uint32) ([]byte, int) {
	start := len(to)
	to = binary.BigEndian.AppendUint32(to, 0)
	to = append(to, byte(kind))
	return binary.BigEndian.AppendUint32(to, stream), start
}

// endFrame sets the length of the frame that starts at index start and extends to the end of to.
func endFrame(to []byte, start int) []byte {
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-LengthSize))
	return to
}
