package registration

import (
	"fmt"
	"net/http"
)

// StatusError reports a response of the registry other than 204 No Content: the registry has received the report and
// rejected it.
type StatusError struct {
	Code int // the HTTP status
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint registry responded with status %d, expected %d", e.Code, http.StatusNoContent)
}
