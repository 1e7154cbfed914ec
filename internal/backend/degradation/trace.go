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

// Reading is one line of a trace: the signals at one time.
type Reading struct {
	At      monotime.Micros
	Signals Signals
}

const (
	// MaxTraceReadings is the largest number of readings that ReadTrace accepts.
	MaxTraceReadings = 2_000_000
	// maxSignalValue is the largest signal value that ReadTrace accepts.
	maxSignalValue = 1e9
	// traceDigits is the number of significant digits of signal values in a trace.
	traceDigits = 6
)

// WriteReading writes a reading as one line: the time in microseconds, followed by each known signal as name=value.
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

// ReadTrace reads a trace, which errors name as file. Times must increase. Signals that a line omits are missing. Empty
// lines and lines that begin with a semicolon are skipped. An error is a *TraceError, or that of the reader.
func ReadTrace(file string, in io.Reader) (trace []Reading, err error) {
	lines := bufio.NewScanner(in)
	last := monotime.Micros(-1)
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], ";") {
			continue
		}
		reading, problem := parseReading(words, last)
		if problem == "" && len(trace) == MaxTraceReadings {
			problem = fmt.Sprintf("trace exceeds %d readings", MaxTraceReadings)
		}
		if problem != "" {
			return nil, &TraceError{File: file, Line: number, Problem: problem}
		}
		trace = append(trace, reading)
		last = reading.At
	}
	return trace, lines.Err()
}

// parseReading parses the words of one line. Its time must be after last, that of the previous reading. problem
// describes what is wrong with the line, or is empty.
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
