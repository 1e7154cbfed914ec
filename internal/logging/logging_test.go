package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu   sync.Mutex // guards text
	text bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestLinesAreDroppedAndCountedIfLogBlocks checks that logging does not block while the writer does, and that each
// dropped line is counted once.
func TestLinesAreDroppedAndCountedIfLogBlocks(t *testing.T) {
	const logged = 3 * limits.LogLines
	w := &blockedWriter{unblock: make(chan struct{})}
	end := Start(w, Text)
	for i := range logged {
		slog.Info("test event", "i", i) // returns although the writer blocks
	}
	close(w.unblock)
	end()
	written, dropped := 0, 0
	for line := range strings.SplitSeq(strings.TrimSpace(w.text.String()), "\n") {
		_, event, named := strings.Cut(line, "event=")
		if !named {
			t.Fatalf("line without an event: %q", line)
		}
		count := 0
		if strings.HasPrefix(event, "\"test event\" ") {
			written++
		} else if _, err := fmt.Sscanf(event, "log_dropped count=%d", &count); err == nil {
			dropped += count
		}
	}
	if written < limits.LogLines || dropped == 0 || written+dropped != logged {
		t.Fatalf("%d lines were written, %d counted as dropped, %d logged", written, dropped, logged)
	}
}

var timestamp = regexp.MustCompile(`\d{4}-[^" ]*Z`)

// TestEachFormatWritesAllFields compares one event in both formats, and the values that ParseFormat accepts, with
// the stored trace.
func TestEachFormatWritesAllFields(t *testing.T) {
	trace := fakes.NewTrace(t)
	for _, format := range []Format{Text, JSON} {
		var line bytes.Buffer
		slog.New(Handler(&line, format)).Warn("level", "level", "rejecting", "text", "two words", "n", 3)
		trace.Say("%s", timestamp.ReplaceAllString(strings.TrimSpace(line.String()), "T"))
		if format == JSON && !json.Valid(line.Bytes()) {
			t.Error("the line is not valid JSON")
		}
	}
	for _, name := range []string{"text", "json", "xml"} {
		_, err := ParseFormat(name)
		trace.Say("%s: %v", name, err)
	}
}
