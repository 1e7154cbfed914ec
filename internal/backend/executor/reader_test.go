package executor

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// readerOf returns a reader of a connection whose peer sends text and closes it.
func readerOf(t *testing.T, text string) *reader {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = local.Close() })
	go func() {
		_, _ = io.WriteString(remote, text)
		_ = remote.Close()
	}()
	return newReader(local, 10, 10)
}

// A line beyond the limit is rejected without waiting for its end.
func TestLineLengthIsLimited(t *testing.T) {
	_, err := readerOf(t, strings.Repeat("x", 12)).line()
	var tooLong *lineLengthError
	if !errors.As(err, &tooLong) || err.Error() != "line exceeds 10 bytes without CR LF" {
		t.Errorf("%v, want a *lineLengthError of 10 bytes", err)
	}
}

// discard returns an error if the connection ends within the result.
func TestDiscardReportsEndOfConnection(t *testing.T) {
	if err := readerOf(t, strings.Repeat("x", 50)).discard(100); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want io.EOF", err)
	}
}
