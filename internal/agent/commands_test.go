package agent

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"milletbarrow/internal/agentapi"
)

// TestRequestsBeyondLimitsAreRejected checks that requests with a timeout that is missing or longer than a day, or with
// an overlong requester name, are rejected.
func TestRequestsBeyondLimitsAreRejected(t *testing.T) {
	day := maxTimeout.Microseconds()
	for _, test := range []struct {
		name    string
		request agentapi.CommandRequest
		text    string // error text; empty if the request is accepted
	}{
		{
			name:    "shortest timeout, longest name",
			request: agentapi.CommandRequest{TimeoutMicros: 1, RequestedBy: strings.Repeat("x", 100)},
		},
		{
			name:    "longest timeout",
			request: agentapi.CommandRequest{TimeoutMicros: day},
		},
		{
			name:    "no timeout",
			request: agentapi.CommandRequest{TimeoutMicros: 0},
			text:    "within_us: 0 is not above 0 and at most a day",
		},
		{
			name:    "timeout too long",
			request: agentapi.CommandRequest{TimeoutMicros: day + 1},
			text:    fmt.Sprintf("within_us: %d is not above 0 and at most a day", day+1),
		},
		{
			name:    "name too long",
			request: agentapi.CommandRequest{TimeoutMicros: 1, RequestedBy: strings.Repeat("x", 101)},
			text:    "by: 101 bytes, expected at most 100",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := checkRequest(&test.request)
			if test.text == "" {
				if err != nil {
					t.Errorf("rejected: %v", err)
				}
				return
			}
			rejection, ok := errors.AsType[*agentapi.StatusError](err)
			if !ok || rejection.Status != http.StatusBadRequest || rejection.Text != test.text {
				t.Errorf("%v, want %s", err, test.text)
			}
		})
	}
}
