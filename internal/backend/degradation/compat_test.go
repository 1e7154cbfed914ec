package degradation

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON written by an earlier release, with each field set, is decoded and encoded again
// without a difference.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Policy](t, "Ladder.json")
}

// TestEarlierTraceReplaysAlike checks that a trace recorded by an earlier release is written again byte for byte, and
// that its replay with that release's policy yields the same levels at the same times.
func TestEarlierTraceReplaysAlike(t *testing.T) {
	policy, _, err := ParsePolicy("ladder.sx", compattest.Read(t, "ladder.sx"))
	if err != nil {
		t.Fatal(err)
	}
	compattest.SameJSON(t, "levels-check.json", compattest.Read(t, "levels-check.json"), policy)
	recorded := compattest.Read(t, "signals.txt")
	trace, err := ReadTrace("signals.txt", bytes.NewReader(recorded))
	if err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	for _, reading := range trace {
		if err := WriteReading(&written, reading); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(written.Bytes(), recorded) {
		t.Error("the trace differs after it was read and written again")
	}
	var replayed strings.Builder
	points, changes := Replay(policy, trace)
	for _, point := range points {
		fmt.Fprintf(&replayed, "%d level=%d depth=%.6f %s\n", point.At, point.Level, point.Depth, point.Smoothed)
	}
	for _, change := range changes {
		fmt.Fprintf(&replayed, "%d %s\n", change.At, change)
	}
	want := strings.Split(string(compattest.Read(t, "replay.txt")), "\n")
	if diff := cmp.Diff(want, strings.Split(replayed.String(), "\n")); diff != "" {
		t.Errorf("replay by the earlier release (-), and by this one (+):\n%s", diff)
	}
}
