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

// blockedWriter is a pipe that nobody reads until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestUnreadLogDropsLines: logging never blocks though nobody reads; dropped lines are counted once each.
func TestUnreadLogDropsLines(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	end := Start(s, Text)
	const written = 3 * limits.LogLines
	for i := range written {
		slog.Info("one", "i", i) // returns, though nobody reads
	}
	close(s.unblock)
	end()
	lines := strings.Split(strings.TrimSpace(s.text.String()), "\n")
	var came, lost, n int
	for _, l := range lines {
		_, event, named := strings.Cut(l, "event=")
		if !named {
			t.Fatalf("a line without an event: %q", l)
		}
		if strings.HasPrefix(event, "one ") {
			came++
		} else if _, err := fmt.Sscanf(event, "log_dropped count=%d", &n); err == nil {
			lost += n
		}
	}
	if came < limits.LogLines || lost == 0 || came+lost != written {
		t.Fatalf("%d lines were read, %d counted as dropped, %d logged", came, lost, written)
	}
}

// TestFormats: the same event in both formats.
func TestFormats(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, f := range []Format{Text, JSON} {
		var b bytes.Buffer
		slog.New(Handler(&b, f)).Warn("level", "level", "no-look", "text", "two words", "n", 3)
		tr.Say("%s", regexp.MustCompile(`\d{4}-[^" ]*Z`).ReplaceAllString(strings.TrimSpace(b.String()), "T"))
		if f == JSON && !json.Valid(b.Bytes()) {
			t.Error("not JSON")
		}
	}
	for _, word := range []string{"text", "json", "xml"} {
		_, err := ParseFormat(word)
		tr.Say("%s: %v", word, err)
	}
}
