package degradation

import (
	"errors"
	"strings"
	"testing"
)

// formatTrace returns the text of a trace.
func formatTrace(t *testing.T, trace []Reading) string {
	t.Helper()
	var text strings.Builder
	for _, reading := range trace {
		if err := WriteReading(&text, reading); err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

// FuzzReadTrace checks that any trace that can be read is unchanged after it is written and read again.
func FuzzReadTrace(f *testing.F) {
	f.Add("1 queue=2 late=0.5\n; note\n5 cores=1\n")
	f.Fuzz(func(t *testing.T, text string) {
		first, err := ReadTrace("t", strings.NewReader(text))
		if err != nil {
			return
		}
		written := formatTrace(t, first)
		second, err := ReadTrace("t", strings.NewReader(written))
		if err != nil || len(second) != len(first) {
			t.Fatalf("%d readings of %q, error %v; want %d", len(second), written, err, len(first))
		}
		if rewritten := formatTrace(t, second); rewritten != written {
			t.Fatalf("%q was written again as %q", written, rewritten)
		}
	})
}

// TestUnreadableTraceLineIsReportedWithPosition checks that the error about an invalid line has the file, the line
// number and what was found.
func TestUnreadableTraceLineIsReportedWithPosition(t *testing.T) {
	const (
		wantTime   = "wanted microseconds above those of the line before"
		wantSignal = "wanted SIGNAL=VALUE with a value from 0 to 1e+09; signals are " +
			"queue, cores, turned, hopeless, late, retries, memory, unknown, cold, draining"
	)
	for _, test := range []struct{ name, text, want string }{
		{"time repeated", "; note\n5 queue=1\n5 queue=1\n", `t:3: time: found "5", ` + wantTime},
		{"negative time", "-1 queue=1\n", `t:1: time: found "-1", ` + wantTime},
		{"time not a number", "x queue=1\n", `t:1: time: found "x", ` + wantTime},
		{"unknown signal", "\n1 load=1\n", `t:2: found "load=1", ` + wantSignal},
		{"negative value", "1 queue=-1\n", `t:1: found "queue=-1", ` + wantSignal},
		{"value not a number", "1 queue=NaN\n", `t:1: found "queue=NaN", ` + wantSignal},
		{"value too large", "1 queue=2e9\n", `t:1: found "queue=2e9", ` + wantSignal},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadTrace("t", strings.NewReader(test.text))
			if traceErr := (*TraceError)(nil); !errors.As(err, &traceErr) || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}
