package registration

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestDeregistrationOvertakesReport checks that the deregistration is repeated if the registry handles an earlier
// report after the first deregistration.
func TestDeregistrationOvertakesReport(t *testing.T) {
	bodies := make(chan string, 16)     // in the order in which the registry handles them
	received := make(chan struct{}, 16) // one for each request
	deregistered := make(chan struct{}) // closed by the first deregistration
	closeOnce := sync.OnceFunc(func() { close(deregistered) })
	listener := listen(t, "127.0.0.1:0")
	serve(t, listener, func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		received <- struct{}{}
		isDeregistration := strings.Contains(string(body), "off")
		if !isDeregistration {
			<-deregistered
		}
		bodies <- string(body)
		if isDeregistration {
			closeOnce()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r := newReporter(listener.Addr().String(), testBounds())
	done := run(context.Background(), r)
	fakes.Take(t, "a report", received)
	r.Deregister()
	fakes.Take(t, "the end of Run", done)
	var all []string
	for len(bodies) > 0 {
		all = append(all, <-bodies)
	}
	if want := []string{`{"duty":"off"}`, `{"duty":"on"}`, `{"duty":"off"}`}; !slices.Equal(all, want) {
		t.Errorf("the registry received %q, want %q", all, want)
	}
}

// TestDeregistersUntilAccepted checks that the deregistration is repeated until the registry accepts it, even if its
// address changes meanwhile, and that nothing is sent afterwards.
func TestDeregistersUntilAccepted(t *testing.T) {
	responses := make(chan int, 100)
	address, reports := fakes.NewRegistry(t, respondWith(responses))
	newAddress, newReports := fakes.NewRegistry(t, accept)
	bounds := testBounds()
	bounds.ReportInterval = 10 * time.Millisecond
	r := newReporter(address, bounds)
	done := run(context.Background(), r)
	responses <- http.StatusNoContent
	if report := fakes.Take(t, "a report", reports); report != reportOn {
		t.Errorf("received %s, want %s", report, reportOn)
	}
	r.Deregister()
	for n := 0; n < 2; {
		responses <- http.StatusServiceUnavailable
		if report := fakes.Take(t, "another deregistration", reports); report == reportOff {
			n++
		}
	}
	r.SetAddress(newAddress)
	for range 10 {
		responses <- http.StatusServiceUnavailable // for the calls that were in flight to the former address
	}
	if report := fakes.Take(t, "a deregistration at the new address", newReports); report != reportOff {
		t.Errorf("the new registry received %s, want %s", report, reportOff)
	}
	fakes.Take(t, "the end of Run", done)
	if !receivesNothing(newReports) {
		t.Error("a report was sent after the deregistration was accepted")
	}
}

// TestDeregistersAgainAfterReportWithoutResponse checks that after a report has ended without a response, accepted
// deregistrations are repeated until the process ends, because the registry may still accept that report at any time.
func TestDeregistersAgainAfterReportWithoutResponse(t *testing.T) {
	broken := make(chan struct{}) // closed to break the calls in flight
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-broken:
			w.WriteHeader(http.StatusNoContent)
		default:
			<-broken
			panic(http.ErrAbortHandler)
		}
	})
	bounds := testBounds()
	bounds.ReportInterval = 10 * time.Millisecond
	bounds.DeregisterRetry = 10 * time.Millisecond
	bounds.ReportsInFlight = 1
	r := newReporter(address, bounds)
	ctx, cancel := context.WithCancel(t.Context())
	done := run(ctx, r)
	fakes.Take(t, "a report", reports)
	r.Deregister()
	awaitDeregistration(t, reports)
	close(broken) // neither call gets a response; later calls are accepted
	for range 10 {
		awaitDeregistration(t, reports)
	}
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestDeregistersAtNewAddress checks that if the registry's address changes while a deregistration is in flight, and
// the former registry accepts that one, the backend is also deregistered at the new address, but only after the first
// call has ended.
func TestDeregistersAtNewAddress(t *testing.T) {
	release := make(chan struct{})
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	newAddress, newReports := fakes.NewRegistry(t, accept)
	bounds := testBounds()
	bounds.ReportInterval = time.Hour
	bounds.DeregisterRetry = 10 * time.Millisecond
	r := newReporter(address, bounds)
	// No report is due before the deregistration.
	r.pacer = reportpacing.New(reportpacing.Config{Interval: monotime.FromDuration(time.Hour)}, 1)
	done := run(t.Context(), r)
	r.Deregister()
	awaitDeregistration(t, reports)
	r.SetAddress(newAddress)
	fakes.Until(t, "Run has seen the change", func() bool { return len(r.addressChanged) == 0 })
	if !receivesNothing(newReports) {
		t.Error("a second call was made while the first was in flight")
	}
	close(release)
	awaitDeregistration(t, newReports)
	fakes.Take(t, "the end of Run", done)
}
