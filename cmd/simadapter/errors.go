package main

import "fmt"

// lineError reports the line of the input, counted from 1, at which the adapter stopped.
type lineError struct {
	line int
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("line %d: %v", e.line, e.err) }

func (e *lineError) Unwrap() error { return e.err }

// truncatedBatchError reports that the input ended before the Commit of a batch.
type truncatedBatchError struct{ round int64 }

func (e *truncatedBatchError) Error() string {
	return fmt.Sprintf("input ends before the Commit of batch %d", e.round)
}

// unexpectedMessageError reports a message that is not allowed at this point: a Sync within a batch, or any other
// message outside one.
type unexpectedMessageError struct{ message string }

func (e *unexpectedMessageError) Error() string { return e.message + " is not allowed here" }

// notOpenError reports a message for an instance that is not open.
type notOpenError struct {
	message  string
	instance int
}

func (e *notOpenError) Error() string {
	return fmt.Sprintf("%s: instance %d is not open", e.message, e.instance)
}

// panicError reports a panic of the decision module.
type panicError struct{ value any }

func (e *panicError) Error() string { return fmt.Sprint(e.value) }
