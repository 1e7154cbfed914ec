package executor

import (
	"errors"
	"fmt"
)

// What can be wrong with what the executor sends. It ends the connection: what follows cannot be told apart.
var (
	errLineTooLong      = errors.New("a line without an end")
	errNoCRLF           = errors.New("no CR LF at the end")
	errWordCount        = errors.New("too few words, or too many")
	errControlCharacter = errors.New("a control character within the line")
	errNoNoticeNumber   = errors.New("outcome: no number")
	errNoLength         = errors.New("outcome: no length")
	errGaugeNotNumber   = errors.New("sampled: not a number")
)

// valueError is a word of a line that has a value outside the protocol.
type valueError struct {
	position string // of the word: which line, and what the word is for
	value    string
}

func (e *valueError) Error() string { return fmt.Sprintf("%s %.20q", e.position, e.value) }

// lineError is a line that cannot be parsed.
type lineError struct {
	line string
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("cannot read %.60q: %v", e.line, e.err) }

func (e *lineError) Unwrap() error { return e.err }
