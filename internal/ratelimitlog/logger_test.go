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

var timeField = regexp.MustCompile(`time=\S+ `)

// A thousand violations of one kind within the interval produce one line, and the next line has the count since then.
func TestOneLinePerInterval(t *testing.T) {
	trace := fakes.NewTrace(t)
	var text bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(logging.Handler(&text, logging.Text)))
	logger := New(time.Hour)
	for range 1000 {
		logger.Warn("frame_length", errors.New("frame length 4"))
	}
	logger.Warn("kind", nil)
	logger.interval = 0
	logger.Warn("frame_length", errors.New("frame length 3"))
	trace.Say("%s", timeField.ReplaceAllString(text.String(), ""))
}
