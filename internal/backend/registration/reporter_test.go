package registration

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/logging"
	"milletbarrow/monotime"
)

// TestReportsContinueHoweverOneEnds checks that reports continue regardless of the registry's responses, that the last
// report is a deregistration, and that the deregistration is repeated until the registry accepts it.
func TestReportsContinueHoweverOneEnds(t *testing.T) {
	for _, test := range []struct {
		name          string
		handler       http.HandlerFunc
		accepts       bool // deregistrations
		neverResponds bool
	}{
		{name: "accepts reports", handler: accept, accepts: true},
		{name: "closes connections", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNoContent)
		}, accepts: true},
		{name: "another status", handler: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no", http.StatusServiceUnavailable)
		}},
		{name: "redirect", handler: func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}},
		{name: "breaks connections", handler: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}},
		{name: "never responds", handler: func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, neverResponds: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			bounds := testBounds()
			bounds.ReportInterval = 10 * time.Millisecond
			bounds.ReportTimeout = 200 * time.Millisecond
			bounds.ReportRetryInitial = 20 * time.Millisecond
			bounds.ReportRetryMax = 20 * time.Millisecond
			address, reports := fakes.NewRegistry(t, test.handler)
			r := newReporter(address, bounds)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := run(ctx, r)
			wantReports := 3
			if test.neverResponds {
				wantReports = bounds.ReportsInFlight
			}
			for range wantReports {
				if report := fakes.Take(t, "a report", reports); report != reportOn {
					t.Errorf("received %s, want %s", report, reportOn)
				}
			}
			if test.neverResponds && !receivesNothing(reports) {
				t.Errorf("more than %d reports are in flight", wantReports)
			}
			r.Deregister()
			r.Deregister()
			last := ""
			if !test.accepts {
				for range 3 {
					awaitDeregistration(t, reports)
				}
				last = reportOff
				cancel()
			}
			fakes.Take(t, "the end of Run", done)
			for len(reports) > 0 {
				last = <-reports
			}
			if last != reportOff {
				t.Errorf("the last report is %s, want %s", last, reportOff)
			}
		})
	}
}

