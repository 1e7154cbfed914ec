package executor

import (
	"bytes"
	"math"
	"strconv"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/monotime"
)

// kind is the first word of a line from the executor.
type kind int

const (
	remark kind = iota
	greeting
	outcome
	sampled
	refusal
)

// notice is a line from the executor; its text is in slices of the line.
type notice struct {
	kind    kind
	number  uint64 // of an outcome or an aside
	id      []byte // of an outcome or a refusal
	command []byte // of a refusal
	cold    bool   // of a greeting
	micros  monotime.Micros
	end     dispatch.Outcome
	length  int // of the result that follows an outcome
	tag     []byte
	gauges  []float64
}

// outcomeOf maps the words for the end of a run.
var outcomeOf = map[string]dispatch.Outcome{
	"complete": dispatch.RunSucceeded, "error": dispatch.RunErrored,
	"cancelled": dispatch.RunCancelled, "unknown": dispatch.NeverRan,
}

// words are the words of a line that have not been parsed.
type words struct{ rest []byte }

// next returns the next word; it is empty where none is left.
func (w *words) next() (word []byte) {
	word, w.rest, _ = bytes.Cut(w.rest, []byte{' '})
	return word
}

// parse parses a line without its end. Where an outcome cannot be parsed but its number and id can, they are set beside the error.
// Gauges are appended to buffer.
func parse(line []byte, buffer []float64) (n notice, err error) {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return n, errControlCharacter
	}
	w := words{line}
	switch word := w.next(); string(word) {
	case "greeting":
		err = parseGreeting(&w, &n)
	case "outcome":
		err = parseOutcome(&w, &n)
	case "sampled":
		err = parseSampled(&w, &n, buffer)
	case "refusal":
		n.kind = refusal
		if n.command, n.id = w.next(), w.next(); len(n.id) == 0 {
			err = errWordCount
		}
	case "aside": // numbered like an outcome; the number may be missing
		n.kind = remark
		n.number, _ = strconv.ParseUint(string(w.next()), 10, 64)
		return n, nil
	default:
		return n, &valueError{"unknown word", string(word)}
	}
	if err == nil && len(w.rest) > 0 {
		err = errWordCount
	}
	return n, err
}

// parseGreeting parses whether the executor is warming up, and for how long it has been up.
func parseGreeting(w *words, n *notice) (err error) {
	n.kind = greeting
	switch state := w.next(); string(state) {
	case "chilly":
		n.cold = true
	case "hot":
	default:
		return &valueError{"greeting: state", string(state)}
	}
	n.micros, err = micros(w.next())
	return err
}

// parseOutcome parses how a run ended, and the length of the result that follows.
func parseOutcome(w *words, n *notice) (err error) {
	n.kind = outcome
	if n.number, err = strconv.ParseUint(string(w.next()), 10, 64); err != nil || n.number == 0 {
		n.number = 0
		return errNoNoticeNumber
	}
	if n.id = w.next(); len(n.id) == 0 {
		return errWordCount
	}
	word := w.next()
	end, known := outcomeOf[string(word)]
	if n.end = end; !known {
		return &valueError{"outcome: end", string(word)}
	}
	if n.micros, err = micros(w.next()); err != nil {
		return err
	}
	if n.length, err = strconv.Atoi(string(w.next())); err != nil || n.length < 0 {
		n.length = 0
		return errNoLength
	}
	return nil
}

// parseSampled parses gauges, which are appended to buffer.
func parseSampled(w *words, n *notice, buffer []float64) error {
	n.kind, n.gauges = sampled, buffer
	n.tag = w.next()
	for len(w.rest) > 0 {
		x, err := strconv.ParseFloat(string(w.next()), 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return errGaugeNotNumber
		}
		n.gauges = append(n.gauges, x)
	}
	if len(n.tag) == 0 {
		return errWordCount
	}
	return nil
}

// micros parses a time in milliseconds.
func micros(word []byte) (monotime.Micros, error) {
	ms, err := strconv.ParseFloat(string(word), 64)
	if err != nil || !(ms >= 0 && ms < 1e12) {
		return 0, &valueError{"not a time:", string(word)}
	}
	return monotime.Micros(math.Round(ms * 1000)), nil
}

func appendSubscribe(to []byte, last uint64) []byte {
	return append(strconv.AppendUint(append(to, "subscribe "...), last, 10), "\r\n"...)
}

func appendSample(to []byte, tag uint64) []byte {
	return append(append(append(to, "sample "...), sampleTag(tag)...), "\r\n"...)
}

func sampleTag(tag uint64) string { return "t" + strconv.FormatUint(tag, 10) }

func appendLaunch(to []byte, id, operation string, body []byte) []byte {
	to = append(append(append(to, "launch "...), id...), ' ')
	to = append(append(to, operation...), ' ')
	to = append(strconv.AppendInt(to, int64(len(body)), 10), "\r\n"...)
	return append(append(to, body...), "\r\n"...)
}
