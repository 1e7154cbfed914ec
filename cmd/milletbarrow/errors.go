package main

import (
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agent"
	"milletbarrow/internal/supervisor"
)

// Exit codes; docs/fleet.md explains them.
const (
	exitError       = 1 // any error that has no code of its own
	exitUnusable    = 2 // a file or a word of the command line can't be used; nothing was changed
	exitSome        = 3 // some instances came out other than asked for
	exitLate        = 4 // the time ran out before all had a result
	exitUnreachable = 5 // some agents could not be reached
)

var (
	errNoConfig       = errors.New("config: no file is named, by GW_CONFIG or --config")
	errEventLoopEnded = errors.New("listen: the event loop has ended")
)

// usageError reports that a file or a word of the command line can't be used; nothing was changed.
type usageError struct {
	cause error // its text names the flag, argument or file
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

// unusable marks an error, unless it is nil, as one of what the caller gave.
func unusable(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{cause: err}
}

// usagef makes a usage error of a text.
func usagef(format string, args ...any) error {
	return &usageError{cause: fmt.Errorf(format, args...)}
}

// checkRange returns a usage error unless the value of a flag is from least to most.
func checkRange(flag string, value, least, most int) error {
	if value < least || value > most {
		return usagef("%s: %d is not from %d to %d", flag, value, least, most)
	}
	return nil
}

// unknownCommandError reports a word that is no sub-command.
type unknownCommandError struct {
	word string
}

func (e *unknownCommandError) Error() string {
	return fmt.Sprintf("%q is no command; help lists them", e.word)
}

// outcome says how a command that was carried out came out other than asked for.
type outcome int

const (
	outcomePartial outcome = iota // some came out other than asked for, or a check did not hold
	outcomeTimedOut
	outcomeUnreachable
)

// outcomeError reports how a command that was carried out came out, for scripts that go by the exit code. Without a
// cause there is no text: the command has printed it already.
type outcomeError struct {
	outcome outcome
	cause   error // nil: none
}

func (e *outcomeError) Error() string {
	if e.cause == nil {
		return ""
	}
	return e.cause.Error()
}

func (e *outcomeError) Unwrap() error { return e.cause }

// outcomef makes an outcome error of a text.
func outcomef(o outcome, format string, args ...any) error {
	return &outcomeError{outcome: o, cause: fmt.Errorf(format, args...)}
}

// exitCode is the code with which the program ends after an error.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	if _, ok := errors.AsType[*usageError](err); ok {
		return exitUnusable
	}
	if e, ok := errors.AsType[*outcomeError](err); ok {
		return e.outcome.exitCode()
	}
	if errors.Is(err, supervisor.ErrLocked) {
		return agent.ExitSupervisorRunning
	}
	// Of the command-line library, or of a program that this one ran.
	if coded, ok := errors.AsType[cli.ExitCoder](err); ok {
		return coded.ExitCode()
	}
	return exitError
}

func (o outcome) exitCode() int {
	switch o {
	case outcomeTimedOut:
		return exitLate
	case outcomeUnreachable:
		return exitUnreachable
	default:
		return exitSome
	}
}
