package degradation

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"milletbarrow/monotime"
)

// Reading is one line of a trace of signals.
type Reading struct {
	At      monotime.Micros
	Signals Signals
}

// MaxTraceReadings is the length of the longest trace that ReadTrace accepts.
const MaxTraceReadings = 2_000_000

// WriteReading writes one line: the time in microseconds, then each known signal as name=value.
func WriteReading(w io.Writer, r Reading) error {
	var b strings.Builder
	b.WriteString(strconv.FormatInt(int64(r.At), 10))
	for s, v := range r.Signals {
		if !math.IsNaN(v) {
			fmt.Fprintf(&b, " %s=%s", Signal(s), strconv.FormatFloat(v, 'g', 6, 64))
		}
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

// ReadTrace reads a trace; file is its name in errors. Times must increase. Signals that a line leaves out are missing.
// An error is a *TraceError, or that of the reader.
func ReadTrace(file string, in io.Reader) (all []Reading, err error) {
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], ";") {
			continue
		}
		fail := func(format string, args ...any) error {
			return &TraceError{File: file, Line: n, Problem: fmt.Sprintf(format, args...)}
		}
		at, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil || at < 0 || len(all) > 0 && monotime.Micros(at) <= all[len(all)-1].At {
			return nil, fail("time: %q is no number of microseconds above that of the line before", words[0])
		}
		r := Reading{At: monotime.Micros(at)}
		for s := range r.Signals {
			r.Signals[s] = Missing
		}
		for _, w := range words[1:] {
			name, text, _ := strings.Cut(w, "=")
			v, err := strconv.ParseFloat(text, 64)
			s := signalByName(name)
			if s < 0 || err != nil || !(v >= 0 && v <= 1e9) {
				return nil, fail("%q is no signal with a value from 0 up; there are %s", w, strings.Join(signalNames[:], ", "))
			}
			r.Signals[s] = v
		}
		if all = append(all, r); len(all) > MaxTraceReadings {
			return nil, fail("more than %d readings", MaxTraceReadings)
		}
	}
	return all, lines.Err()
}
