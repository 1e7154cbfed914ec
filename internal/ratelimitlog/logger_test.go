package ratelimitlog

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/logging"
)

// TestNote: a peer that errs a thousand times gets one line, and the next line tells how often it was.
func TestNote(t *testing.T) {
	tr := fakes.NewTrace(t)
	var text bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(logging.Handler(&text, logging.Text)))
	tally := New(time.Hour)
	for range 1000 {
		tally.Warn("frame_length", errors.New("frame length 4"))
	}
	tally.Warn("kind", nil)
	tally.quiet = 0
	tally.Warn("frame_length", errors.New("frame length 3"))
	tr.Say("%s", regexp.MustCompile(`time=\S+ `).ReplaceAllString(text.String(), ""))
}
