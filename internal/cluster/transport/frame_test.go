package transport

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestReadFrameReturnsWrittenMessages checks that ReadFrame returns the messages of WriteFrame unchanged, and io.EOF at
// the end of the stream.
func TestReadFrameReturnsWrittenMessages(t *testing.T) {
	long := strings.Repeat("m", 70_000)
	messages := []string{"", "one", long}
	var sent strings.Builder
	for _, message := range messages {
		if err := WriteFrame(&sent, []byte(message)); err != nil {
			t.Fatal(err)
		}
	}
	in := bufio.NewReader(strings.NewReader(sent.String()))
	for _, want := range messages {
		if got, err := ReadFrame(in, len(long)); err != nil || string(got) != want {
			t.Errorf("read %d bytes, %v, want %d", len(got), err, len(want))
		}
	}
	if _, err := ReadFrame(in, 1); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of the stream: error %v, want io.EOF", err)
	}
}

// TestFrameBeyondLimitIsAnError checks that ReadFrame returns a *FrameTooLongError for a frame beyond its limit.
func TestFrameBeyondLimitIsAnError(t *testing.T) {
	_, err := ReadFrame(bufio.NewReader(strings.NewReader("\x00\x00\x05hello")), 4)
	tooLong, ok := errors.AsType[*FrameTooLongError](err)
	if !ok || tooLong.Length != 5 || tooLong.Max != 4 {
		t.Errorf("error %v, want a *FrameTooLongError with length 5 and limit 4", err)
	}
}

// TestTruncatedFrameIsAnError checks that ReadFrame returns io.ErrUnexpectedEOF for a truncated frame.
func TestTruncatedFrameIsAnError(t *testing.T) {
	_, err := ReadFrame(bufio.NewReader(strings.NewReader("\x00\x00\x05hell")), 5)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want %v", err, io.ErrUnexpectedEOF)
	}
}
