package registration

import (
	"fmt"
	"net/http"
)

// StatusError is a response of the registry other than 204 No Content: the registry has read the report and did not
// count it.
type StatusError struct {
	Code int // the HTTP status
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint registry: status %d, wanted %d", e.Code, http.StatusNoContent)
}
