package quota

import (
	"errors"
	"fmt"
)

// Reasons for which a holder refuses a LeaseResponse; a ResponseError wraps one of them.
var (
	ErrWrongHolder    = errors.New("response for another process")
	ErrUnknownRequest = errors.New("response to a request that is not pending")
	ErrUnknownBudget  = errors.New("grant of an unknown budget")
	ErrStaleEpoch     = errors.New("grant of a stale epoch")
	ErrOutOfBounds    = errors.New("grant out of bounds")
)

// ResponseError reports a LeaseResponse that was refused, and changed nothing.
type ResponseError struct {
	Reason error  // one of the reasons above
	Detail string // the field that is wrong, and its value; the text of the error
}

func (e *ResponseError) Error() string { return e.Detail }

// Unwrap returns the reason.
func (e *ResponseError) Unwrap() error { return e.Reason }

// refuse builds a ResponseError; format and args make its detail.
func refuse(reason error, format string, args ...any) error {
	return &ResponseError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
