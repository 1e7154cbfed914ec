package registration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/limits"
)

const (
	// spareConns is the number of connections for deregistrations, in addition to those of the reports in flight.
	spareConns = 2
	// idleReportIntervals is the number of report intervals after which an idle connection is closed.
	idleReportIntervals = 4
	// retryAfterBits limits the size of a Retry-After in seconds, so that it fits into a time.Duration.
	retryAfterBits = 31
)

// availability is the state of the backend in a load report.
type availability string

// The states of a backend, as load reports encode them.
const (
	inService    availability = "on"  // the registry must list the backend
	outOfService availability = "off" // the registry must remove the backend from the endpoint list
)

// loadReport is the body of a load report.
type loadReport struct {
	Availability availability `json:"duty"`
}

// newClient returns an HTTP client for up to inFlight concurrent reports.
func newClient(bounds limits.Bounds, inFlight int) *http.Client {
	return &http.Client{
		Timeout:       bounds.ReportTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			MaxConnsPerHost:        inFlight + spareConns,
			MaxIdleConnsPerHost:    1,
			DisableCompression:     true,
			IdleConnTimeout:        idleReportIntervals * bounds.ReportInterval,
			MaxResponseHeaderBytes: int64(bounds.LineSize),
		},
	}
}

// sendReport sends one report to the registry. The error is a *StatusError if the registry rejected the report, or
// otherwise the error of the call.
func (r *Reporter) sendReport(ctx context.Context, state availability) (retryAfter time.Duration, err error) {
	body, err := json.Marshal(loadReport{Availability: state})
	if err != nil {
		return 0, fmt.Errorf("encode load report: %w", err)
	}
	r.mu.Lock()
	target := "http://" + r.address + r.path
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("load report to %s: %w", target, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, err // a *url.Error names the method and the target
	}
	defer func() { _ = response.Body.Close() }()
	// The connection can be reused only if the body has been read to its end.
	_, _ = io.CopyN(io.Discard, response.Body, int64(r.bounds.LineSize))
	if response.StatusCode != http.StatusNoContent {
		return parseRetryAfter(response.Header.Get("Retry-After"), time.Now()), &StatusError{Code: response.StatusCode}
	}
	return 0, nil
}

// parseRetryAfter returns the delay of a Retry-After header, which gives seconds or a date (RFC 9110, section 10.2.3).
// It returns 0 for a missing or invalid header.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, retryAfterBits); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(header); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

// failureOf classifies the error of a report.
func failureOf(err error) reportpacing.Failure {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return reportpacing.TimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return reportpacing.Refused
	}
	return reportpacing.Rejected
}

// cannotBeAccepted reports whether a report with this error can no longer be accepted, because the registry rejected it
// or refused the connection.
func cannotBeAccepted(err error) bool {
	var status *StatusError
	return errors.As(err, &status) || errors.Is(err, syscall.ECONNREFUSED)
}