// TestTwoUnansweredReportsKeepTheEntry checks that after two consecutive reports without a response, the next report is
// sent before the entry expires.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	bounds := testBounds()
	release := make(chan struct{})
	var received atomic.Int32
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		if n := received.Add(1); n == 2 || n == 3 { // reports arrive in the order in which they are sent
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, newReporter(address, bounds))
	fakes.Take(t, "the accepted report", reports)
	acceptedAt := time.Now()
	fakes.Take(t, "the first report without a response", reports)
	fakes.Take(t, "the second report without a response", reports)
	fakes.Take(t, "the next report", reports)
	if late := time.Since(acceptedAt); late > bounds.RegistrationTTL {
		t.Errorf("the next report was sent after %v, when the entry had expired", late)
	}
	close(release)
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestRecoveredRegistryGetsReportSoon checks that a registry that becomes reachable again gets a report after a retry
// delay instead of the report interval.
func TestRecoveredRegistryGetsReportSoon(t *testing.T) {
	const retryDelay = 10 * monotime.Millisecond
	address := refusingAddress(t)
	bounds := testBounds()
	bounds.ReportInterval = time.Hour
	bounds.ReportRetryRefused = retryDelay.Duration()
	r := newReporter(address, bounds)
	pacing := reportpacing.Config{ // no interval, so that the first report is due immediately
		RetryInitial: retryDelay,
		RetryMax:     retryDelay,
		RetryRefused: retryDelay,
		InFlight:     2,
	}
	r.pacer = reportpacing.New(pacing, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	fakes.Until(t, "a report failed", func() bool { return isFailing(r) })
	reports := make(chan string, 1)
	serve(t, listen(t, address), func(w http.ResponseWriter, request *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		reports <- request.Method + " " + request.URL.Path
	})
	if got, want := fakes.Take(t, "a report", reports), "PUT /roster/n3"; got != want {
		t.Errorf("received %s, want %s", got, want)
	}
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestRunEndsWhileRegistryIsUnreachable checks that Run ends with its context even if the registry refuses connections.
func TestRunEndsWhileRegistryIsUnreachable(t *testing.T) {
	r := newReporter(refusingAddress(t), testBounds())
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	r.Deregister()
	fakes.Until(t, "a report failed", func() bool { return isFailing(r) })
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestNextReportWaitsForRetryAfter checks that the next report is not sent before the registry's Retry-After has
// passed.
func TestNextReportWaitsForRetryAfter(t *testing.T) {
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "later", http.StatusServiceUnavailable)
	})
	bounds := testBounds()
	bounds.ReportInterval = 10 * time.Millisecond
	bounds.ReportRetryInitial = 10 * time.Millisecond
	bounds.ReportRetryMax = 10 * time.Millisecond
	r := newReporter(address, bounds)
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	fakes.Take(t, "a report", reports)
	startedAt := time.Now()
	fakes.Take(t, "the next report", reports)
	if after := time.Since(startedAt); after < 900*time.Millisecond {
		t.Errorf("the next report was sent after %v, Retry-After is 1 s", after)
	}
	r.Deregister()
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestSetAddressWakesRunOnce checks that a new address wakes Run, that a pending wake-up does not block SetAddress, and
// that an unchanged address does not wake Run.
func TestSetAddressWakesRunOnce(t *testing.T) {
	r := newReporter("127.0.0.1:1", testBounds())
	r.SetAddress("127.0.0.1:1")
	if len(r.addressChanged) != 0 {
		t.Error("the same address counts as a change")
	}
	r.SetAddress("127.0.0.1:2")
	r.SetAddress("127.0.0.1:3") // must not block while the previous change is pending
	if len(r.addressChanged) != 1 {
		t.Errorf("%d changes are pending, want 1", len(r.addressChanged))
	}
}

// TestFixedPacingRaisesReportsInFlight checks that fixed pacing retries after the retry interval of deregistrations and
// allows twice as many reports in flight.
func TestFixedPacingRaisesReportsInFlight(t *testing.T) {
	bounds := testBounds()
	paced := pacingConfig(bounds, false)
	if paced.Fixed || paced.RetryMin != monotime.FromDuration(bounds.ReportRetryMin) ||
		paced.InFlight != bounds.ReportsInFlight {
		t.Errorf("paced: %+v", paced)
	}
	fixed := pacingConfig(bounds, true)
	if !fixed.Fixed || fixed.RetryMin != monotime.FromDuration(bounds.DeregisterRetry) ||
		fixed.InFlight != 2*bounds.ReportsInFlight {
		t.Errorf("fixed: %+v", fixed)
	}
}

// TestResultOfFormerAddressIsAbandoned checks that a failed report to a former address does not delay the next report.
func TestResultOfFormerAddressIsAbandoned(t *testing.T) {
	const addressSince = 10
	r := newReporter("127.0.0.1:1", testBounds())
	failedAt := func(startedAt monotime.Micros) result {
		return result{startedAt: startedAt, err: io.ErrUnexpectedEOF, retryAfter: time.Minute}
	}
	r.pacer.Start(0)
	r.pacer.Started(0)
	r.pacer.Start(addressSince)
	before, _ := r.pacer.Due()
	r.pace(failedAt(0), addressSince)
	if after, _ := r.pacer.Due(); after != before {
		t.Errorf("the next report was due at %d us and is now due at %d us", before, after)
	}
	r.pacer.Started(20)
	r.pace(failedAt(20), addressSince)
	if after, _ := r.pacer.Due(); after < monotime.FromDuration(testBounds().RetryAfterMax) {
		t.Errorf("after a failure at the current address, the next report is due at %d us", after)
	}
}

// TestReportsAreLoggedOnChange checks that one line is logged when reports begin to fail and one when they succeed
// again, but none for a report that is canceled because the process ends.
func TestReportsAreLoggedOnChange(t *testing.T) {
	var text bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(logging.Handler(&text, logging.Text)))
	statuses := make(chan int, 10)
	address, _ := fakes.NewRegistry(t, respondWith(statuses))
	r := newReporter(address, testBounds())
	for n, step := range []struct{ status, lines int }{{204, 0}, {503, 1}, {503, 1}, {204, 2}, {204, 2}} {
		statuses <- step.status
		_, _ = r.report(t.Context(), inService)
		if lines := strings.Count(text.String(), "\n"); lines != step.lines {
			t.Errorf("%d lines after report %d, want %d: %s", lines, n, step.lines, text.String())
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := r.report(ended, inService); err == nil || strings.Count(text.String(), "\n") != 2 {
		t.Errorf("canceled report: %v, log %s", err, text.String())
	}
}
