package fakes

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden traces")

// waitLimit is how long a test waits for an expected event.
const waitLimit = 10 * time.Second

// Trace collects lines of text of a test for comparison with a golden file.
type Trace struct {
	testing.TB
	text strings.Builder
}

// NewTrace returns a trace. At the end of the test, unless it failed, the trace is compared with testdata/TESTNAME.txt.
func NewTrace(t testing.TB) *Trace {
	tr := &Trace{TB: t}
	t.Cleanup(func() {
		if !t.Failed() {
			Compare(t, tr.text.String())
		}
	})
	return tr
}

// Say adds a formatted line to the trace.
func (tr *Trace) Say(format string, args ...any) { fmt.Fprintf(&tr.text, format+"\n", args...) }

// Compare compares text with testdata/TESTNAME.txt; with the flag -update, it rewrites the file first.
func Compare(t testing.TB, text string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(text, "\n")); diff != "" {
		t.Errorf("trace differs from %s (-want +got):\n%s", file, diff)
	}
}

// Until polls a condition and fails the test if it is not met within waitLimit.
func Until(t testing.TB, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// Take receives a value from a channel and fails the test if none arrives within waitLimit.
func Take[T any](t testing.TB, event string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitLimit):
		t.Fatalf("timed out waiting for %s", event)
		panic("unreachable")
	}
}
