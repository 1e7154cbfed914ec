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

// TestReportsContinueHoweverOneEnds checks that reports go on whatever the registry responds, that the last report is a
// deregistration, and that it is repeated where the registry has not accepted it.
func TestReportsContinueHoweverOneEnds(t *testing.T) {
	for _, test := range []struct {
		name          string
		handler       http.HandlerFunc
		accepts       bool // deregistrations
		neverResponds bool
	}{
		{name: "counts reports", handler: accept, accepts: true},
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
			if test.neverResponds && !nothingWithin(reports) {
				t.Errorf("more than %d reports are in flight", wantReports)
			}
			r.Deregister()
			r.Deregister()
			last := ""
			if !test.accepts {
				for range 3 {
					takeOff(t, reports)
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

// TestTwoUnansweredReportsKeepTheEntry checks that after two reports in a row that are accepted and never answered, the
// next comes before the entry expires.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	bounds := testBounds()
	release := make(chan struct{})
	var received atomic.Int32
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		if n := received.Add(1); n == 2 || n == 3 { // reports are sent one after the other
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, newReporter(address, bounds))
	fakes.Take(t, "the report that counts", reports)
	countedAt := time.Now()
	fakes.Take(t, "the first that is never answered", reports)
	fakes.Take(t, "the second", reports)
	fakes.Take(t, "the next", reports)
	if late := time.Since(countedAt); late > bounds.RegistrationTTL {
		t.Errorf("the next came after %v, the entry had expired", late)
	}
	close(release)
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestReturningRegistryIsReportedToSoon checks that a registry that returns gets a report soon, not only after the
// report interval.
func TestReturningRegistryIsReportedToSoon(t *testing.T) {
	const retryDelay = 10 * monotime.Millisecond
	address := refusingAddress(t)
	bounds := testBounds()
	bounds.ReportInterval = time.Hour
	bounds.ReportRetryRefused = retryDelay.Duration()
	r := newReporter(address, bounds)
	pacing := reportpacing.Config{ // without an interval, so that the first report is due at once
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

// TestUnreachableRegistryBlocksNothing checks that Run ends with its context though the registry refuses connections.
func TestUnreachableRegistryBlocksNothing(t *testing.T) {
	r := newReporter(refusingAddress(t), testBounds())
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	r.Deregister()
	fakes.Until(t, "a report failed", func() bool { return isFailing(r) })
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestNextReportWaitsForRetryAfter checks that the report after a Retry-After is not sent before it is over.
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
		t.Errorf("the next report came after %v, Retry-After is 1 s", after)
	}
	r.Deregister()
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestSetAddressWakesRunOnce checks that another address wakes Run, also if it is to be woken already, and that the
// same address does not.
func TestSetAddressWakesRunOnce(t *testing.T) {
	r := newReporter("127.0.0.1:1", testBounds())
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

// TestPacingConfig checks that fixed pacing retries at the interval of deregistrations, and has twice as many reports
// in flight.
func TestPacingConfig(t *testing.T) {
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

// TestResultOfFormerAddressIsAbandoned checks that the failure of a report to a former address does not delay the next
// report.
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
		t.Errorf("the next report was due at %d us, and is now at %d us", before, after)
	}
	r.pacer.Started(20)
	r.pace(failedAt(20), addressSince)
	if after, _ := r.pacer.Due(); after < monotime.FromDuration(testBounds().RetryAfterMax) {
		t.Errorf("after a failure at the present address, the next report is due at %d us", after)
	}
}

// TestReportsAreLoggedAtAChange checks that a line is logged when reports begin to fail, and one when they succeed
// again, but none for a report that the end of the process has cut off.
func TestReportsAreLoggedAtAChange(t *testing.T) {
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
		t.Errorf("a report that was cut off: %v, log %s", err, text.String())
	}
}
