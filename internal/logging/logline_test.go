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

// stuck is a pipe that nobody reads until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestNobodyReads: who logs is never held up; what was lost is counted, and nothing is lost twice or in silence.
func TestNobodyReads(t *testing.T) {
	s := &stuck{gate: make(chan struct{})}
	end := Start(s, Text)
	const written = 3 * limits.LogLines
	for i := range written {
		slog.Info("one", "i", i) // returns, though nobody reads
	}
	close(s.gate)
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
		t.Fatalf("%d came, %d are told of as lost, %d were written", came, lost, written)
	}
}

// TestFormats: the same event in both forms.
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
