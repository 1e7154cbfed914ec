package executor

import (
	"bytes"
	"math"
	"strconv"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/monotime"
)

// Words of the protocol, from the executor.
const (
	greetingWord = "greeting" // first line of a connection: state, milliseconds since the start
	coldWord     = "chilly"   // state of an executor that is warming up
	warmWord     = "hot"      // state of an executor that has warmed up
	outcomeWord  = "outcome"  // end of a run: number, ID, end, milliseconds, length; then the result
	sampledWord  = "sampled"  // sample: tag, gauges
	refusalWord  = "refusal"  // refused command: command, ID
	remarkWord   = "aside"    // numbered like an outcome: number, text
)

// Words of the protocol, to the executor.
const (
	subscribeWord = "subscribe" // number of the last notice read
	sampleWord    = "sample"    // tag
	launchWord    = "launch"    // ID, operation, length; then the body
)

const (
	crlf         = "\r\n"
	separator    = ' '
	decimal      = 10 // base of integers
	numberBits   = 64
	maxElapsedMS = 1e12 // exclusive
)

// outcomeOf maps the words for the end of a run.
var outcomeOf = map[string]dispatch.Outcome{
	"complete":  dispatch.RunSucceeded,
	"error":     dispatch.RunErrored,
	"cancelled": dispatch.RunCancelled,
	"unknown":   dispatch.NeverRan,
}

// messageKind is the kind of a message.
type messageKind int

const (
	remark messageKind = iota
	greeting
	outcome
	sampled
	refusal
)

// message is a parsed line from the executor. Its byte slices refer to the line.
type message struct {
	kind    messageKind
	number  uint64           // of an outcome or a remark; 0: it has none
	id      []byte           // of the run of an outcome or a refusal
	command []byte           // the refused one
	cold    bool             // of a greeting: the executor is warming up
	elapsed monotime.Micros  // of a greeting: since the executor's start; of an outcome: duration of the run
	end     dispatch.Outcome // of the run of an outcome
	length  int              // bytes of the result that follows an outcome
	tag     []byte           // of a sample
	gauges  []float64        // of a sample
}

// wordScanner is the part of a line that has not been parsed.
type wordScanner struct{ rest []byte }

// next returns the next word, or an empty one if none is left.
func (w *wordScanner) next() (word []byte) {
	word, w.rest, _ = bytes.Cut(w.rest, []byte{separator})
	return word
}

// parse parses a line without its CR LF. If it fails for an outcome whose number and ID can be parsed, those are set
// in m. Gauges are appended to buffer.
func parse(line []byte, buffer []float64) (m message, err error) {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return m, errControlCharacter
	}
	w := wordScanner{line}
	switch word := w.next(); string(word) {
	case greetingWord:
		err = parseGreeting(&w, &m)
	case outcomeWord:
		err = parseOutcome(&w, &m)
	case sampledWord:
		err = parseSampled(&w, &m, buffer)
	case refusalWord:
		err = parseRefusal(&w, &m)
	case remarkWord: // its number is optional and its text free
		m.kind = remark
		m.number, _ = parseNumber(w.next())
		return m, nil
	default:
		return m, &valueError{"first word", string(word)}
	}
	if err == nil && len(w.rest) > 0 {
		err = errExtraWords
	}
	return m, err
}

// parseGreeting parses the state of the executor and the time since its start.
func parseGreeting(w *wordScanner, m *message) (err error) {
	m.kind = greeting
	switch state := w.next(); string(state) {
	case coldWord:
		m.cold = true
	case warmWord:
	default:
		return &valueError{"greeting: state", string(state)}
	}
	m.elapsed, err = parseElapsed(w.next())
	return err
}

// parseOutcome parses how a run ended, and the length of the result that follows.
func parseOutcome(w *wordScanner, m *message) (err error) {
	m.kind = outcome
	if m.number, err = parseNumber(w.next()); err != nil || m.number == 0 {
		m.number = 0
		return errNoNoticeNumber
	}
	if m.id = w.next(); len(m.id) == 0 {
		return errNoOutcomeID
	}
	word := w.next()
	end, known := outcomeOf[string(word)]
	if m.end = end; !known {
		return &valueError{"outcome: end", string(word)}
	}
	if m.elapsed, err = parseElapsed(w.next()); err != nil {
		return err
	}
	if m.length, err = strconv.Atoi(string(w.next())); err != nil || m.length < 0 {
		m.length = 0
		return errNoLength
	}
	return nil
}

// parseSampled parses the tag of a sample and its gauges, which are appended to buffer.
func parseSampled(w *wordScanner, m *message, buffer []float64) error {
	m.kind = sampled
	m.gauges = buffer
	m.tag = w.next()
	for len(w.rest) > 0 {
		gauge, err := strconv.ParseFloat(string(w.next()), numberBits)
		if err != nil || math.IsNaN(gauge) || math.IsInf(gauge, 0) {
			return errGaugeNotNumber
		}
		m.gauges = append(m.gauges, gauge)
	}
	if len(m.tag) == 0 {
		return errNoSampleTag
	}
	return nil
}

// parseRefusal parses the command that was refused and the ID of its run.
func parseRefusal(w *wordScanner, m *message) error {
	m.kind = refusal
	m.command = w.next()
	m.id = w.next()
	if len(m.id) == 0 {
		return errNoRefusalID
	}
	return nil
}

// parseNumber parses the number of a notice.
func parseNumber(word []byte) (uint64, error) {
	return strconv.ParseUint(string(word), decimal, numberBits)
}

// parseElapsed parses a time in milliseconds.
func parseElapsed(word []byte) (monotime.Micros, error) {
	ms, err := strconv.ParseFloat(string(word), numberBits)
	if err != nil || !(ms >= 0 && ms < maxElapsedMS) { // the comparison is false for NaN
		return 0, &valueError{"time in milliseconds", string(word)}
	}
	return monotime.FromMilliseconds(ms), nil
}

// appendSubscribe appends a subscription to the notices after the one with the number last.
func appendSubscribe(to []byte, last uint64) []byte {
	to = append(to, subscribeWord...)
	to = append(to, separator)
	to = strconv.AppendUint(to, last, decimal)
	return append(to, crlf...)
}

// appendSample appends a request for a sample.
func appendSample(to []byte, tag uint64) []byte {
	to = append(to, sampleWord...)
	to = append(to, separator)
	to = append(to, sampleTag(tag)...)
	return append(to, crlf...)
}

// sampleTag returns the tag of the sample with that number.
func sampleTag(number uint64) string { return "t" + strconv.FormatUint(number, decimal) }

// appendLaunch appends the launch of a run with its body.
func appendLaunch(to []byte, id, operation string, body []byte) []byte {
	to = append(to, launchWord...)
	to = append(to, separator)
	to = append(to, id...)
	to = append(to, separator)
	to = append(to, operation...)
	to = append(to, separator)
	to = strconv.AppendInt(to, int64(len(body)), decimal)
	to = append(to, crlf...)
	to = append(to, body...)
	return append(to, crlf...)
}
