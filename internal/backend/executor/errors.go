package executor

import (
	"errors"
	"fmt"
)

// Protocol violations by the executor. Each ends the connection, as the position of the next line is not known.
var (
	errNoCRLF           = errors.New("CR LF is missing at the end")
	errExtraWords       = errors.New("unexpected words after the last field")
	errNoOutcomeID      = errors.New("outcome: run ID is missing")
	errNoRefusalID      = errors.New("refusal: run ID is missing")
	errNoSampleTag      = errors.New("sampled: tag is missing")
	errControlCharacter = errors.New("line contains a control character")
	errNoNoticeNumber   = errors.New("outcome: number is missing or not a positive integer")
	errNoLength         = errors.New("outcome: length is missing or not a non-negative integer")
	errGaugeNotNumber   = errors.New("sampled: gauge is not a finite number")
)

// lineLengthError reports a line that is too long.
type lineLengthError struct {
	limit int // bytes, without CR LF
}

func (e *lineLengthError) Error() string {
	return fmt.Sprintf("line exceeds %d bytes without CR LF", e.limit)
}

// valueError reports a word whose value the protocol does not define.
type valueError struct {
	position string // the line's first word and the role of the invalid word
	value    string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("%s: invalid value %.20q", e.position, e.value)
}

// lineError reports a line that cannot be parsed.
type lineError struct {
	line string
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("cannot parse line %.60q: %v", e.line, e.err) }

func (e *lineError) Unwrap() error { return e.err }
