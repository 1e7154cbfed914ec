package registration

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/logging"
	"milletbarrow/monotime"
)

// run runs a reporter until the context ends or it has deregistered; done is closed then.
func run(ctx context.Context, r *Reporter) (done chan struct{}) {
	done = make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	return done
}

// isOff reports whether a report received by a registry is a deregistration.
func isOff(report string) bool { return strings.Contains(report, "off") }

// takeOff returns once a deregistration is received.
func takeOff(t *testing.T, reports <-chan string) {
	t.Helper()
	for report := ""; !isOff(report); {
		report = fakes.Take(t, "a deregistration", reports)
	}
}

// TestSetAddressWakesRunOnce: another address wakes Run, also where it was woken already; the same address does not.
func TestSetAddressWakesRunOnce(t *testing.T) {
	r := New("127.0.0.1:1", "n3", limits.For(1, 192, 1024), false)
	r.SetAddress("127.0.0.1:1")
	if len(r.addressChanged) != 0 {
		t.Error("the same address counts as a change")
	}
	r.SetAddress("127.0.0.1:2")
	r.SetAddress("127.0.0.1:3") // returns though Run has not seen the one before
	if len(r.addressChanged) != 1 {
		t.Errorf("%d changes wait for Run, want 1", len(r.addressChanged))
	}
}

// TestPacingConfig: fixed pacing retries at the interval of deregistrations, and has twice as many reports in flight.
func TestPacingConfig(t *testing.T) {
	b := limits.For(1, 192, 1024)
	paced, fixed := pacingConfig(b, false), pacingConfig(b, true)
	if paced.Fixed || paced.RetryMin != monotime.FromDuration(b.ReportRetryMin) || paced.InFlight != b.ReportsInFlight {
		t.Errorf("paced: %+v", paced)
	}
	if !fixed.Fixed || fixed.RetryMin != monotime.FromDuration(b.DeregisterRetry) || fixed.InFlight != 2*b.ReportsInFlight {
		t.Errorf("fixed: %+v", fixed)
	}
}

// TestFailures: how the error of a report counts for the pacer, and whether the registry may still count the report.
func TestFailures(t *testing.T) {
	timeout := &net.OpError{Op: "read", Err: context.DeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		err           error
		failure       reportpacing.Failure
		wasNotCounted bool
	}{
		{timeout, reportpacing.TimedOut, false},
		{refused, reportpacing.Refused, true},
		{&StatusError{Code: 503}, reportpacing.Rejected, true},
		{io.ErrUnexpectedEOF, reportpacing.Rejected, false},
	} {
		if got := failureOf(c.err); got != c.failure {
			t.Errorf("%v: failure %d, want %d", c.err, got, c.failure)
		}
		if got := wasNotCounted(c.err); got != c.wasNotCounted {
			t.Errorf("%v: was not counted %t, want %t", c.err, got, c.wasNotCounted)
		}
	}
}

// TestStatusError: the response of a registry that rejects a report is a *StatusError.
func TestStatusError(t *testing.T) {
	address, _ := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusTeapot) })
	r := New(address, "n3", limits.For(1, 192, 1024), false)
	_, err := r.report(t.Context(), "on")
	if status := new(StatusError); !errors.As(err, &status) || status.Code != http.StatusTeapot || err.Error() != "status 418" {
		t.Errorf("%v, want status 418", err)
	}
}

// TestResultOfFormerAddressIsAbandoned: the failure of a report to a former address does not delay the next report.
func TestResultOfFormerAddressIsAbandoned(t *testing.T) {
	r := New("127.0.0.1:1", "n3", limits.For(1, 192, 1024), false)
	r.pacer.Start(0)
	r.pacer.Started(0)
	r.pacer.Start(10)
	before, _ := r.pacer.Due()
	r.pace(result{startedAt: 0, err: io.ErrUnexpectedEOF, retryAfter: time.Minute}, 10)
	if after, _ := r.pacer.Due(); after != before {
		t.Errorf("the next report was due at %d us, and is now at %d us", before, after)
	}
	r.pacer.Started(20)
	r.pace(result{startedAt: 20, err: io.ErrUnexpectedEOF, retryAfter: time.Minute}, 10)
	if after, _ := r.pacer.Due(); after < monotime.FromDuration(limits.For(1, 192, 1024).RetryAfterMax) {
		t.Errorf("after a failure at the present address, the next report is due at %d us", after)
	}
}

// TestReportsAreLoggedAtAChange: a line when reports begin to fail, and one when they succeed again; none for a report that the
// end of the process has cut off.
func TestReportsAreLoggedAtAChange(t *testing.T) {
	var text bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(logging.Handler(&text, logging.Text)))
	statuses := make(chan int, 10)
	address, _ := fakes.NewRegistry(t, respondWith(statuses))
	r := New(address, "n3", limits.For(1, 192, 1024), false)
	for n, c := range []struct{ status, lines int }{{204, 0}, {503, 1}, {503, 1}, {204, 2}, {204, 2}} {
		statuses <- c.status
		_, _ = r.report(t.Context(), "on")
		if lines := strings.Count(text.String(), "\n"); lines != c.lines {
			t.Errorf("%d lines after report %d, want %d: %s", lines, n, c.lines, text.String())
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := r.report(ended, "on"); err == nil || strings.Count(text.String(), "\n") != 2 {
		t.Errorf("a report that was cut off: %v, log %s", err, text.String())
	}
}

// TestDeregistersAgainAfterReportWithoutResponse: a report in flight ends without a response, so the registry may count it at any
// time: off is reported, though accepted, until the process ends.
func TestDeregistersAgainAfterReportWithoutResponse(t *testing.T) {
	cut := make(chan struct{})
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-cut:
			w.WriteHeader(http.StatusNoContent)
		default:
			<-cut
			panic(http.ErrAbortHandler)
		}
	})
	b := limits.For(1, 192, 1024)
	b.ReportInterval, b.DeregisterRetry, b.ReportsInFlight = 10*time.Millisecond, 10*time.Millisecond, 1
	r := New(address, "n3", b, false)
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	fakes.Take(t, "a report", reports)
	r.Deregister()
	takeOff(t, reports)
	close(cut) // neither has a response; what comes now is accepted
	for range 10 {
		takeOff(t, reports)
	}
	cancel()
	fakes.Take(t, "the end", done)
}

// TestDeregistersAtNewAddress: the registry's address changes while a deregistration is in flight. The former registry accepts it;
// off is reported to the new one as well, once the call has ended and not beside it.
func TestDeregistersAtNewAddress(t *testing.T) {
	accept := make(chan struct{})
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		<-accept
		w.WriteHeader(http.StatusNoContent)
	})
	newAddress, newReports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	b := limits.For(1, 192, 1024)
	b.ReportInterval, b.DeregisterRetry = time.Hour, 10*time.Millisecond
	r := New(address, "n3", b, false)
	r.pacer = reportpacing.New(reportpacing.Config{Interval: monotime.FromDuration(time.Hour)}, 1) // no report before the deregistration
	done := run(t.Context(), r)
	r.Deregister()
	takeOff(t, reports)
	r.SetAddress(newAddress)
	fakes.Until(t, "the change is seen", func() bool { return len(r.addressChanged) == 0 })
	if !nothingWithin(newReports) {
		t.Error("a second call is made while the first is in flight")
	}
	close(accept)
	takeOff(t, newReports)
	fakes.Take(t, "the end", done)
}
