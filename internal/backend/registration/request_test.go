package registration

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/fakes"
)

// TestErrorsAreClassified checks the kind of failure for each error of a report, and whether the registry may still
// accept the report.
func TestErrorsAreClassified(t *testing.T) {
	for _, test := range []struct {
		name             string
		err              error
		failure          reportpacing.Failure
		cannotBeAccepted bool
	}{
		{"timeout", &net.OpError{Op: "read", Err: context.DeadlineExceeded}, reportpacing.TimedOut, false},
		{"connection refused", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, reportpacing.Refused, true},
		{"another status", &StatusError{Code: http.StatusServiceUnavailable}, reportpacing.Rejected, true},
		{"broken connection", io.ErrUnexpectedEOF, reportpacing.Rejected, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := failureOf(test.err); got != test.failure {
				t.Errorf("failure %d, want %d", got, test.failure)
			}
			if got := cannotBeAccepted(test.err); got != test.cannotBeAccepted {
				t.Errorf("cannot be accepted %t, want %t", got, test.cannotBeAccepted)
			}
		})
	}
}

// TestRejectedReportReturnsStatusError checks that a report that the registry rejects returns a *StatusError.
func TestRejectedReportReturnsStatusError(t *testing.T) {
	const wantText = "endpoint registry responded with status 418, expected 204"
	address, _ := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no", http.StatusTeapot)
	})
	_, err := newReporter(address, testBounds()).report(t.Context(), inService)
	var status *StatusError
	if !errors.As(err, &status) || status.Code != http.StatusTeapot || err.Error() != wantText {
		t.Errorf("error %v, want %s", err, wantText)
	}
}

// TestRetryAfterIsParsedAsSecondsOrDate checks that invalid headers and past dates yield no delay.
func TestRetryAfterIsParsedAsSecondsOrDate(t *testing.T) {
	now := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name   string
		header string
		want   time.Duration
	}{
		{"seconds", "5", 5 * time.Second},
		{"missing", "", 0},
		{"negative", "-1", 0},
		{"neither number nor date", "soon", 0},
		{"too many seconds", "99999999999", 0},
		{"date", now.Add(7 * time.Second).Format(http.TimeFormat), 7 * time.Second},
		{"date in the past", now.Add(-time.Minute).Format(http.TimeFormat), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := parseRetryAfter(test.header, now); got != test.want {
				t.Errorf("%q: %v, want %v", test.header, got, test.want)
			}
		})
	}
}
