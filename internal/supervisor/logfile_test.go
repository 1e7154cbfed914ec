package supervisor

import (
	"os"
	"testing"
)

// TestRotateLog holds that a log file of the largest size is copied and truncated, and that a shorter one stays.
func TestRotateLog(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	s.options.Bounds.LogFileSize = 10
	for _, test := range []struct {
		name     string
		text     string
		previous string // the previous log file afterwards; empty: none
	}{
		{"short", "short", ""},
		{"largest size", "0123456789", "0123456789"},
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
