package quota

import (
	"errors"
	"fmt"
)

// Reasons for which a Holder rejects a LeaseResponse. A ResponseError wraps one of them.
var (
	ErrWrongHolder    = errors.New("response for another process")
	ErrUnknownRequest = errors.New("response to a request that is not pending")
	ErrUnknownBudget  = errors.New("grant of an unknown budget")
	ErrStaleEpoch     = errors.New("grant of a stale epoch")
	ErrOutOfBounds    = errors.New("grant out of bounds")
)

// ResponseError reports a LeaseResponse that was rejected as a whole.
type ResponseError struct {
	Reason error  // one of the errors above
	Detail string // the text of the error: the invalid field and its value
}

func (e *ResponseError) Error() string { return e.Detail }

// Unwrap returns the reason.
func (e *ResponseError) Unwrap() error { return e.Reason }

// responseError returns a ResponseError whose Detail is formatted from format and args.
func responseError(reason error, format string, args ...any) error {
	return &ResponseError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
