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
	// uint32Bytes is the length of a uint32, whose last headerBytes bytes are the header.
	uint32Bytes = 4
)

// FrameTooLongError reports a frame whose message exceeds the reader's limit.
type FrameTooLongError struct {
	Length int // length of the message in bytes
	Max    int // limit of the reader in bytes
}

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Length, e.Max)
}

// WriteFrame writes one message, which must be shorter than 16 MiB, with a single call of Write.
func WriteFrame(w io.Writer, message []byte) error {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	frame = append(frame[uint32Bytes-headerBytes:], message...)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one message of at most maxLength bytes. It returns a *FrameTooLongError for a longer one, and io.EOF
// if the stream ends before the frame. After an error the stream is not usable.
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
