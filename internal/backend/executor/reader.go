package executor

import (
	"bytes"
	"fmt"
	"io"
	"net"
)

// reader reads lines and results from a connection. Its methods return slices of its buffer, valid until the next call.
type reader struct {
	conn    net.Conn
	buffer  []byte // holds the longest line and the longest result
	start   int    // buffer[start:end] has been read and not consumed
	end     int
	maxLine int // bytes, without CR LF
}

// newReader returns a reader of lines and results up to these lengths in bytes, without CR LF.
func newReader(conn net.Conn, maxLine, maxResult int) *reader {
	const lineEnds = 2 // of the line and of the result
	return &reader{conn: conn, buffer: make([]byte, maxLine+maxResult+lineEnds*len(crlf)), maxLine: maxLine}
}

// buffered returns what has been read and not consumed.
func (r *reader) buffered() []byte { return r.buffer[r.start:r.end] }

// fill reads until that many bytes are buffered.
func (r *reader) fill(needed int) error {
	if r.start+needed > len(r.buffer) {
		r.end = copy(r.buffer, r.buffered())
		r.start = 0
	}
	for r.end-r.start < needed {
		n, err := r.conn.Read(r.buffer[r.end:])
		r.end += n
		if err != nil && r.end-r.start < needed {
			return err
		}
	}
	return nil
}

// line reads a line and returns it without its CR LF.
func (r *reader) line() ([]byte, error) {
	end := -1
	searched := 0
	for {
		if end = bytes.IndexByte(r.buffered()[searched:], '\n'); end >= 0 {
			end += searched
			break
		}
		searched = r.end - r.start
		if searched > r.maxLine {
			return nil, &lineLengthError{limit: r.maxLine}
		}
		if err := r.fill(searched + 1); err != nil {
			return nil, err
		}
	}
	text := r.buffer[r.start : r.start+end]
	if end == 0 || text[end-1] != '\r' {
		return nil, fmt.Errorf("line %.40q: %w", text, errNoCRLF)
	}
	r.start += end + 1
	return text[:end-1], nil
}

// result reads a result of that length, and buffers the CR LF after it.
func (r *reader) result(length int) ([]byte, error) {
	if err := r.fill(length + len(crlf)); err != nil {
		return nil, err
	}
	result := r.buffer[r.start : r.start+length]
	r.start += length
	return result, nil
}

// discard skips a result of that length, which may be longer than the buffer, and buffers the CR LF after it.
func (r *reader) discard(length int) error {
	unread := length - (r.end - r.start)
	r.start = min(r.start+length, r.end)
	if unread > 0 {
		if _, err := io.CopyN(io.Discard, r.conn, int64(unread)); err != nil {
			return err
		}
	}
	return r.fill(len(crlf))
}

// consumeCRLF reports whether the next two bytes, which must be buffered, are CR LF, and consumes them if so.
func (r *reader) consumeCRLF() bool {
	found := bytes.HasPrefix(r.buffered(), []byte(crlf))
	if found {
		r.start += len(crlf)
	}
	return found
}
