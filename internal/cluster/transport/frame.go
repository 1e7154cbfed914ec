package transport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// headerBytes is the length of a frame's header: the length of the message, most significant byte first.
	headerBytes = 3
	// uint32Bytes is the length of the integer that a header is the end of.
	uint32Bytes = 4
)

// FrameTooLongError reports a frame that is longer than its reader accepts.
type FrameTooLongError struct {
	Length int // bytes of the message
	Max    int // bytes that the reader accepts
}

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes, wanted at most %d", e.Length, e.Max)
}

// WriteFrame writes one message of less than 16 MiB to a stream, in one write.
func WriteFrame(w io.Writer, message []byte) error {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	frame = append(frame[uint32Bytes-headerBytes:], message...)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one message of at most maxLength bytes; it returns a *FrameTooLongError for a longer one, and
// io.EOF if the stream ends before it. After an error the stream cannot be read further.
func ReadFrame(r *bufio.Reader, maxLength int) ([]byte, error) {
	var header [uint32Bytes]byte
	if _, err := io.ReadFull(r, header[uint32Bytes-headerBytes:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > maxLength {
		return nil, &FrameTooLongError{Length: length, Max: maxLength}
	}
	message := make([]byte, length)
	_, err := io.ReadFull(r, message)
	return message, err
}
