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
	exitError       = 1 // any other error
	exitUsage       = 2 // invalid file or argument; nothing was changed
	exitPartial     = 3 // some instances failed, or a check failed
	exitTimeout     = 4 // timeout before all instances had a result
	exitUnreachable = 5 // some agents are unreachable
)

var (
	errNoConfig       = errors.New("config: no file is given by GW_CONFIG or --config")
	errEventLoopEnded = errors.New("listen: the event loop has ended")
)

// usageError reports an invalid file or argument; nothing was changed.
type usageError struct {
	cause error // its text names the flag, argument or file
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

// asUsageError wraps an error in a usageError; nil stays nil.
func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{cause: err}
}

// usagef returns a usageError with a formatted text.
func usagef(format string, args ...any) error {
	return &usageError{cause: fmt.Errorf(format, args...)}
}

// checkRange returns a usage error unless the value of a flag is from least to most.
func checkRange(flag string, value, least, most int) error {
	if value < least || value > most {
		return usagef("%s: %d is out of range: expected %d to %d", flag, value, least, most)
	}
	return nil
}

// unknownCommandError reports an unknown sub-command.
type unknownCommandError struct {
	name string
}

func (e *unknownCommandError) Error() string {
	return fmt.Sprintf("unknown command %q; help lists the commands", e.name)
}

// outcome classifies the failure of a command that was carried out.
type outcome int

const (
	outcomePartial outcome = iota // some instances failed, or a check failed
	outcomeTimedOut
	outcomeUnreachable
)

// outcomeError reports the failure of a command that was carried out; its outcome determines the exit code. Without a
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

// outcomef returns an outcomeError with a formatted text.
func outcomef(o outcome, format string, args ...any) error {
	return &outcomeError{outcome: o, cause: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code of the program for an error.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	if _, ok := errors.AsType[*usageError](err); ok {
		return exitUsage
	}
	if e, ok := errors.AsType[*outcomeError](err); ok {
		return e.outcome.exitCode()
	}
	if errors.Is(err, supervisor.ErrLocked) {
		return agent.ExitSupervisorRunning
	}
	// An error of the command-line library or of a child process has its own exit code.
	if coded, ok := errors.AsType[cli.ExitCoder](err); ok {
		return coded.ExitCode()
	}
	return exitError
}

func (o outcome) exitCode() int {
	switch o {
	case outcomeTimedOut:
		return exitTimeout
	case outcomeUnreachable:
		return exitUnreachable
	default:
		return exitPartial
	}
}
