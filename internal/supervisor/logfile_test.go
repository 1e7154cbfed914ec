package supervisor

import (
	"os"
	"testing"
)

// TestLogFileIsRotatedAtSizeLimit checks that a log file that has reached limits.Control.LogFileSize is copied and
// truncated, and that a shorter one is not.
func TestLogFileIsRotatedAtSizeLimit(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	s.options.Bounds.LogFileSize = 10
	for _, test := range []struct {
		name     string
		text     string
		previous string // the previous log file afterwards; empty: none
	}{
		{"short", "short", ""},
		{"at the size limit", "0123456789", "0123456789"},
	} {
		if err := os.WriteFile(s.paths.Log, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.rotateLog()
		current, _ := os.ReadFile(s.paths.Log)
		previous, _ := os.ReadFile(s.paths.Log + previousLogSuffix)
		if string(current)+string(previous) != test.text || string(previous) != test.previous {
			t.Errorf("%s: current %q, previous %q", test.name, current, previous)
		}
	}
}
