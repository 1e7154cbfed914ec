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

// TestDeregistrationOvertakesReport checks that the deregistration is repeated after a report that the registry handles
// after the first deregistration.
func TestDeregistrationOvertakesReport(t *testing.T) {
	bodies := make(chan string, 16)     // in the order in which the registry handles them
	received := make(chan struct{}, 16) // one for each request
	deregistered := make(chan struct{}) // closed by the first deregistration
	closeOnce := sync.OnceFunc(func() { close(deregistered) })
	listener := listen(t, "127.0.0.1:0")
	serve(t, listener, func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		received <- struct{}{}
		isOff := strings.Contains(string(body), "off")
		if !isOff {
			<-deregistered
		}
		bodies <- string(body)
		if isOff {
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

// TestDeregistersUntilAccepted checks that the deregistration is repeated until the registry accepts it, also if its
// address changes meanwhile, and that nothing is sent after that.
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
		responses <- http.StatusServiceUnavailable // for all that was in flight there
	}
	if report := fakes.Take(t, "a deregistration at the new address", newReports); report != reportOff {
		t.Errorf("the new registry received %s, want %s", report, reportOff)
	}
	fakes.Take(t, "the end of Run", done)
	if !nothingWithin(newReports) {
		t.Error("something is sent after the deregistration was accepted")
	}
}

// TestDeregistersAgainAfterReportWithoutResponse checks that after a report in flight has ended without a response, so
// that the registry may count it at any time, the deregistration is repeated, though accepted, until the process ends.
func TestDeregistersAgainAfterReportWithoutResponse(t *testing.T) {
	broken := make(chan struct{}) // closed when the calls in flight break
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
	takeOff(t, reports)
	close(broken) // neither call has a response; further ones are accepted
	for range 10 {
		takeOff(t, reports)
	}
	cancel()
	fakes.Take(t, "the end of Run", done)
}

// TestDeregistersAtNewAddress checks that if the registry's address changes while a deregistration is in flight, which
// the former registry accepts, the backend is deregistered at the new one as well, once that call has ended and not
// beside it.
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
	takeOff(t, reports)
	r.SetAddress(newAddress)
	fakes.Until(t, "Run has seen the change", func() bool { return len(r.addressChanged) == 0 })
	if !nothingWithin(newReports) {
		t.Error("a second call is made while the first is in flight")
	}
	close(release)
	takeOff(t, newReports)
	fakes.Take(t, "the end of Run", done)
}
