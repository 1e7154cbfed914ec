package executor

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"milletbarrow/internal/backend/dispatch"
)

// kind is the first word of a line from the farm.
type kind int

const (
	aside kind = iota
	greeting
	outcome
	sampled
	refusal
)

// notice is a line from the farm; its text is in slices of the line.
type notice struct {
	kind    kind
	number  uint64 // of an outcome or an aside
	id      []byte // of an outcome or a refusal
	command []byte // of a refusal
	cold    bool   // of a greeting
	micros  dispatch.Micros
	end     dispatch.Outcome
	length  int // of the result that follows an outcome
	tag     []byte
	gauges  []float64
}

var ends = map[string]dispatch.Outcome{
	"complete": dispatch.RunSucceeded, "error": dispatch.RunErrored,
	"cancelled": dispatch.RunCancelled, "unknown": dispatch.NeverRan,
}

var errWords = errors.New("too few words, or too many")

// parse reads a line without its end. Where an outcome cannot be read but its number and id can, they are
// filled in beside the error. Gauges are appended to room.
func parse(line []byte, room []float64) (n notice, err error) {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return n, errors.New("a control character within the line")
	}
	var word []byte
	word, rest := cut(line)
	next := func() []byte {
		var w []byte
		w, rest = cut(rest)
		return w
	}
	switch string(word) {
	case "greeting":
		n.kind = greeting
		switch state := next(); string(state) {
		case "chilly":
			n.cold = true
		case "hot":
		default:
			return n, fmt.Errorf("greeting: state %.20q", state)
		}
		n.micros, err = micros(next())
	case "outcome":
		n.kind = outcome
		if n.number, err = strconv.ParseUint(string(next()), 10, 64); err != nil || n.number == 0 {
			n.number = 0
			return n, errors.New("outcome: no number")
		}
		if n.id = next(); len(n.id) == 0 {
			return n, errWords
		}
		word := next()
		end, known := ends[string(word)]
		if n.end = end; !known {
			return n, fmt.Errorf("outcome: end %.20q", word)
		}
		if n.micros, err = micros(next()); err == nil {
			n.length, err = strconv.Atoi(string(next()))
			if err != nil || n.length < 0 {
				n.length, err = 0, errors.New("outcome: no length")
			}
		}
	case "sampled":
		n.kind, n.gauges = sampled, room
		n.tag = next()
		for len(rest) > 0 {
			x, bad := strconv.ParseFloat(string(next()), 64)
			if bad != nil || math.IsNaN(x) || math.IsInf(x, 0) {
				return n, errors.New("sampled: not a number")
			}
			n.gauges = append(n.gauges, x)
		}
		if len(n.tag) == 0 {
			err = errWords
		}
	case "refusal":
		n.kind = refusal
		if n.command, n.id = next(), next(); len(n.id) == 0 {
			err = errWords
		}
	case "aside":
		n.kind = aside // numbered like an outcome; a remark without a number is as good
		n.number, _ = strconv.ParseUint(string(next()), 10, 64)
		return n, nil
	default:
		return n, fmt.Errorf("unknown word %.20q", word)
	}
	if err == nil && len(rest) > 0 {
		err = errWords
	}
	return n, err
}

// cut takes the first word off.
func cut(line []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(line, []byte{' '})
	return word, rest
}

func micros(word []byte) (dispatch.Micros, error) {
	ms, err := strconv.ParseFloat(string(word), 64)
	if err != nil || !(ms >= 0 && ms < 1e12) {
		return 0, fmt.Errorf("not a time: %.20q", word)
	}
	return dispatch.Micros(math.Round(ms * 1000)), nil
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
