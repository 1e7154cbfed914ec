// Package frame encodes and decodes the binary frames of edge nodes. It works on byte slices and does no I/O; decoded
// values are slices of the input.
//
// A frame is a length, a kind, a stream number and a payload. The length counts the bytes after itself. Payloads begin
// with fields, each a name and a value: see fields.go. Integers are big-endian.
package frame

import (
	"encoding/binary"
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

// Sizes in bytes of the parts of a header.
const (
	// LengthSize is the size of what Length decodes.
	LengthSize = 4

	// HeaderSize is the size of what ReadHeader decodes, which includes the length.
	HeaderSize = LengthSize + kindSize + streamSize

	kindSize   = 1
	streamSize = 4
	minLength  = HeaderSize - LengthSize
)

// Header is the fixed beginning of a frame.
type Header struct {
	Kind    Kind
	Stream  uint32 // 0: the frame belongs to no stream
	Payload int    // bytes that follow the header
}

// Length decodes the length of a frame: the number of bytes that follow the length itself. An error is a *LengthError.
func Length(b []byte, maxLength int) (int, error) {
	n := binary.BigEndian.Uint32(b)
	if n < minLength || int64(n) > int64(maxLength) {
		return 0, &LengthError{Length: n}
	}
	return int(n), nil
}

// ReadHeader decodes a header whose length Length has checked.
func ReadHeader(b []byte) Header {
	return Header{
		Kind:    Kind(b[LengthSize]),
		Stream:  binary.BigEndian.Uint32(b[LengthSize+kindSize:]),
		Payload: int(binary.BigEndian.Uint32(b)) - minLength,
	}
}

// AppendGoAway appends a frame that asks the edge node to send no more invocations on its connection.
func AppendGoAway(to []byte) []byte {
	to, start := begin(to, KindGoAway, 0)
	return end(to, start)
}

// begin appends a header without its length, and returns where the frame starts.
func begin(to []byte, kind Kind, stream uint32) ([]byte, int) {
	start := len(to)
	to = binary.BigEndian.AppendUint32(to, 0)
	to = append(to, byte(kind))
	return binary.BigEndian.AppendUint32(to, stream), start
}

// end sets the length of the frame that starts at start and ends with to.
func end(to []byte, start int) []byte {
	binary.BigEndian.PutUint32(to[start:], uint32(len(to)-start-LengthSize))
	return to
}
