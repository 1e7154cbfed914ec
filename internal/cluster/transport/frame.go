package transport

import (
	"bufio"
	"fmt"
	"io"
)

// frameHeader is the length of a frame in three bytes, most significant first.
const frameHeader = 3

// FrameTooLongError is returned for a frame that is longer than its reader takes.
type FrameTooLongError struct{ Length, Max int }

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a message of %d bytes, at most %d are read", e.Length, e.Max)
}

// WriteFrame writes one message of less than 16 MiB to a stream.
func WriteFrame(w io.Writer, message []byte) error {
	n := len(message)
	header := [frameHeader]byte{byte(n >> 16), byte(n >> 8), byte(n)}
	_, err := w.Write(append(header[:], message...))
	return err
}

// ReadFrame reads one message of at most so many bytes; it returns a *FrameTooLongError for a longer one. After an error
// the stream cannot be read further.
func ReadFrame(r *bufio.Reader, most int) ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := int(header[0])<<16 | int(header[1])<<8 | int(header[2])
	if n > most {
		return nil, &FrameTooLongError{n, most}
	}
	message := make([]byte, n)
	_, err := io.ReadFull(r, message)
	return message, err
}
