package executor

import (
	"bytes"
	"fmt"
	"io"
	"net"
)

// reader reads lines and results from a connection. What its methods return are slices of its buffer, valid until the
// next call.
type reader struct {
	conn    net.Conn
	buffer  []byte // holds the longest line and the longest result
	from    int    // buffer[from:to] has been read and not consumed
	to      int
	maxLine int // bytes, without CR LF
}

// newReader returns a reader of lines and results up to these lengths in bytes, without CR LF.
func newReader(conn net.Conn, maxLine, maxResult int) *reader {
	const lineEnds = 2 // one of the line, one of the result
	return &reader{conn: conn, buffer: make([]byte, maxLine+maxResult+lineEnds*len(crlf)), maxLine: maxLine}
}

// buffered returns what has been read and not consumed.
func (r *reader) buffered() []byte { return r.buffer[r.from:r.to] }

// fill reads until so many bytes are buffered.
func (r *reader) fill(needed int) error {
	if r.from+needed > len(r.buffer) {
		r.to = copy(r.buffer, r.buffered())
		r.from = 0
	}
	for r.to-r.from < needed {
		n, err := r.conn.Read(r.buffer[r.to:])
		r.to += n
		if err != nil && r.to-r.from < needed {
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
		searched = r.to - r.from
		if searched > r.maxLine {
			return nil, &lineLengthError{limit: r.maxLine}
		}
		if err := r.fill(searched + 1); err != nil {
			return nil, err
		}
	}
	text := r.buffer[r.from : r.from+end]
	if end == 0 || text[end-1] != '\r' {
		return nil, fmt.Errorf("line %.40q: %w", text, errNoCRLF)
	}
	r.from += end + 1
	return text[:end-1], nil
}

// result reads a result of that length, and buffers the CR LF after it.
func (r *reader) result(length int) ([]byte, error) {
	if err := r.fill(length + len(crlf)); err != nil {
		return nil, err
	}
	result := r.buffer[r.from : r.from+length]
	r.from += length
	return result, nil
}

// discard skips a result of that length, which may be longer than the buffer, and buffers the CR LF after it.
func (r *reader) discard(length int) error {
	unread := length - (r.to - r.from)
	r.from = min(r.from+length, r.to)
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
		r.from += len(crlf)
	}
	return found
}
