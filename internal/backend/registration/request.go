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
	// spareConns is the number of connections beside those of the reports in flight, for deregistrations.
	spareConns = 2
	// idleReportIntervals is the number of report intervals after which an idle connection is closed.
	idleReportIntervals = 4
	// retryAfterBits bounds the seconds of a Retry-After, so that they fit into a time.Duration.
	retryAfterBits = 31
)

// duty is what a load report says of the backend.
type duty string

// The duties.
const (
	dutyOn  duty = "on"  // the backend is to be in the endpoint list
	dutyOff duty = "off" // the backend is to be removed from it
)

// loadReport is the body of a load report.
type loadReport struct {
	Duty duty `json:"duty"`
}

// newClient returns the client for reports of which a number may be in flight.
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

// put makes the registry call of one report. The error is a *StatusError, or that of the call.
func (r *Reporter) put(ctx context.Context, duty duty) (retryAfter time.Duration, err error) {
	body, err := json.Marshal(loadReport{Duty: duty})
	if err != nil {
		return 0, fmt.Errorf("load report: %w", err)
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
	// The connection is used again only once the body has been read.
	_, _ = io.CopyN(io.Discard, response.Body, int64(r.bounds.LineSize))
	if response.StatusCode != http.StatusNoContent {
		return parseRetryAfter(response.Header.Get("Retry-After"), time.Now()), &StatusError{Code: response.StatusCode}
	}
	return 0, nil
}

// parseRetryAfter returns the delay that a Retry-After header asks for, in seconds or as a date (RFC 9110, 10.2.3). It
// returns 0 for a header that cannot be read.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, retryAfterBits); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(header); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

// failureOf returns how a report with this error failed.
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

// wasNotCounted reports whether the registry cannot count a report with this error any more: it has rejected the
// report, or was not reached.
func wasNotCounted(err error) bool {
	var status *StatusError
	return errors.As(err, &status) || errors.Is(err, syscall.ECONNREFUSED)
}
