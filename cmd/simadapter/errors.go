package main

import "fmt"

// lineError says at which line of the input the adapter stopped, counted from 1.
type lineError struct {
	line int
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("line %d: %v", e.line, e.err) }

func (e *lineError) Unwrap() error { return e.err }

// truncatedBatchError says that the input ended before the Commit of a batch.
type truncatedBatchError struct{ round int64 }

func (e *truncatedBatchError) Error() string {
	return fmt.Sprintf("the input ends within batch %d", e.round)
}

// misplacedMessageError names a message that may not come at this point of a batch.
type misplacedMessageError struct{ message string }

func (e *misplacedMessageError) Error() string { return e.message + " out of place" }

// notOpenError names a message for an instance that is not open.
type notOpenError struct {
	message  string
	instance int
}

func (e *notOpenError) Error() string {
	return fmt.Sprintf("%s: instance %d is not open", e.message, e.instance)
}

// panicError is a panic of the decision module.
type panicError struct{ value any }

func (e *panicError) Error() string { return fmt.Sprint(e.value) }
