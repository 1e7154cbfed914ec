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

const (
	// MaxTraceReadings is the length of the longest trace that ReadTrace accepts.
	MaxTraceReadings = 2_000_000
	// maxSignalValue is the largest value of a signal that ReadTrace accepts.
	maxSignalValue = 1e9
	// traceDigits is the number of significant digits of a signal in a trace.
	traceDigits = 6
)

// WriteReading writes one line: the time in microseconds, then each known signal as name=value.
func WriteReading(w io.Writer, r Reading) error {
	var line strings.Builder
	line.WriteString(strconv.FormatInt(int64(r.At), 10))
	for i, value := range r.Signals {
		if !math.IsNaN(value) {
			fmt.Fprintf(&line, " %s=%s", Signal(i), strconv.FormatFloat(value, 'g', traceDigits, 64))
		}
	}
	line.WriteByte('\n')
	_, err := io.WriteString(w, line.String())
	return err
}

// ReadTrace reads a trace; file is its name in errors. Times must increase. Signals that a line leaves out are missing.
// An error is a *TraceError, or that of the reader.
func ReadTrace(file string, in io.Reader) (all []Reading, err error) {
	lines := bufio.NewScanner(in)
	last := monotime.Micros(-1)
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], ";") {
			continue
		}
		reading, problem := parseReading(words, last)
		if problem == "" && len(all) == MaxTraceReadings {
			problem = fmt.Sprintf("trace exceeds %d readings", MaxTraceReadings)
		}
		if problem != "" {
			return nil, &TraceError{File: file, Line: number, Problem: problem}
		}
		all = append(all, reading)
		last = reading.At
	}
	return all, lines.Err()
}

// parseReading parses the words of one line, the reading after that of time last. problem says what is wrong with the
// line, and is empty if nothing is.
func parseReading(words []string, last monotime.Micros) (reading Reading, problem string) {
	at, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil || at < 0 || monotime.Micros(at) <= last {
		return Reading{}, fmt.Sprintf("time: found %q, wanted microseconds above those of the line before", words[0])
	}
	reading = Reading{At: monotime.Micros(at), Signals: allMissing()}
	for _, word := range words[1:] {
		name, text, _ := strings.Cut(word, "=")
		signal, known := signalByName(name)
		value, err := strconv.ParseFloat(text, 64)
		if !known || err != nil || !(value >= 0 && value <= maxSignalValue) {
			names := strings.Join(signalNames[:], ", ")
			return Reading{}, fmt.Sprintf("found %q, wanted SIGNAL=VALUE with a value from 0 to %g; signals are %s",
				word, maxSignalValue, names)
		}
		reading.Signals[signal] = value
	}
	return reading, ""
}
